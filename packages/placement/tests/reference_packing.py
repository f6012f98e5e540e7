"""Plain reference of `packing`, which examines every endpoint.

The choices of `packing` are compared with those of this module; it shares the
constants with it.
"""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set

from poplarwick_core import ids
from poplarwick_placement import engine_order
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing


def choose(
    request: messages.PlacementRequest,
    primary_views: Sequence[loads.LoadView],
    helper_views: Sequence[loads.LoadView],
    awaited: Set[ids.EndpointId],
    now_s: float,
) -> packing.Choice | None:
    """Returns the choice with the least loss, or None without capacity.

    Args:
        request: The request to place.
        primary_views: Endpoints that may run the request.
        helper_views: Endpoints that may prefill a part of the prompt.
        awaited: Engines that long prompts ahead of this one wait for.
        now_s: Monotonic time.
    """
    free_views = [view for view in primary_views if view.free_slots > 0]
    if not free_views:
        return None
    if free_views[0].load.profile is None:
        return _choose_plain(free_views)
    if packing.is_short(request, free_views[0].load):
        return _choose_short(request, free_views, now_s)
    short_engine = _find_engine_for_short(helper_views)
    return _choose_long(
        request,
        [
            view
            for view in free_views
            if _is_available(view, short_engine, awaited)
        ],
        [
            view
            for view in helper_views
            if _is_available(view, short_engine, awaited)
        ],
        now_s,
    )


def _is_available(
    view: loads.LoadView,
    short_engine: loads.LoadView | None,
    awaited: Set[ids.EndpointId],
) -> bool:
    return view is not short_engine and view.load.endpoint.id not in awaited


def _choose_plain(free_views: Sequence[loads.LoadView]) -> packing.Choice:
    """Returns the endpoint of a plain service with the lowest estimated time.

    An endpoint that fails more often than its best peer counts as slower.
    """
    best_share = min(view.load.failure_share for view in free_views)

    def estimate_s(view: loads.LoadView) -> float:
        load = view.load
        excess = load.failure_share - best_share
        return (
            load.response_time_s
            * (view.running_count + 1)
            * (1 + packing.FAILURE_PENALTY * excess)
        )

    load = min(free_views, key=estimate_s).load
    return packing.Choice(load, (), 0.0, 0.0, load.response_time_s, 0.0)


def _choose_short(
    request: messages.PlacementRequest,
    free_views: Sequence[loads.LoadView],
    now_s: float,
) -> packing.Choice | None:
    best: tuple[float, bool, int, float] | None = None
    choice = None
    best_share = min(view.load.failure_share for view in free_views)
    for view in free_views:
        if request.memory_tokens > view.free_memory_tokens:
            continue
        prefill_s = view.load.calculate_prefill_s(request.prompt_tokens, 1)
        first_event_s = view.estimate_first_event_s(request, prefill_s)
        loss = view.calculate_stall_loss(prefill_s + view.backlog_s, now_s)
        loss += _calculate_late_loss(request, first_event_s, now_s)
        loss += _calculate_failure_loss(request, view, best_share)
        rank = (loss, view.free_slots == 1, -view.running_count, first_event_s)
        if best is None or rank < best:
            best = rank
            choice = packing.Choice(
                view.load, (), prefill_s, 0.0, first_event_s, loss
            )
    return choice


def _choose_long(
    request: messages.PlacementRequest,
    free_views: Sequence[loads.LoadView],
    helper_views: Sequence[loads.LoadView],
    now_s: float,
) -> packing.Choice | None:
    if not free_views or not helper_views:
        return None
    ordered_views = _order_engines(helper_views)
    primary_ids = set(map(id, free_views))
    best: packing.Choice | None = None
    for size in engine_order.GROUP_SIZES:
        choice = _form_group(request, ordered_views, primary_ids, size, now_s)
        if choice is not None and (
            best is None
            or (choice.loss, choice.first_event_s)
            < (best.loss, best.first_event_s)
        ):
            best = choice
    if best is not None and best.loss == 0:
        return best
    for size in packing.STALLING_GROUP_SIZES:
        by_stall_loss = sorted(
            ordered_views,
            key=lambda view: view.calculate_stall_loss(
                _calculate_part_prefill_s(request, view, size), now_s
            ),
        )
        choice = _form_group(
            request,
            by_stall_loss,
            primary_ids,
            size,
            now_s,
            avoids_stalls=False,
        )
        if choice is not None and (best is None or choice.loss < best.loss):
            best = choice
    return best


def _order_engines(
    helper_views: Sequence[loads.LoadView],
) -> list[loads.LoadView]:
    """Returns the engines that do not slow a group down, idle ones first."""
    max_slowdown = engine_order.MAX_RELATIVE_SLOWDOWN * min(
        view.load.slowdown for view in helper_views
    )
    fast_enough = [
        view for view in helper_views if view.load.slowdown <= max_slowdown
    ]
    healthy = _exclude_failing(fast_enough)
    return sorted(
        healthy,
        key=lambda view: (
            view.backlog_s > 0,
            view.backlog_s,
            view.running_count,
        ),
    )


def _exclude_failing(
    views: Sequence[loads.LoadView],
) -> Sequence[loads.LoadView]:
    """Returns the engines whose share of failures is near the lowest one."""
    best_share = min(view.load.failure_share for view in views)
    return [
        view
        for view in views
        if view.load.failure_share
        <= best_share + engine_order.FAILURE_TOLERANCE
    ]


def _calculate_part_prefill_s(
    request: messages.PlacementRequest, view: loads.LoadView, size: int
) -> float:
    return view.load.calculate_prefill_s(request.prompt_tokens, size)


def _form_group(
    request: messages.PlacementRequest,
    ordered_views: Sequence[loads.LoadView],
    primary_ids: Set[int],
    size: int,
    now_s: float,
    *,
    avoids_stalls: bool = True,
) -> packing.Choice | None:
    """Returns a group of the first engines that qualify, None if too few do."""
    fitting = [
        view
        for view in ordered_views
        if not avoids_stalls
        or _calculate_part_prefill_s(request, view, size) <= view.slack_s
    ]
    eligible = [view for view in fitting if id(view) in primary_ids]
    if not eligible or len(fitting) < size:
        return None
    primary = next(
        (v for v in eligible if v.calculate_missing_tokens(request) <= 0),
        max(eligible, key=lambda view: view.free_memory_tokens),
    )
    helpers = [
        view
        for view in fitting
        if view is not primary
        and len(view.load.helper_allocations) < view.load.slots
    ][: size - 1]
    if len(helpers) < size - 1:
        return None
    reservations = packing.split_memory(request, primary, helpers)
    if reservations is None:
        return None
    return _evaluate_group(request, primary, helpers, reservations, now_s)


def _evaluate_group(
    request: messages.PlacementRequest,
    primary: loads.LoadView,
    helpers: Sequence[loads.LoadView],
    reservations: Sequence[int],
    now_s: float,
) -> packing.Choice:
    engines = [primary, *helpers]
    prefill_s = max(
        _calculate_part_prefill_s(request, view, len(engines))
        for view in engines
    )
    first_event_s = max(
        view.estimate_first_event_s(request, prefill_s) for view in engines
    )
    loss = sum(view.calculate_stall_loss(prefill_s, now_s) for view in engines)
    loss += _calculate_late_loss(request, first_event_s, now_s)
    return packing.Choice(
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
    free_slots = sum(
        max(v.free_slots - 1, 0) for v in helper_views if v.has_short
    )
    if free_slots >= packing.MIN_SHORT_SLOTS or len(helper_views) < 2:
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
