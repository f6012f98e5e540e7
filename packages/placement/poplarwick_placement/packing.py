"""Chooses endpoints where all requests in flight are known.

Load pattern: short requests with short pause limits beside prompts whose
reading holds up a whole pass, the mix turning over within seconds. Short
requests are packed on few endpoints. A long prompt is read by as many idle
engines as help it, where no writer is held up past its limit; prompts that
find the engines reading wait here, not at the engines, so that each group
starts together and the next one is chosen with what is known then.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from collections.abc import Set

from poplarwick_core import ids
from poplarwick_placement import loads
from poplarwick_placement import messages

GROUP_SIZES = (17, 14, 12, 10, 8, 6, 5, 4, 3, 2, 1)
"""Numbers of engines that are weighed for one prompt; the engines take at most
sixteen helpers."""

HARMFUL_SIZES = (12, 6, 3, 1)
"""Sizes that are weighed where every group holds up writers or is late."""

SLOW_PACE = 1.5
"""Slowness against the fastest engine over which one takes no part: a group
waits for its slowest member."""

START_SPREAD_S = 0.03
"""Reading that an engine may still have when a group starts on it; under a
pass, which the group waits for anyway."""

SHORT_ROOM = 4
"""Slots kept for short requests beside those that run; the arrivals of a few
passes at the rates of a busy endpoint."""

FAILURE_COST = 20
"""How much a share of failures slows an endpoint down in a choice: one that
fails two in five more than its peers is the last to be chosen."""

FAILURE_SLACK = 0.15
"""Excess of failures over the best peer that is borne: one failure in ten
answers moves the share by about that much."""

TICKET_STEP_TOKENS = 1_024
"""Reservations are rounded up to this, well above an engine's block."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A way to run a request.

    Attributes:
        lead: Endpoint that runs it.
        helpers: Endpoints that read parts, with memory to reserve there.
        read_s: Time that each of them reads.
        starts_in_s: Time until all of them can start.
        first_s: Expected time to the first event.
        loss: Value lost by being late and by holding up others.
    """

    lead: loads.EndpointLoad
    helpers: tuple[tuple[loads.EndpointLoad, int], ...]
    read_s: float
    starts_in_s: float
    first_s: float
    loss: float

    @property
    def engines(self) -> set[ids.EndpointId]:
        """All endpoints that take part."""
        helpers = {load.endpoint.id for load, _ in self.helpers}
        return {self.lead.endpoint.id, *helpers}


def choose(
    wanted: messages.PlacementRequest,
    usable: Sequence[loads.LoadView],
    helping: Sequence[loads.LoadView],
    awaited: Set[ids.EndpointId],
    now_s: float,
) -> Choice | None:
    """Returns the way with the least loss, or None where there is no room.

    Args:
        wanted: What the request needs.
        usable: Endpoints that may run it.
        helping: Endpoints that may read a part of it.
        awaited: Engines that long prompts ahead of this one wait for.
        now_s: Monotonic time.
    """
    open_ = [view for view in usable if view.free_slots > 0]
    if not open_:
        return None
    if open_[0].load.profile is None:
        return _choose_plain(open_)
    if is_short(wanted, open_[0].load):
        return _choose_short(wanted, open_, now_s)
    kept = _keep_for_short(helping)
    return _choose_long(
        wanted,
        [view for view in open_ if _is_offered(view, kept, awaited)],
        [view for view in helping if _is_offered(view, kept, awaited)],
        now_s,
    )


def is_short(
    wanted: messages.PlacementRequest, load: loads.EndpointLoad
) -> bool:
    """Tells whether a prompt holds up nobody while it is read."""
    return load.calculate_read_s(wanted.prompt_tokens, 1) <= loads.LONG_READ_S


def _is_offered(
    view: loads.LoadView,
    kept: loads.LoadView | None,
    awaited: Set[ids.EndpointId],
) -> bool:
    return view is not kept and view.load.endpoint.id not in awaited


def _choose_plain(open_: Sequence[loads.LoadView]) -> Choice:
    """Returns the endpoint of a plain service that answers soonest.

    An endpoint that fails more often than its best peer counts as slower.
    """
    best_share = min(view.load.failure_share for view in open_)

    def estimate_s(view: loads.LoadView) -> float:
        load = view.load
        excess = load.failure_share - best_share
        return load.answer_s * (view.writers + 1) * (1 + FAILURE_COST * excess)

    load = min(open_, key=estimate_s).load
    return Choice(load, (), 0.0, 0.0, load.answer_s, 0.0)


def _choose_short(
    wanted: messages.PlacementRequest,
    open_: Sequence[loads.LoadView],
    now_s: float,
) -> Choice | None:
    best: tuple[float, bool, int, float] | None = None
    choice = None
    best_share = min(view.load.failure_share for view in open_)
    for view in open_:
        if wanted.memory_tokens > view.free_memory_tokens:
            continue
        read_s = view.load.calculate_read_s(wanted.prompt_tokens, 1)
        first_s = view.estimate_first_s(wanted, read_s)
        loss = view.calculate_harm(read_s + view.backlog_s, now_s)
        loss += _calculate_late_loss(wanted, first_s, now_s)
        loss += _calculate_failure_loss(wanted, view, best_share)
        rank = (loss, view.free_slots == 1, -view.writers, first_s)
        if best is None or rank < best:
            best = rank
            choice = Choice(view.load, (), read_s, 0.0, first_s, loss)
    return choice


def _choose_long(
    wanted: messages.PlacementRequest,
    open_: Sequence[loads.LoadView],
    helping: Sequence[loads.LoadView],
    now_s: float,
) -> Choice | None:
    if not open_ or not helping:
        return None
    ordered = _order_engines(helping)
    leads = set(map(id, open_))
    best: Choice | None = None
    for size in GROUP_SIZES:
        choice = _form_group(wanted, ordered, leads, size, now_s)
        if choice is not None and (
            best is None
            or (choice.loss, choice.first_s) < (best.loss, best.first_s)
        ):
            best = choice
    if best is not None and best.loss == 0:
        return best
    for size in HARMFUL_SIZES:
        by_harm = sorted(
            ordered,
            key=lambda view: view.calculate_harm(
                _calculate_part_s(wanted, view, size), now_s
            ),
        )
        choice = _form_group(
            wanted, by_harm, leads, size, now_s, is_harmless=False
        )
        if choice is not None and (best is None or choice.loss < best.loss):
            best = choice
    return best


def _order_engines(
    helping: Sequence[loads.LoadView],
) -> list[loads.LoadView]:
    """Returns engines without those that would hold up a group, idle first."""
    limit = SLOW_PACE * min(view.load.pace for view in helping)
    even = [view for view in helping if view.load.pace <= limit]
    sound = _leave_failing(even)
    return sorted(
        sound,
        key=lambda view: (view.backlog_s > 0, view.backlog_s, view.writers),
    )


def _leave_failing(
    views: Sequence[loads.LoadView],
) -> Sequence[loads.LoadView]:
    """Returns engines that do not fail more often than the best of them."""
    best_share = min(view.load.failure_share for view in views)
    return [
        view
        for view in views
        if view.load.failure_share <= best_share + FAILURE_SLACK
    ]


def _calculate_part_s(
    wanted: messages.PlacementRequest, view: loads.LoadView, size: int
) -> float:
    return view.load.calculate_read_s(wanted.prompt_tokens, size)


def _form_group(
    wanted: messages.PlacementRequest,
    ordered: Sequence[loads.LoadView],
    leads: Set[int],
    size: int,
    now_s: float,
    *,
    is_harmless: bool = True,
) -> Choice | None:
    """Returns a group of the first engines that fit, None if too few do."""
    fitting = [
        view
        for view in ordered
        if not is_harmless
        or _calculate_part_s(wanted, view, size) <= view.slack_s
    ]
    able = [view for view in fitting if id(view) in leads]
    if not able or len(fitting) < size:
        return None
    lead = next(
        (v for v in able if wanted.memory_tokens <= v.free_memory_tokens),
        max(able, key=lambda view: view.free_memory_tokens),
    )
    helpers = [
        view
        for view in fitting
        if view is not lead and len(view.load.parts) < view.load.slots
    ][: size - 1]
    if len(helpers) < size - 1:
        return None
    tickets = share_memory(wanted, lead, helpers)
    if tickets is None:
        return None
    return _weigh(wanted, lead, helpers, tickets, now_s)


def _weigh(
    wanted: messages.PlacementRequest,
    lead: loads.LoadView,
    helpers: Sequence[loads.LoadView],
    tickets: Sequence[int],
    now_s: float,
) -> Choice:
    engines = [lead, *helpers]
    read_s = max(
        _calculate_part_s(wanted, view, len(engines)) for view in engines
    )
    first_s = max(view.estimate_first_s(wanted, read_s) for view in engines)
    loss = sum(view.calculate_harm(read_s, now_s) for view in engines)
    loss += _calculate_late_loss(wanted, first_s, now_s)
    return Choice(
        lead.load,
        tuple(zip((v.load for v in helpers), tickets, strict=True)),
        read_s,
        max(view.backlog_s for view in engines),
        first_s,
        loss,
    )


def _keep_for_short(
    helping: Sequence[loads.LoadView],
) -> loads.LoadView | None:
    """Returns the engine that long prompts leave to short requests."""
    room = sum(max(v.free_slots - 1, 0) for v in helping if v.has_short)
    if room >= SHORT_ROOM or len(helping) < 2:
        return None
    return min(helping, key=lambda view: (view.writers, view.backlog_s))


def _calculate_failure_loss(
    wanted: messages.PlacementRequest, view: loads.LoadView, best_share: float
) -> float:
    """Returns the value lost by failures beyond those of the best peer."""
    excess = view.load.failure_share - best_share
    return wanted.value * excess if excess > FAILURE_SLACK else 0.0


def _calculate_late_loss(
    wanted: messages.PlacementRequest, first_s: float, now_s: float
) -> float:
    left_s = wanted.on_time_at_s - now_s
    # A request that is late already loses nothing more by waiting.
    if left_s <= 0 or first_s <= left_s:
        return 0.0
    return wanted.value * loads.LATE_LOSS


def share_memory(
    wanted: messages.PlacementRequest,
    lead: loads.LoadView,
    helpers: Sequence[loads.LoadView],
) -> list[int] | None:
    """Returns the memory to reserve at each helper, None if it is too little.

    The prompt fills the reservations in turn; the rest of it, and the output,
    lie at the lead.
    """
    missing = wanted.memory_tokens - max(lead.free_memory_tokens, 0)
    if lead.load.profile is None or missing <= 0:
        return [0] * len(helpers)
    missing = min(missing + TICKET_STEP_TOKENS, wanted.prompt_tokens)
    tickets = []
    for helper in helpers:
        ticket = min(missing, max(helper.free_memory_tokens, 0))
        if ticket < missing:
            ticket -= ticket % TICKET_STEP_TOKENS
        tickets.append(ticket)
        missing -= ticket
    return tickets if missing <= 0 else None
