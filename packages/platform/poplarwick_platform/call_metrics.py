"""Metrics of calls to the key-value service."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from poplarwick_core import clock
from poplarwick_core import metrics
from poplarwick_platform import kv

_calls = metrics.make_counter(
    "kv_calls", "Calls to the key-value service by purpose and result."
)
_duration = metrics.make_histogram(
    "kv_call_duration", "Time of calls to the key-value service."
)
_watches = metrics.make_up_down_counter(
    "kv_watches", "Watches that wait at the key-value service."
)


@contextlib.contextmanager
def count_call(purpose: kv.Purpose, kind: str) -> Iterator[None]:
    """Counts and times a call when its context ends.

    Args:
        purpose: Purpose of the call.
        kind: `read` or `write`.
    """
    started_s = clock.now_s()
    result = "failed"
    try:
        yield
        result = "ok"
    except kv.BudgetError:
        result = "over_budget"
        raise
    except kv.UnknownResultError:
        result = "unknown"
        raise
    except kv.UnavailableError:
        result = "unavailable"
        raise
    finally:
        labels = {"purpose": purpose.value, "kind": kind, "result": result}
        _calls.add(1, labels)
        _duration.record(clock.now_s() - started_s, {"kind": kind})


@contextlib.contextmanager
def count_watch() -> Iterator[None]:
    """Counts a watch as open while the context is open."""
    _watches.add(1)
    try:
        yield
    finally:
        _watches.add(-1)
