"""Finds out when a machine runs the processes of a play late.

Load pattern: a test machine that is busy with other work. An instance that
waits for a core cannot keep the times of its stop, and a play whose own loop is
late sees ends later than they are. Both are disruptions of the machine, which
LOST excuses (RULES.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import standstills

PERIOD_S = 0.25
"""Period of the check."""

LATE_S = 0.1
"""Time that a process may wait for a core in a period. The end of a stop, half
a second, lasts at most three periods, and the waits that count as no lateness
are well below it."""

SETTLE_S = 0.5
"""Time after which a lateness of the machine has no effect on new requests.
Shorter than the settle window, as it lasts for parts of a second."""


def read_waited_s(
    process_id: int, proc: pathlib.Path = pathlib.Path("/proc")
) -> float:
    """Returns how long a process's main thread has waited for a core so far.

    Linux tells it in nanoseconds (Documentation/scheduler/sched-stats.rst).

    Args:
        process_id: Id of a process of the play.
        proc: Folder of the processes.
    """
    with contextlib.suppress(OSError, IndexError):
        text = (proc / str(process_id) / "schedstat").read_text()
        return int(text.split()[1]) / 1e9
    return 0.0  # It has just exited.


class LatenessWatch:
    """Collects the spells in which the play or an instance was late.

    Args:
        list_process_ids: Returns the ids of the instances that run.

    Attributes:
        spells: The spells, as standstills of the machine.
    """

    def __init__(self, list_process_ids: Callable[[], Iterable[int]]) -> None:
        self._list_process_ids = list_process_ids
        self.spells: list[standstills.Standstill] = []
        self._last_s = time.monotonic()
        self._waited_s: Mapping[int, float] = {}

    async def run(self) -> None:
        """Checks the lateness in each period until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            waited_s = {x: read_waited_s(x) for x in self._list_process_ids()}
            self.record(time.monotonic(), waited_s)

    def record(self, now_s: float, waited_s: Mapping[int, float]) -> None:
        """Records a check.

        Args:
            now_s: Monotonic time.
            waited_s: Time that each process has waited for a core so far.
        """
        lateness_s = [now_s - self._last_s - PERIOD_S]
        lateness_s += [
            total_s - self._waited_s.get(process_id, 0.0)
            for process_id, total_s in waited_s.items()
        ]
        if max(lateness_s) > LATE_S:
            self.spells.append(
                standstills.Standstill("machine", self._last_s, now_s)
            )
        self._last_s, self._waited_s = now_s, waited_s
