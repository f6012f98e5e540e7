"""Clocks and deadlines."""

from __future__ import annotations

import dataclasses
import time


def now_s() -> float:
    """Returns the monotonic time in seconds."""
    return time.monotonic()


def wall_time_s() -> float:
    """Returns the time in seconds since the Unix epoch."""
    return time.time()


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """A point in monotonic time by which work must finish.

    Attributes:
        at_s: Monotonic time in seconds.
    """

    at_s: float

    @property
    def remaining_s(self) -> float:
        """Seconds left; negative once the deadline has passed."""
        return self.at_s - now_s()

    @property
    def has_passed(self) -> bool:
        """Whether the deadline has passed."""
        return self.remaining_s <= 0


def make_deadline(timeout_s: float) -> Deadline:
    """Returns the deadline `timeout_s` seconds from now."""
    return Deadline(now_s() + timeout_s)
