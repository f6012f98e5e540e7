"""Chooses endpoints where all requests in flight are known.

Load pattern: short requests with short pause limits beside long prompts whose
prefill stalls a whole iteration, in a mix that changes within seconds. Short
requests are packed on few endpoints. A long prompt is split over a group of as
many idle engines as shorten its prefill, where no running request is stalled
beyond its limit. Prompts that find the engines busy prefilling wait in the
scheduler's queue, not on the engines, so that all engines of a group start
together and the next group is chosen with current data.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from collections.abc import Set
from typing import Protocol

from poplarwick_core import ids
from poplarwick_placement import engine_model
from poplarwick_placement import engine_order
from poplarwick_placement import loads
from poplarwick_placement import messages

FIRST_EVENT_TOLERANCE_S = 0.005
"""Difference in the time to the first event below which two endpoints count as
equal; a tenth of an iteration."""

STALLING_GROUP_SIZES = (12, 6, 3, 1)
"""Group sizes that are considered where every group stalls running requests or
is late."""

MAX_START_DELAY_S = 0.03
"""Prefill backlog that an engine may still have when a group starts on it; less
than an iteration, which the group waits for in any case."""

MIN_SHORT_SLOTS = 4
"""Slots kept free for short requests; the arrivals of a few iterations at the
rates of a busy endpoint."""

FAILURE_PENALTY = 20
"""Factor by which an excess share of failures raises an endpoint's estimated
response time; an endpoint that fails two in five more often than its peers is
chosen last."""

RESERVATION_STEP_TOKENS = 1_024
"""Step to which reservations are rounded up; well above an engine's memory
block."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Endpoints and memory for one request, with the expected result.

    Attributes:
        primary: Endpoint that runs the request.
        helpers: Endpoints that prefill parts, with the memory to reserve on
            each.
        prefill_s: Prefill time of each part.
        starts_in_s: Time until all endpoints can start.
        first_event_s: Expected time to the first event.
        loss: Weight lost by being late and by stalling other requests.
    """

    primary: loads.EndpointLoad
    helpers: tuple[tuple[loads.EndpointLoad, int], ...]
    prefill_s: float
    starts_in_s: float
    first_event_s: float
    loss: float

    @property
    def engines(self) -> set[ids.EndpointId]:
        """Ids of the primary and the helpers."""
        helpers = {load.endpoint.id for load, _ in self.helpers}
        return {self.primary.endpoint.id, *helpers}


class Candidates(Protocol):
    """Endpoints that one request may use.

    Endpoints are not evaluated before they are needed.
    """

    @property
    def view(self) -> Callable[[loads.EndpointLoad], loads.LoadView]:
        """Returns a snapshot of an endpoint's load."""
        ...

    def iter_groups(self) -> Iterator[Iterator[loads.EndpointLoad]]:
        """Yields the endpoints that may run the request and have a free slot.

        A group yields the endpoints with the same `get_preference`; the most
        preferred group comes first.
        """
        ...

    def view_helpers(self) -> Sequence[loads.LoadView]:
        """Returns the endpoints that may prefill a part of the prompt."""
        ...

    def may_run(self, load: loads.EndpointLoad) -> bool:
        """Returns whether one of these may also run the request."""
        ...


def choose(
    request: messages.PlacementRequest,
    candidates: Candidates,
    awaited: Set[ids.EndpointId],
    now_s: float,
) -> Choice | None:
    """Returns the choice with the least loss, or None without capacity.

    Args:
        request: The request to place.
        candidates: Endpoints that the request may use.
        awaited: Engines that long prompts ahead of this one wait for.
        now_s: Monotonic time.
    """
    preferred = next(iter_free(candidates), None)
    if preferred is None:
        return None
    if preferred.profile is None:
        return _choose_plain(request, list(iter_free(candidates)), now_s)
    if is_short(request, preferred):
        return _choose_short(request, candidates, now_s)
    views = candidates.view_helpers()
    short_engine = _find_engine_for_short(views)
    if short_engine is not None or awaited:
        views = [
            view
            for view in views
            if view is not short_engine and view.load.endpoint.id not in awaited
        ]
    return _choose_long(request, views, candidates.may_run, now_s)


def iter_free(candidates: Candidates) -> Iterator[loads.EndpointLoad]:
    """Yields the endpoints that may run the request and have a free slot."""
    return itertools.chain.from_iterable(candidates.iter_groups())


def get_preference(load: loads.EndpointLoad) -> tuple[bool, int]:
    """Returns the sort key of an endpoint for packing short requests.

    The fullest endpoint comes first; a last free slot, and an endpoint that is
    slower than its peers, are used last.
    """
    return load.free_slots == 1 or load.is_slow, -load.running_count


def is_short(
    request: messages.PlacementRequest, load: loads.EndpointLoad
) -> bool:
    """Returns whether the prefill of a prompt stalls no other request.

    The speed of the profile decides: one slow engine does not make a prompt a
    long one for its whole service.
    """
    return load.profile is None or (
        engine_model.calculate_prefill_s(load.profile, request.prompt_tokens)
        <= loads.LONG_PREFILL_S
    )


def _choose_plain(
    request: messages.PlacementRequest,
    free_loads: Sequence[loads.EndpointLoad],
    now_s: float,
) -> Choice:
    """Returns the endpoint of a plain service with the lowest estimated time.

    Where the durations of calls are known, the endpoint whose outstanding work
    ends first is chosen; otherwise the number of calls stands for the work. An
    endpoint that fails more often than its best peer counts as slower.
    """
    best_share = _find_best_share(free_loads)

    def estimate_s(load: loads.EndpointLoad) -> float:
        excess = load.failure_share - best_share
        if expected_s is None:
            work_s = load.response_time_s * (load.running_count + 1)
        else:
            work_s = load.estimate_work_s(expected_s, now_s)
        return work_s * (1 + FAILURE_PENALTY * excess)

    expected_s = request.expected_duration_s
    load = min(free_loads, key=estimate_s)
    first_event_s = load.response_time_s
    if expected_s is not None:
        first_event_s = load.slowdown * expected_s
    return Choice(load, (), 0.0, 0.0, first_event_s, 0.0)


def _choose_short(
    request: messages.PlacementRequest, candidates: Candidates, now_s: float
) -> Choice | None:
    """Returns the choice with the least loss on the most preferred endpoint.

    The search ends at the first choice that is as good as any behind it: one
    without loss whose first event is nearly as early as on an endpoint without
    backlog.
    """
    best: Choice | None = None
    best_share = _find_best_share(iter_free(candidates))
    for group in candidates.iter_groups():
        group_best: Choice | None = None
        for load in group:
            choice = _evaluate_short(
                request, candidates.view(load), best_share, now_s
            )
            if choice is None:
                continue
            if group_best is None or (
                (choice.loss, choice.first_event_s)
                < (group_best.loss, group_best.first_event_s)
            ):
                group_best = choice
            if choice.loss == 0 and (
                choice.first_event_s
                <= _calculate_least_first_event_s(request, load)
                + FIRST_EVENT_TOLERANCE_S
            ):
                return choice
        if group_best is not None and (
            best is None or group_best.loss < best.loss
        ):
            best = group_best
        if best is not None and best.loss == 0:
            return best
    return best


def _calculate_least_first_event_s(
    request: messages.PlacementRequest, load: loads.EndpointLoad
) -> float:
    """Returns the time to the first event without backlog and slowdown."""
    assert load.profile is not None
    count = load.running_count
    residual_s = (
        engine_model.calculate_iteration_s(load.profile, count, 0) / 2
        if count
        else 0.0
    )
    return (
        residual_s
        + engine_model.calculate_prefill_s(load.profile, request.prompt_tokens)
        + engine_model.calculate_iteration_s(
            load.profile, count + 1, request.prompt_tokens
        )
    )


def _evaluate_short(
    request: messages.PlacementRequest,
    view: loads.LoadView,
    best_share: float,
    now_s: float,
) -> Choice | None:
    if view.calculate_missing_tokens(request) > 0:
        return None
    prefill_s = view.load.calculate_prefill_s(request.prompt_tokens, 1)
    first_event_s = view.estimate_first_event_s(request, prefill_s)
    loss = view.calculate_stall_loss(prefill_s + view.backlog_s, now_s)
    loss += _calculate_late_loss(request, first_event_s, now_s)
    loss += _calculate_failure_loss(request, view, best_share)
    return Choice(view.load, (), prefill_s, 0.0, first_event_s, loss)


def _find_best_share(free_loads: Iterable[loads.EndpointLoad]) -> float:
    """Returns the lowest share of failures among endpoints."""
    best_share = math.inf
    for load in free_loads:
        best_share = min(best_share, load.failure_share)
        if best_share == 0:
            break
    return best_share


def _choose_long(
    request: messages.PlacementRequest,
    helper_views: Sequence[loads.LoadView],
    may_run: Callable[[loads.EndpointLoad], bool],
    now_s: float,
) -> Choice | None:
    if not any(may_run(view.load) for view in helper_views):
        return None
    parts = engine_order.PromptParts(request)
    order = engine_order.EngineOrder(parts, helper_views, now_s)
    best: Choice | None = None
    for size in engine_order.GROUP_SIZES:
        members = order.find_unstalled(size)
        choice = _form_group(request, parts, members, may_run, size, now_s)
        if choice is not None and (
            best is None
            or (choice.loss, choice.first_event_s)
            < (best.loss, best.first_event_s)
        ):
            best = choice
    if best is not None and best.loss == 0:
        return best
    for size in STALLING_GROUP_SIZES:
        members = order.sort_by_stall_loss(size)
        choice = _form_group(request, parts, members, may_run, size, now_s)
        if choice is not None and (best is None or choice.loss < best.loss):
            best = choice
    return best


def _form_group(
    request: messages.PlacementRequest,
    parts: engine_order.PromptParts,
    members: engine_order.Members,
    may_run: Callable[[loads.EndpointLoad], bool],
    size: int,
    now_s: float,
) -> Choice | None:
    """Returns a group of the first engines, None if there are too few."""
    if len(members.views) < size:
        return None
    primary = members.find_primary(request, may_run)
    if primary is None:
        return None
    helpers = members.find_helpers(primary, size - 1)
    if len(helpers) < size - 1:
        return None
    reservations = split_memory(request, primary, helpers)
    if reservations is None:
        return None
    return _evaluate_group(
        request, parts, primary, helpers, reservations, now_s
    )


def _evaluate_group(
    request: messages.PlacementRequest,
    parts: engine_order.PromptParts,
    primary: loads.LoadView,
    helpers: Sequence[loads.LoadView],
    reservations: Sequence[int],
    now_s: float,
) -> Choice:
    engines = [primary, *helpers]
    prefill_s = max(
        parts.calculate_prefill_s(view.load, len(engines)) for view in engines
    )
    first_event_s = max(
        view.estimate_first_event_s(request, prefill_s) for view in engines
    )
    loss = sum(view.calculate_stall_loss(prefill_s, now_s) for view in engines)
    loss += _calculate_late_loss(request, first_event_s, now_s)
    return Choice(
        primary.load,
        tuple(zip((v.load for v in helpers), reservations, strict=True)),
        prefill_s,
        max(view.backlog_s for view in engines),
        first_event_s,
        loss,
    )


def _find_engine_for_short(
    helper_views: Sequence[loads.LoadView],
) -> loads.LoadView | None:
    """Returns the engine that long prompts leave to short requests."""
    if len(helper_views) < 2:
        return None
    free_slots = 0
    for view in helper_views:
        if view.has_short and view.free_slots > 1:
            free_slots += view.free_slots - 1
            if free_slots >= MIN_SHORT_SLOTS:
                return None
    return min(
        helper_views, key=lambda view: (view.running_count, view.backlog_s)
    )


def _calculate_failure_loss(
    request: messages.PlacementRequest, view: loads.LoadView, best_share: float
) -> float:
    """Returns the weight lost by failures in excess of the best peer's."""
    excess = view.load.failure_share - best_share
    return (
        request.weight * excess
        if excess > engine_order.FAILURE_TOLERANCE
        else 0.0
    )


def _calculate_late_loss(
    request: messages.PlacementRequest, first_event_s: float, now_s: float
) -> float:
    remaining_s = request.on_time_at_s - now_s
    # A request that is already late loses nothing more by waiting.
    if remaining_s <= 0 or first_event_s <= remaining_s:
        return 0.0
    return request.weight * loads.LATE_LOSS


def split_memory(
    request: messages.PlacementRequest,
    primary: loads.LoadView,
    helpers: Sequence[loads.LoadView],
) -> list[int] | None:
    """Returns the memory to reserve on each helper, None if it is too little.

    The prompt fills the reservations in order. The rest of the prompt and the
    output are stored on the primary.
    """
    missing_tokens = primary.calculate_missing_tokens(request)
    if primary.load.profile is None or missing_tokens <= 0:
        return [0] * len(helpers)
    missing_tokens = min(
        missing_tokens + RESERVATION_STEP_TOKENS, request.prompt_tokens
    )
    reservations = []
    for helper in helpers:
        reserved_tokens = min(missing_tokens, max(helper.free_memory_tokens, 0))
        if reserved_tokens < missing_tokens:
            reserved_tokens -= reserved_tokens % RESERVATION_STEP_TOKENS
        reservations.append(reserved_tokens)
        missing_tokens -= reserved_tokens
    return reservations if missing_tokens <= 0 else None
