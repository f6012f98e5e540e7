"""Refusals that need no forecast: nothing can run the request in time."""

from __future__ import annotations

from collections.abc import Sequence

from poplarwick_placement import engine_order
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import queue_order
from poplarwick_placement import service_pool

MIN_RETRY_AFTER_S = 0.1
"""Shortest time after which a refused caller is told to retry."""

NO_ENDPOINT_WAIT_SHARE = 0.125
"""Share of a request's time limit for which it waits for an endpoint of a
service that has none; after that a refusal, with which the caller can try
elsewhere, helps more than waiting."""

NO_ENDPOINT_RETRY_AFTER_S = 1.0
"""Retry delay for a service without endpoints: they come and go within
seconds."""


def refuse_too_large(
    request: messages.PlacementRequest,
    open_states: Sequence[service_pool.EndpointState],
) -> messages.Refusal | None:
    """Refuses a prompt that exceeds the memory of any group of engines."""
    sizes = sorted(
        (s.load.profile.memory_tokens for s in open_states if s.load.profile),
        reverse=True,
    )
    max_memory_tokens = sum(sizes[: engine_order.GROUP_SIZES[0]])
    if (
        not sizes
        or request.memory_tokens
        <= max_memory_tokens * loads.ALLOCATABLE_MEMORY_SHARE
    ):
        return None
    return messages.Refusal(
        messages.RefusalReason.TOO_LARGE, NO_ENDPOINT_RETRY_AFTER_S
    )


def wait_for_endpoint(
    queued: queue_order.QueuedRequest, now_s: float
) -> messages.Refusal | None:
    """Refuses a request whose service has had no endpoint for too long."""
    time_limit_s = queued.request.on_time_at_s - queued.arrived_at_s
    if now_s - queued.arrived_at_s < NO_ENDPOINT_WAIT_SHARE * time_limit_s:
        return None
    return messages.Refusal(
        messages.RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S
    )


def refuse(reason: messages.RefusalReason) -> messages.Refusal:
    """Returns a refusal of a request that may be retried soon."""
    return messages.Refusal(reason, MIN_RETRY_AFTER_S)
