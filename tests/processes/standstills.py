"""Lets instances stand still once around their stop.

Load pattern: a machine that is frozen, or a process in a long pause, a few
seconds before SIGTERM or in the grace period. What the instance has measured
of its own lateness then decides how its stop is divided.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

import cpu_shares

SETTLE_WINDOW_S = 3.0
"""Time after a disruption in which requests are excused (`settle_window_ms`,
RULES.md, LOST)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """When instances stand still.

    Attributes:
        lead_s: Shortest and longest time from the standstill's begin to
            SIGTERM; negative for a standstill in the grace period.
        duration_s: Shortest and longest duration.
    """

    lead_s: tuple[float, float]
    duration_s: tuple[float, float]

    def draw(self, rng: random.Random) -> tuple[float, float]:
        """Returns the lead and the duration of a standstill in seconds."""
        return rng.uniform(*self.lead_s), rng.uniform(*self.duration_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Standstill:
    """A standstill of an instance; times are monotonic, in seconds."""

    instance: str
    began_at_s: float
    ended_at_s: float

    def excuses(
        self,
        sent_at_s: float,
        ended_at_s: float,
        settle_s: float = SETTLE_WINDOW_S,
    ) -> bool:
        """Whether it lies between a request's settle window and its end."""
        return (
            self.began_at_s <= ended_at_s
            and self.ended_at_s >= sent_at_s - settle_s
        )


async def stand_still(
    pauses: cpu_shares.Pauses, instance: str, duration_s: float
) -> Standstill:
    """Pauses an instance once and returns its standstill."""
    began_at_s = time.monotonic()
    with pauses.hold():
        await asyncio.sleep(duration_s)
    return Standstill(instance, began_at_s, time.monotonic())
