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
from poplarwick_placement import work

GROUP_SIZES = (17, 14, 12, 10, 8, 6, 5, 4, 3, 2, 1)
"""Numbers of engines that are weighed for one prompt; the engines take at most
sixteen helpers."""

LONG_READ_S = 0.1
"""Reading time over which a prompt counts as long; about the pause that a
short request's limit leaves beside two passes."""

START_SPREAD_S = 0.03
"""Reading that an engine may still have when a group starts on it; under a
pass, which the group waits for anyway."""

SHORT_ROOM = 4
"""Slots kept for short requests beside those that run; the arrivals of a few
passes at the rates of a busy endpoint."""

FAILURE_COST = 20
"""How much a share of failures slows an endpoint down in a choice: one that
fails two in five more than its peers is the last to be chosen."""

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
    wanted: work.Work,
    usable: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
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
    open_ = [load for load in usable if load.free_slots > 0]
    if not open_:
        return None
    if open_[0].profile is None:
        return _choose_plain(open_)
    if open_[0].calculate_read_s(wanted.prompt_tokens, 1) <= LONG_READ_S:
        return _choose_short(wanted, open_, now_s)
    return _choose_long(
        wanted,
        [load for load in open_ if load.endpoint.id not in awaited],
        [load for load in helping if load.endpoint.id not in awaited],
        now_s,
    )


def _choose_plain(open_: Sequence[loads.EndpointLoad]) -> Choice:
    """Returns the endpoint of a plain service that answers soonest.

    An endpoint that fails more often than its best peer counts as slower.
    """
    best_share = min(load.failure_share for load in open_)

    def estimate_s(load: loads.EndpointLoad) -> float:
        excess = load.failure_share - best_share
        return (
            load.answer_s * (len(load.leads) + 1) * (1 + FAILURE_COST * excess)
        )

    load = min(open_, key=estimate_s)
    return Choice(load, (), 0.0, 0.0, load.answer_s, 0.0)


def _choose_short(
    wanted: work.Work, open_: Sequence[loads.EndpointLoad], now_s: float
) -> Choice | None:
    best: tuple[float, bool, int, float] | None = None
    choice = None
    for load in open_:
        if not _fits(wanted, load):
            continue
        read_s = load.calculate_read_s(wanted.prompt_tokens, 1)
        first_s = load.estimate_first_s(wanted, read_s, now_s)
        loss = load.calculate_harm(
            read_s + load.calculate_backlog_s(now_s), now_s
        ) + _calculate_late_loss(wanted, first_s, now_s)
        is_last_slot = load.free_slots == 1
        rank = (loss, is_last_slot, -len(load.leads), first_s)
        if best is None or rank < best:
            best = rank
            choice = Choice(load, (), read_s, 0.0, first_s, loss)
    return choice


def _choose_long(
    wanted: work.Work,
    open_: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
    now_s: float,
) -> Choice | None:
    kept = _keep_for_short(helping)
    best: Choice | None = None
    for size in GROUP_SIZES:
        choice = _choose_group(wanted, open_, helping, kept, size, now_s)
        if choice is None:
            continue
        if best is None or (choice.loss, choice.first_s) < (
            best.loss,
            best.first_s,
        ):
            best = choice
    return best


def _choose_group(
    wanted: work.Work,
    open_: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
    kept: loads.EndpointLoad | None,
    size: int,
    now_s: float,
) -> Choice | None:
    def rank(load: loads.EndpointLoad) -> tuple[float, float, int]:
        read_s = load.calculate_read_s(wanted.prompt_tokens, size)
        return (
            load.calculate_harm(read_s, now_s),
            load.calculate_backlog_s(now_s),
            len(load.leads),
        )

    leads = [load for load in open_ if load is not kept]
    if not leads:
        return None
    lead = min(leads, key=lambda load: (not _fits(wanted, load), rank(load)))
    others = sorted(
        (
            load
            for load in helping
            if load is not lead
            and load is not kept
            and len(load.parts) < load.slots
        ),
        key=rank,
    )[: size - 1]
    if len(others) < size - 1:
        return None
    tickets = share_memory(wanted, lead, others)
    if tickets is None:
        return None
    return _weigh(wanted, lead, tuple(zip(others, tickets, strict=True)), now_s)


def _weigh(
    wanted: work.Work,
    lead: loads.EndpointLoad,
    helpers: tuple[tuple[loads.EndpointLoad, int], ...],
    now_s: float,
) -> Choice:
    engines = [lead, *(load for load, _ in helpers)]
    read_s = max(
        load.calculate_read_s(wanted.prompt_tokens, len(engines))
        for load in engines
    )
    first_s = max(
        load.estimate_first_s(wanted, read_s, now_s) for load in engines
    )
    harm = sum(load.calculate_harm(read_s, now_s) for load in engines)
    return Choice(
        lead,
        helpers,
        read_s,
        max(load.calculate_backlog_s(now_s) for load in engines),
        first_s,
        harm + _calculate_late_loss(wanted, first_s, now_s),
    )


def _keep_for_short(
    helping: Sequence[loads.EndpointLoad],
) -> loads.EndpointLoad | None:
    """Returns the engine that long prompts leave to short requests."""
    room = sum(
        max(load.free_slots - 1, 0)
        for load in helping
        if any(_is_short(booking) for booking in load.leads.values())
    )
    if room >= SHORT_ROOM or len(helping) < 2:
        return None
    return min(helping, key=lambda load: (len(load.leads), load.read_until_s))


def _is_short(booking: loads.Booking) -> bool:
    return booking.whole_read_s <= LONG_READ_S


def _calculate_late_loss(
    wanted: work.Work, first_s: float, now_s: float
) -> float:
    left_s = wanted.on_time_at_s - now_s
    # A request that is late already loses nothing more by waiting.
    if left_s <= 0 or first_s <= left_s:
        return 0.0
    return wanted.value * loads.LATE_LOSS


def _fits(wanted: work.Work, load: loads.EndpointLoad) -> bool:
    if load.profile is None:
        return True
    return wanted.memory_tokens <= load.free_memory_tokens


def share_memory(
    wanted: work.Work,
    lead: loads.EndpointLoad,
    helpers: Sequence[loads.EndpointLoad],
) -> list[int] | None:
    """Returns the memory to reserve at each helper, None if it is too little.

    The prompt fills the reservations in turn; the rest of it, and the output,
    lie at the lead.
    """
    missing = wanted.memory_tokens - max(lead.free_memory_tokens, 0)
    if lead.profile is None or missing <= 0:
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
