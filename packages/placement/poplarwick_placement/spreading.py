"""Chooses endpoints where only the requests of this instance are known.

Load pattern: no placer serves this instance, because it was lost or the
network is partitioned, and several instances choose concurrently. Requests are
spread: if many instances packed them on the same endpoint, they would overload
it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing

MAX_GROUP_SIZE = 3
"""Most engines that prefill one prompt here; an instance does not know the
groups of the others, so groups stay small."""

MIN_SPLIT_PREFILL_S = 1.0
"""Prefill time above which a prompt is split; a shorter one is on time on a
single engine by the users' limits."""


def choose(
    request: messages.PlacementRequest,
    primary_views: Sequence[loads.LoadView],
    helper_views: Sequence[loads.LoadView],
    rng: random.Random,
) -> packing.Choice | None:
    """Returns the endpoint with the least known backlog, ties at random."""
    free_views = [view for view in primary_views if view.free_slots > 0]
    if not free_views:
        return None
    primary = min(
        free_views,
        key=lambda view: (
            view.backlog_s,
            view.running_count + len(view.load.helper_allocations),
            rng.random(),
        ),
    )
    others = [view for view in helper_views if view is not primary]
    size = min(_choose_size(request, primary), len(others) + 1)
    helpers = rng.sample(others, k=size - 1)
    reservations = packing.split_memory(request, primary, helpers)
    if reservations is None:
        return None
    prefill_s = primary.load.calculate_prefill_s(request.prompt_tokens, size)
    return packing.Choice(
        primary.load,
        tuple(zip((v.load for v in helpers), reservations, strict=True)),
        prefill_s,
        0.0,
        primary.estimate_first_event_s(request, prefill_s),
        0.0,
    )


def _choose_size(
    request: messages.PlacementRequest, primary: loads.LoadView
) -> int:
    load = primary.load
    if load.profile is None:
        return 1
    if primary.calculate_missing_tokens(request) > 0:
        engine_tokens = load.profile.memory_tokens
        return max(
            MAX_GROUP_SIZE, -(-2 * request.memory_tokens // engine_tokens)
        )
    prefill_s = load.calculate_prefill_s(request.prompt_tokens, 1)
    return MAX_GROUP_SIZE if prefill_s > MIN_SPLIT_PREFILL_S else 1
