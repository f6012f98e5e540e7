"""Engines that end chosen answers at chosen times.

Load pattern: long answers at the end of a grace period. The end of an answer
decides whether a stop may cut it, so a play chooses it exactly, and not only
the number of its events.
"""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
import time
from collections.abc import Mapping

from poplarwick_bench.soak import fleet
from poplarwick_standins import pass_engine

LONGEST_GAP_S = 0.25
"""Longest time between two events, below the pauses that count as silence."""


@dataclasses.dataclass(slots=True)
class Pace:
    """Pace of an answer.

    Attributes:
        ends_at_s: Monotonic time of its last event.
        left: Number of events that are left.
        is_silent: Whether all events are sent at the end.
    """

    ends_at_s: float
    left: int
    is_silent: bool = False

    def choose_gap_s(self, now_s: float) -> float:
        """Returns the time to the next event and counts it."""
        gaps = 1 if self.is_silent else max(self.left, 1)
        gap_s = max(self.ends_at_s - now_s, 0.0) / gaps
        self.left -= 1
        return gap_s


_pace: contextvars.ContextVar[Pace | None] = contextvars.ContextVar(
    "pace", default=None
)


class TimedEngine(fleet.SoakReplica, pass_engine.PassEngine):
    """An engine in passes that ends some answers at the times it is told.

    Attributes:
        ends_at_s: Monotonic times of the ends by request; engines share it.
        silent: Requests whose engines are silent until the end; shared too.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.ends_at_s: dict[str, float] = {}
        self.silent: set[str] = set()

    def choose_event_count(self, headers: Mapping[str, str]) -> int:
        """Returns the number of events, and notes the pace of the answer."""
        count = super().choose_event_count(headers)
        ends_at_s = self.ends_at_s.get(headers["Request-Id"])
        if ends_at_s is not None:
            first = int(headers.get("Last-Event-Id", 0))
            is_silent = headers["Request-Id"] in self.silent
            _pace.set(Pace(ends_at_s, count - first, is_silent))
        return count

    async def wait_for_event(self) -> None:
        """Waits for the next event, in a pass or at the answer's pace."""
        pace = _pace.get()
        if pace is None:
            await super().wait_for_event()
        else:
            await asyncio.sleep(pace.choose_gap_s(time.monotonic()))


def choose_event_count(duration_s: float) -> int:
    """Returns how many events an answer needs so that none is late."""
    return max(int(duration_s / LONGEST_GAP_S), 1) + 1
