"""Chooses endpoints where only this instance's own requests are known.

Load pattern: no instance places for all, because it was lost or cut off, and
several instances choose at the same time. They spread: packing on the same
endpoint by many would overrun it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing

LARGEST_GROUP = 3
"""Engines that read one prompt here; each group made by one instance is
unknown to the others, so groups stay small."""

SHARED_READ_S = 1.0
"""Reading time over which a prompt is shared; a shorter one alone is on time
by the users' sheets."""


def choose(
    wanted: messages.PlacementRequest,
    usable: Sequence[loads.LoadView],
    helping: Sequence[loads.LoadView],
    draw: random.Random,
) -> packing.Choice | None:
    """Returns the endpoint with the least known backlog, ties at random."""
    open_ = [view for view in usable if view.free_slots > 0]
    if not open_:
        return None
    lead = min(
        open_,
        key=lambda view: (
            view.backlog_s,
            view.writers + len(view.load.parts),
            draw.random(),
        ),
    )
    others = [view for view in helping if view is not lead]
    size = min(_choose_size(wanted, lead), len(others) + 1)
    helpers = draw.sample(others, k=size - 1)
    tickets = packing.share_memory(wanted, lead, helpers)
    if tickets is None:
        return None
    read_s = lead.load.calculate_read_s(wanted.prompt_tokens, size)
    return packing.Choice(
        lead.load,
        tuple(zip((v.load for v in helpers), tickets, strict=True)),
        read_s,
        0.0,
        lead.estimate_first_s(wanted, read_s),
        0.0,
    )


def _choose_size(
    wanted: messages.PlacementRequest, lead: loads.LoadView
) -> int:
    load = lead.load
    if load.profile is None:
        return 1
    if wanted.memory_tokens > lead.free_memory_tokens:
        whole = load.profile.memory_tokens
        return max(LARGEST_GROUP, -(-2 * wanted.memory_tokens // whole))
    read_s = load.calculate_read_s(wanted.prompt_tokens, 1)
    return LARGEST_GROUP if read_s > SHARED_READ_S else 1
