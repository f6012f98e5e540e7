"""Chooses endpoints where only this instance's own requests are known.

Load pattern: no instance places for all, because it was lost or cut off, and
several instances choose at the same time. They spread: packing on the same
endpoint by many would overrun it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from poplarwick_placement import loads
from poplarwick_placement import packing
from poplarwick_placement import work

LARGEST_GROUP = 3
"""Engines that read one prompt here; each group made by one instance is
unknown to the others, so groups stay small."""


def choose(
    wanted: work.Work,
    usable: Sequence[loads.EndpointLoad],
    helping: Sequence[loads.EndpointLoad],
    now_s: float,
    draw: random.Random,
) -> packing.Choice | None:
    """Returns the endpoint with the least known backlog, ties at random."""
    open_ = [load for load in usable if load.free_slots > 0]
    if not open_:
        return None
    lead = min(
        open_,
        key=lambda load: (
            load.calculate_backlog_s(now_s),
            len(load.leads) + len(load.parts),
            draw.random(),
        ),
    )
    size = _choose_size(wanted, lead)
    helpers = draw.sample(
        [load for load in helping if load is not lead],
        k=min(size - 1, len(helping) - (lead in helping)),
    )
    tickets = packing.share_memory(wanted, lead, helpers)
    if tickets is None:
        return None
    read_s = lead.calculate_read_s(wanted.prompt_tokens, len(helpers) + 1)
    first_s = lead.estimate_first_s(wanted, read_s, now_s)
    return packing.Choice(
        lead,
        tuple(zip(helpers, tickets, strict=True)),
        read_s,
        0.0,
        first_s,
        0.0,
    )


def _choose_size(wanted: work.Work, lead: loads.EndpointLoad) -> int:
    if lead.profile is None:
        return 1
    whole = lead.profile.memory_tokens
    if wanted.memory_tokens > lead.free_memory_tokens:
        return max(LARGEST_GROUP, -(-2 * wanted.memory_tokens // whole))
    read_s = lead.calculate_read_s(wanted.prompt_tokens, 1)
    return LARGEST_GROUP if read_s > 1.0 else 1
