"""Settings and fixtures of all unit tests; what tests that hang were doing."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import traceback
from collections.abc import Iterator
from typing import Any

import hypothesis
import pytest

from poplarwick_core import logs

# The time of an example, and of making it, depends on the machine: the first
# text takes seconds where hypothesis builds its table of characters. No test
# has a bound on time.
hypothesis.settings.register_profile(
    "untimed",
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile("untimed")


class _Lines(list[str]):
    """Keeps log lines in place of a `log_writer.LineWriter`."""

    def write(self, line: str) -> None:
        self.append(line)

    def write_through(self) -> None:
        """Lines are kept at once anyway."""


@pytest.fixture(name="lines")
def fixture_lines() -> Iterator[list[str]]:
    """Lines of the log."""
    lines = _Lines()
    logs.configure_logs(writer=lines)
    yield lines
    logs.configure_logs()


TIMEOUT_REPEAT_S = 60.0
"""Time after which a test fails again: a callback of the event loop, or tasks
that ignore their cancellation, may swallow the failure."""

_AWAITED = {"cr": "cr_await", "gi": "gi_yieldfrom", "ag": "ag_await"}
"""Attributes with what coroutines and generators wait for, by their prefix."""

_unfinished: dict[str, None] = {}
"""Tests that have begun and not ended, in their order."""


def pytest_runtest_logstart(nodeid: str) -> None:
    """Records that a test has begun."""
    _unfinished[nodeid] = None


def pytest_runtest_logfinish(nodeid: str) -> None:
    """Records that a test has ended."""
    _unfinished.pop(nodeid, None)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Names the tests that an interrupted run leaves unfinished."""
    for nodeid in _unfinished:
        terminalreporter.write_line(f"not finished: {nodeid}")


@pytest.hookimpl(wrapper=True)
def pytest_timeout_set_timer(settings: Any) -> Iterator[Any]:
    """Prints the tasks of the event loop too when a test's time is over."""
    result = yield
    if settings.method == "signal":
        fail = signal.getsignal(signal.SIGALRM)

        def describe_and_fail(number: int, frame: Any) -> None:
            with contextlib.suppress(RuntimeError):  # No event loop runs.
                for task in asyncio.all_tasks():
                    _print_stack(task)
            signal.setitimer(signal.ITIMER_REAL, TIMEOUT_REPEAT_S)
            fail(number, frame)

        signal.signal(signal.SIGALRM, describe_and_fail)
    return result


def _print_stack(task: asyncio.Task[Any]) -> None:
    """Prints where a task waits, the innermost call last."""
    print(f"task {task.get_name()}:")
    awaited: Any = task.get_coro()
    while awaited is not None:
        prefix = next(
            (p for p in _AWAITED if hasattr(awaited, f"{p}_frame")), ""
        )
        frame = getattr(awaited, f"{prefix}_frame", None)
        if frame is None:
            print(f"  waits for {awaited!r}")
            return
        traceback.print_stack(frame, limit=1, file=sys.stdout)
        awaited = getattr(awaited, _AWAITED[prefix])
