"""Orders the queued requests and decides whether one starts now or waits.

Load pattern: temporary overload, in which some requests can still be on time
and some cannot. Requests that can be on time go first, by latest start. Late
requests go by priority, arrival and size. Until half of their time has passed,
they start only where others lose less than the late request's weight.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Sequence

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import engine_order
from poplarwick_placement import late_jobs
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing

IDEAL_GROUP_SIZE = 12
"""Engines that prefill a long prompt when capacity allows."""

ACCEPTED_LOSS_SHARE = 0.05
"""Share of its own weight that a request may cost others and still start at
once."""

MAX_WAIT_SHARE = 0.5
"""Share of a request's time after which it starts even if that makes others
late."""

ACCEPTED_DELAY_FACTOR = 3
"""Multiple of the ideal time to the first event above which a late request
waits for more engines: a long prompt on a single engine occupies it for many
seconds."""

URGENT_SHARE = 0.5
"""Share of its time to start on time that a request has left when others hold
back for it. Holding back from its arrival on would leave engines idle."""

MARGIN_S = 0.05
"""Time reserved for the hops between instances and for the iteration in
progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that has not been placed.

    Attributes:
        request: The request.
        arrived_at_s: Monotonic time at which the request was submitted.
        ideal_first_event_s: Time to the first event on idle endpoints.
        is_long: Whether the prefill of the prompt stalls other requests.
    """

    request: messages.PlacementRequest
    arrived_at_s: float
    ideal_first_event_s: float
    is_long: bool = False

    @property
    def latest_start_s(self) -> float:
        """Latest monotonic start at which the request can be on time."""
        return self.request.on_time_at_s - self.ideal_first_event_s - MARGIN_S

    def can_meet_deadline(self, now_s: float) -> bool:
        """Returns whether a first event is possible before the deadline."""
        return now_s + self.ideal_first_event_s < self.request.deadline_at_s

    def is_urgent(self, now_s: float) -> bool:
        """Returns whether a good part of its time to start has passed."""
        spare_s = self.latest_start_s - self.arrived_at_s
        return self.latest_start_s - now_s < URGENT_SHARE * spare_s

    def must_follow(self, other: QueuedRequest, excess: float) -> bool:
        """Returns whether a new request must not pass one that is queued.

        Args:
            other: A request that was queued before.
            excess: By how much the organisation of the new one exceeds its
                share. If it does, also requests of another size come first.
        """
        return self.request.service == other.request.service and (
            excess > 0 or self.is_long == other.is_long
        )


Waiting = Sequence[tuple[Hashable, QueuedRequest]]
"""Queued requests with their keys, the next one first."""


def calculate_ideal_first_event_s(
    request: messages.PlacementRequest,
    profile: types.EngineProfile | None,
    engines: int,
) -> float:
    """Returns the time to the first event on idle endpoints.

    Args:
        request: The request.
        profile: Profile of the engines; None for a plain service.
        engines: Number of endpoints of the service.
    """
    if profile is None:
        return 0.0
    prefill_s = engine_model.calculate_prefill_s(profile, request.prompt_tokens)
    if prefill_s > loads.LONG_PREFILL_S:
        prefill_s /= max(min(IDEAL_GROUP_SIZE, engines), 1)
    return prefill_s + engine_model.calculate_iteration_s(profile, 1, 0)


def make_job(
    key: Hashable, queued: QueuedRequest, engines: int, excess: float = 0.0
) -> late_jobs.Job:
    """Returns a long prompt as a job that all engines prefill together.

    Args:
        key: Key of the request.
        queued: The request.
        engines: Number of engines that accept the request.
        excess: By how much its organisation exceeds its share.
    """
    max_group_size = max(min(engines - 1, engine_order.GROUP_SIZES[0]), 1)
    # `ideal_first_event_s` assumes a group of the ideal size.
    group_size = max(min(IDEAL_GROUP_SIZE, engines), 1)
    return late_jobs.Job(
        key,
        queued.request.on_time_at_s - MARGIN_S,
        queued.ideal_first_event_s * group_size / max_group_size + MARGIN_S,
        queued.request.priority,
        queued.request.weight,
        excess,
    )


SortKey = tuple[bool, int, bool, float, float]
"""Sort key of a queued request."""


def calculate_sort_key(
    queued: QueuedRequest,
    now_s: float,
    *,
    is_deferred: bool,
    has_promise: bool = False,
    excess: float = 0.0,
) -> SortKey:
    """Returns the sort key of a queued request; the lowest one is tried first.

    Requests that can be on time sort by latest start. Among long prompts this
    order overrides priorities, because those that cannot all be on time are
    deferred. Late requests sort by priority and arrival. In both cases smaller
    requests go first by the time for which a larger one would occupy the
    engines. Within a priority, requests that return when they were told to go
    before new ones, even if they have become late since, and then those of
    organisations that use no more than their share.

    Args:
        queued: The request.
        now_s: Monotonic time.
        is_deferred: Whether the request is deferred in favour of others that
            can be on time.
        has_promise: Whether the request returns at the time that it was told.
        excess: By how much its organisation exceeds its share.
    """
    priority = queued.request.priority
    is_late = now_s > queued.latest_start_s and not has_promise
    if is_deferred or is_late:
        due_s = (
            queued.arrived_at_s + queued.ideal_first_event_s * IDEAL_GROUP_SIZE
        )
        return (True, priority, not has_promise, excess, due_s)
    due_s = queued.latest_start_s + queued.ideal_first_event_s
    rank = 0 if queued.is_long else priority
    return (False, rank, not has_promise, excess, due_s)


def should_start(
    queued: QueuedRequest,
    choice: packing.Choice,
    now_s: float,
    excess: float = 0.0,
) -> bool:
    """Returns whether to accept a choice or to wait for a better one.

    Args:
        queued: The request.
        choice: The best choice of endpoints now.
        now_s: Monotonic time.
        excess: By how much its organisation exceeds its share. It may then
            cost others less, however long it has waited.
    """
    weight = queued.request.weight / (1 + excess)
    can_start_together = choice.starts_in_s <= packing.MAX_START_DELAY_S
    if choice.loss <= weight * ACCEPTED_LOSS_SHARE and can_start_together:
        return True
    if now_s < queued.latest_start_s or not can_start_together:
        return False
    total_s = queued.request.deadline_at_s - queued.arrived_at_s
    if excess <= 0 and now_s - queued.arrived_at_s > MAX_WAIT_SHARE * total_s:
        return True
    if (
        choice.first_event_s
        > ACCEPTED_DELAY_FACTOR * queued.ideal_first_event_s + MARGIN_S
    ):
        return False
    return choice.loss < weight
