"""Chooses an endpoint for a request among those of one owner."""

from __future__ import annotations

import math
from collections.abc import Callable

from poplarwick_core import ids
from poplarwick_dispatch import capacity
from poplarwick_dispatch import endpoint_allocations
from poplarwick_dispatch import endpoint_health
from poplarwick_dispatch import queue

LONG_HORIZON_S = 15.0
# Delay that a long prefill in progress adds to other requests.
INTERFERENCE_S = 0.05
RESERVE_AFTER_WAIT_S = 10.0
RESERVE_BEFORE_START_S = 30.0

_LONG = capacity.LengthClass.LONG


class Placement:
    """Places requests so that long prompts rarely slow short ones down.

    Long prompts are limited to a subset of the endpoints that grows with their
    backlog. Memory is reserved at one endpoint for a long prompt that has
    waited long for it.

    Attributes:
        endpoints: Endpoints owned by this instance, by id.

    Args:
        now_s: Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.endpoints: dict[
            ids.EndpointId, endpoint_allocations.EndpointAllocations
        ] = {}
        self._now_s = now_s
        self._reserved_for: queue.QueuedRequest | None = None
        self._reserved_endpoint: ids.EndpointId | None = None

    @property
    def available_endpoints(
        self,
    ) -> list[endpoint_allocations.EndpointAllocations]:
        """Endpoints that receive new requests.

        Ejected endpoints are excluded unless there are too many of them: then
        the fault is likely elsewhere, and the remaining endpoints could not
        carry the load.
        """
        usable = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.in_service and endpoint.is_ready
        ]
        healthy = [
            endpoint for endpoint in usable if not endpoint.health.is_ejected
        ]
        ejected = len(usable) - len(healthy)
        if ejected > len(usable) * endpoint_health.MAX_EJECTED_SHARE:
            return usable
        return healthy

    def choose(
        self,
        queued: queue.QueuedRequest,
        long_backlog_s: float,
        *,
        is_over_share: bool = False,
    ) -> endpoint_allocations.EndpointAllocations | None:
        """Returns the endpoint with the shortest expected time to first token.

        Args:
            queued: Request to place.
            long_backlog_s: Engine time of the queued long prompts.
            is_over_share: Whether the organisation of the request is over its
                fair share, so that the request may use only time that no other
                organisation waits for.

        Returns:
            The endpoint, or None if no endpoint can admit the request.
        """
        allowed = self.available_endpoints
        if queued.cost.length_class is _LONG:
            allowed.sort(key=lambda endpoint: endpoint.id)
            allowed = allowed[: self.count_long_endpoints(long_backlog_s)]
        excluded = queued.request.excluded_endpoints
        candidates = [
            endpoint
            for endpoint in allowed
            if endpoint.id not in excluded
            and endpoint.can_admit(queued.cost, is_over_share=is_over_share)
            and self._leaves_reserved_memory(endpoint, queued)
            and endpoint.tenure.is_valid()
        ]
        if not candidates:
            return None
        return min(
            candidates, key=lambda endpoint: _make_sort_key(endpoint, queued)
        )

    def count_long_endpoints(self, backlog_s: float) -> int:
        """Returns how many endpoints may prefill long prompts now.

        The number grows with the prefill time of the queued and running long
        prompts, so that each of these endpoints is busy with them for about
        `LONG_HORIZON_S`.

        Args:
            backlog_s: Engine time of the queued long prompts.
        """
        running_s = sum(
            endpoint.estimate_wait_s(_LONG)
            for endpoint in self.endpoints.values()
            if endpoint.has_long_prefill
        )
        return max(1, math.ceil((backlog_s + running_s) / LONG_HORIZON_S))

    def reserve_memory(self, queued: queue.QueuedRequest | None) -> None:
        """Reserves memory for a long prompt that is urgent or has waited long.

        Args:
            queued: Most urgent long prompt in the queue, or None to release
                the reservation.
        """
        if queued is None or not self._needs_reservation(queued):
            self._reserved_endpoint = None
            self._reserved_for = None
            return
        if (
            self._reserved_for is queued
            and self._reserved_endpoint in self.endpoints
        ):
            return
        excluded = queued.request.excluded_endpoints
        usable = [
            endpoint
            for endpoint in self.available_endpoints
            if endpoint.id not in excluded
        ]
        if usable:
            self._reserved_endpoint = max(
                usable, key=lambda endpoint: endpoint.free_tokens
            ).id
            self._reserved_for = queued

    def _needs_reservation(self, queued: queue.QueuedRequest) -> bool:
        now_s = self._now_s()
        if queued.latest_start_s - now_s < RESERVE_BEFORE_START_S:
            return True
        waited_s = now_s - queued.arrived_at_s
        return (
            waited_s > RESERVE_AFTER_WAIT_S
            and len(self.available_endpoints) > 1
        )

    def _leaves_reserved_memory(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        queued: queue.QueuedRequest,
    ) -> bool:
        if self._reserved_for is None or endpoint.id != self._reserved_endpoint:
            return True
        if queued is self._reserved_for:
            return True
        reserved_tokens = self._reserved_for.cost.memory_tokens
        return (
            queued.cost.memory_tokens + reserved_tokens <= endpoint.free_tokens
        )


def _make_sort_key(
    endpoint: endpoint_allocations.EndpointAllocations,
    queued: queue.QueuedRequest,
) -> tuple[float, int]:
    """Returns the expected time to first token, then the number of requests.

    A cached prefix reduces the time by the prefill that it saves, so that
    affinity yields once the wait at that endpoint costs more.
    """
    cost = queued.cost
    first_token_s = endpoint.estimate_wait_s(cost.length_class)
    if endpoint.has_long_prefill and cost.length_class is not _LONG:
        first_token_s += INTERFERENCE_S
    if cost.prefill_s > 0:
        cached_tokens = endpoint.prefixes.estimate_cached_tokens(
            queued.request.prefix_digests
        )
        saved_share = min(cached_tokens / cost.prompt_tokens, 1.0)
        first_token_s -= saved_share * cost.prefill_s
    return (first_token_s, len(endpoint.allocations))
