"""Decides which request goes first, and whether it starts now or waits.

Load pattern: more work than fits at the moment, of which some can still be on
time and some cannot. What can be on time goes first, by its latest start;
what is late goes in order of its deadline and never harms others, until half
of its time is gone.
"""

from __future__ import annotations

import dataclasses

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import packing
from poplarwick_placement import work

IDEAL_GROUP = 4
"""Engines that read a long prompt when there is room; more save little."""

SMALL_LOSS = 0.05
"""Share of a request's own value that others may lose at once for it."""

PATIENCE = 0.5
"""Part of a request's time after which it may harm others to finish."""

MARGIN_S = 0.05
"""Time kept for the ways between instances and a pass that has begun."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that has not been placed.

    Attributes:
        wanted: What it needs.
        arrived_at_s: When it was asked for.
        ideal_s: Time to its first event on idle endpoints.
    """

    wanted: work.Work
    arrived_at_s: float
    ideal_s: float

    @property
    def latest_start_s(self) -> float:
        """Monotonic time after which it cannot be on time."""
        return self.wanted.on_time_at_s - self.ideal_s - MARGIN_S

    def has_time(self, now_s: float) -> bool:
        """Tells whether it could still give a first event in its deadline."""
        return now_s + self.ideal_s < self.wanted.deadline_at_s


def calculate_ideal_s(
    wanted: work.Work, profile: types.EngineProfile | None
) -> float:
    """Returns the time to the first event on idle endpoints."""
    if profile is None:
        return 0.0
    read_s = engine_model.calculate_read_s(profile, wanted.prompt_tokens)
    if read_s > packing.LONG_READ_S:
        read_s /= IDEAL_GROUP
    return read_s + engine_model.calculate_pass_s(profile, 1, 0)


def make_rank(waiting: Waiting, now_s: float) -> tuple[int, bool, float]:
    """Returns the order in which waiting requests are tried."""
    is_late = now_s > waiting.latest_start_s
    due_s = waiting.wanted.deadline_at_s if is_late else waiting.latest_start_s
    return (waiting.wanted.priority, is_late, due_s)


def should_start(
    waiting: Waiting, choice: packing.Choice, now_s: float
) -> bool:
    """Tells whether to take a choice now or to wait for a better one."""
    if choice.loss <= waiting.wanted.value * SMALL_LOSS:
        return True
    if now_s < waiting.latest_start_s:
        return False
    if choice.loss < waiting.wanted.value:
        return True
    total_s = waiting.wanted.deadline_at_s - waiting.arrived_at_s
    return now_s - waiting.arrived_at_s > PATIENCE * total_s
