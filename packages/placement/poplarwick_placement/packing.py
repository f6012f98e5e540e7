"""Chooses endpoints where all requests in flight are known.

Load pattern: short requests with short pause limits beside prompts whose
reading holds up a whole pass, the mix turning over within seconds. Short
requests are packed on few endpoints; a long prompt is read where no writer is
held up past its limit, in parts where that is needed to be on time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from poplarwick_placement import loads
from poplarwick_placement import work

GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for one prompt; the engines take at most
sixteen helpers."""

COMFORT = 0.5
"""Part of the time left within which a first event is expected before a
larger group is weighed; leaves room for what the model does not know."""

LONG_READ_S = 0.1
"""Reading time over which a prompt counts as long; about the pause that a
short request's limit leaves beside two passes."""

TICKET_STEP_TOKENS = 1_024
"""Reservations are rounded up to this, well above an engine's block."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A way to run a request.

    Attributes:
        lead: Endpoint that runs it.
        helpers: Endpoints that read parts, with memory to reserve there.
        read_s: Time that each of them reads.
        first_s: Expected time to the first event.
        loss: Value lost by being late and by holding up others.
    """

    lead: loads.EndpointLoad
    helpers: tuple[tuple[loads.EndpointLoad, int], ...]
    read_s: float
    first_s: float
    loss: float


def choose(
    wanted: work.Work,
    usable: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
    now_s: float,
) -> Choice | None:
    """Returns the way with the least loss, or None where there is no room.

    Args:
        wanted: What the request needs.
        usable: Endpoints that may run it.
        helping: Endpoints that may read a part of it.
        now_s: Monotonic time.
    """
    best: Choice | None = None
    for size in GROUP_SIZES:
        choice = _choose_group(wanted, usable, helping, size, now_s)
        if choice is None:
            continue
        if best is None or _is_better(choice, best, wanted, now_s):
            best = choice
        if best.loss == 0 and _is_comfortable(best, wanted, now_s):
            break
    return best


def _is_better(
    choice: Choice, best: Choice, wanted: work.Work, now_s: float
) -> bool:
    if choice.loss != best.loss:
        return choice.loss < best.loss
    if _is_comfortable(best, wanted, now_s):
        return False
    return choice.first_s < best.first_s


def _is_comfortable(choice: Choice, wanted: work.Work, now_s: float) -> bool:
    return choice.first_s <= COMFORT * (wanted.on_time_at_s - now_s)


def _choose_group(
    wanted: work.Work,
    usable: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
    size: int,
    now_s: float,
) -> Choice | None:
    lead = _choose_lead(wanted, usable, size, now_s)
    if lead is None:
        return None
    read_s = lead.calculate_read_s(wanted.prompt_tokens, size)
    helpers = _choose_helpers(wanted, lead, helping, size, read_s, now_s)
    if len(helpers) < size - 1:
        return None
    tickets = share_memory(wanted, lead, helpers)
    if tickets is None:
        return None
    harm = lead.calculate_harm(read_s, now_s)
    first_s = lead.estimate_first_s(wanted, read_s, now_s)
    for helper in helpers:
        harm += helper.calculate_harm(read_s, now_s)
        first_s = max(first_s, helper.estimate_first_s(wanted, read_s, now_s))
    left_s = wanted.on_time_at_s - now_s
    # A request that is late already loses nothing by waiting.
    is_late = left_s > 0 and first_s > left_s
    loss = harm + (wanted.value * loads.LATE_LOSS if is_late else 0.0)
    return Choice(
        lead, tuple(zip(helpers, tickets, strict=True)), read_s, first_s, loss
    )


def _choose_lead(
    wanted: work.Work,
    usable: Sequence[loads.EndpointLoad],
    size: int,
    now_s: float,
) -> loads.EndpointLoad | None:
    best: tuple[float, float, int, float] | None = None
    found = None
    for load in usable:
        if load.free_slots <= 0:
            continue
        if size == 1 and not _fits(wanted, load):
            continue
        read_s = load.calculate_read_s(wanted.prompt_tokens, size)
        first_s = load.estimate_first_s(wanted, read_s, now_s)
        late = max(first_s - COMFORT * (wanted.on_time_at_s - now_s), 0.0)
        harm = load.calculate_harm(read_s, now_s)
        packed = len(load.leads)
        order = packed if read_s > LONG_READ_S else -packed
        rank = (harm, late, order, first_s)
        if best is None or rank < best:
            best, found = rank, load
    return found


def _choose_helpers(
    wanted: work.Work,
    lead: loads.EndpointLoad,
    helping: Sequence[loads.EndpointLoad],
    size: int,
    read_s: float,
    now_s: float,
) -> list[loads.EndpointLoad]:
    if size == 1:
        return []
    ranked = sorted(
        (
            load
            for load in helping
            if load is not lead and len(load.parts) < load.slots
        ),
        key=lambda load: (
            load.calculate_harm(read_s, now_s),
            load.calculate_backlog_s(now_s),
            len(load.leads),
        ),
    )
    return ranked[: size - 1]


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
    if missing <= 0:
        return [0] * len(helpers)
    missing = min(missing + TICKET_STEP_TOKENS, wanted.prompt_tokens)
    tickets = []
    for helper in helpers:
        ticket = min(missing, max(helper.free_memory_tokens, 0))
        ticket -= ticket % TICKET_STEP_TOKENS if ticket < missing else 0
        tickets.append(ticket)
        missing -= ticket
    return tickets if missing <= 0 else None


