"""Decides which request goes first, and whether it starts now or waits.

Load pattern: more work than fits at the moment, of which some can still be on
time and some cannot. What can be on time goes first, by its latest start;
what is late goes by arrival and size and never harms others, until half of its
time is gone.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import triage

IDEAL_GROUP = 12
"""Engines that read a long prompt when there is room for it."""

SMALL_LOSS = 0.05
"""Share of a request's own value that others may lose at once for it."""

PATIENCE = 0.5
"""Part of a request's time after which it may harm others to finish."""

SLOW_FACTOR = 3
"""Multiple of the ideal time to a first event over which a late request waits
for more engines: a long prompt on one engine holds it for many seconds."""

MARGIN_S = 0.05
"""Time kept for the ways between instances and a pass that has begun."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that has not been placed.

    Attributes:
        wanted: What it needs.
        arrived_at_s: When it was asked for.
        ideal_s: Time to its first event on idle endpoints.
        is_long: Whether its prompt holds up others while it is read.
    """

    wanted: messages.PlacementRequest
    arrived_at_s: float
    ideal_s: float
    is_long: bool = False

    @property
    def latest_start_s(self) -> float:
        """Monotonic time after which it cannot be on time."""
        return self.wanted.on_time_at_s - self.ideal_s - MARGIN_S

    def has_time(self, now_s: float) -> bool:
        """Tells whether it could still give a first event in its deadline."""
        return now_s + self.ideal_s < self.wanted.deadline_at_s


def calculate_ideal_s(
    wanted: messages.PlacementRequest,
    profile: types.EngineProfile | None,
    engines: int,
) -> float:
    """Returns the time to the first event on idle endpoints.

    Args:
        wanted: What the request needs.
        profile: Profile of the engines; None for a plain service.
        engines: Number of endpoints of the service.
    """
    if profile is None:
        return 0.0
    read_s = engine_model.calculate_read_s(profile, wanted.prompt_tokens)
    if read_s > loads.LONG_READ_S:
        read_s /= max(min(IDEAL_GROUP, engines), 1)
    return read_s + engine_model.calculate_pass_s(profile, 1, 0)


def make_job(key: Hashable, waiting: Waiting, engines: int) -> triage.Job:
    """Returns a long prompt as all engines together would read it.

    Args:
        key: Tells it from others.
        waiting: The request.
        engines: Engines that are open to it.
    """
    readers = max(min(engines - 1, packing.GROUP_SIZES[0]), 1)
    # `ideal_s` is the time of a group of usual size.
    group = max(min(IDEAL_GROUP, engines), 1)
    return triage.Job(
        key,
        waiting.wanted.on_time_at_s - MARGIN_S,
        waiting.ideal_s * group / readers + MARGIN_S,
        waiting.wanted.priority,
        waiting.wanted.value,
    )


def make_rank(
    waiting: Waiting, now_s: float, *, goes_last: bool
) -> tuple[bool, int, float]:
    """Returns the order in which waiting requests are tried.

    What can be on time goes by its latest start; among long prompts this holds
    over priorities, as those that cannot all be on time go last. What cannot
    be on time goes by priority and arrival. Both yield to smaller work by the
    time that they would hold up others.

    Args:
        waiting: The request.
        now_s: Monotonic time.
        goes_last: Whether it yields to others that can be on time.
    """
    priority = waiting.wanted.priority
    if goes_last or now_s > waiting.latest_start_s:
        due_s = waiting.arrived_at_s + waiting.ideal_s * IDEAL_GROUP
        return (True, priority, due_s)
    due_s = waiting.latest_start_s + waiting.ideal_s
    return (False, 0 if waiting.is_long else priority, due_s)


def should_start(
    waiting: Waiting, choice: packing.Choice, now_s: float
) -> bool:
    """Tells whether to take a choice now or to wait for a better one."""
    is_settled = choice.starts_in_s <= packing.START_SPREAD_S
    if choice.loss <= waiting.wanted.value * SMALL_LOSS and is_settled:
        return True
    if now_s < waiting.latest_start_s or not is_settled:
        return False
    total_s = waiting.wanted.deadline_at_s - waiting.arrived_at_s
    if now_s - waiting.arrived_at_s > PATIENCE * total_s:
        return True
    if choice.first_s > SLOW_FACTOR * waiting.ideal_s + MARGIN_S:
        return False
    return choice.loss < waiting.wanted.value
