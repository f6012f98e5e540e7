"""The owned endpoints of one target and their request queues."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterator

from poplarwick_core import ids
from poplarwick_dispatch import allocations
from poplarwick_dispatch import capacity
from poplarwick_dispatch import endpoint_allocations
from poplarwick_dispatch import fairness
from poplarwick_dispatch import placement
from poplarwick_dispatch import queue
from poplarwick_dispatch import refusals
from poplarwick_dispatch import slowdown
from poplarwick_peers.wire import grant_pb2

GRANT_TTL_S = 2.0
# Time without a report after which the monitor checks a stream.
ALLOCATION_TTL_S = 10.0
# Time after its deadline at which the monitor cancels a request.
CANCEL_MARGIN_S = 5.0
# Excess over the least served organisation above which an organisation gets
# only spare prefill time.
MAX_EXCESS_S = 1.0
# Requests for models are queued only at the last hop; at earlier hops, a full
# owner refuses them at once.
LAST_HOP = 3
# Added to the hinted queue time while no endpoint can admit a request.
FULL_QUEUE_S = 1.0
# Engine time per endpoint above which queued requests are shed.
MAX_BACKLOG_S = {
    capacity.LengthClass.SHORT: 2.0,
    capacity.LengthClass.MEDIUM: 15.0,
    capacity.LengthClass.LONG: 600.0,
}
MAX_PRIORITY = 24
PRIORITY_STEP = 2
# Prefill time up to which a request has the maximum priority.
PRIORITY_BASE_S = 0.05

_LONG = capacity.LengthClass.LONG


class Pool:
    """Queues the requests of one target and grants them endpoints.

    Attributes:
        target: Model or plain service.
        warm_capacity: Capacity of one warm endpoint.
        placement: Chooses among the endpoints.
        endpoints: Endpoints owned by this instance, by id.
        queues: Queued requests by length class.
        counters: Service received by each organisation.
        slowdown: Ratio of measured to estimated time of requests.

    Args:
        target: Model or plain service.
        warm_capacity: Capacity of one warm endpoint.
        endpoints_by_grant: Endpoint of each grant, shared by all pools of the
            instance.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        target: capacity.Target,
        warm_capacity: capacity.Capacity,
        endpoints_by_grant: dict[
            ids.GrantId, endpoint_allocations.EndpointAllocations
        ],
        now_s: Callable[[], float],
    ) -> None:
        self.target = target
        self.warm_capacity = warm_capacity
        self.placement = placement.Placement(now_s)
        self.endpoints = self.placement.endpoints
        self.queues = {c: queue.ClassQueue() for c in capacity.LengthClass}
        self.counters = fairness.ServiceCounters()
        self.slowdown = slowdown.SlowdownEstimator()
        self._smallest = warm_capacity.estimate(1, 1)
        self._endpoints_by_grant = endpoints_by_grant
        self._now_s = now_s

    @property
    def has_endpoint_in_service(self) -> bool:
        """Whether any endpoint is in service."""
        return any(endpoint.in_service for endpoint in self.endpoints.values())

    @property
    def queued_requests(self) -> Iterator[queue.QueuedRequest]:
        """All queued requests."""
        for class_queue in self.queues.values():
            yield from class_queue

    def admit(self, queued: queue.QueuedRequest) -> None:
        """Grants, queues or refuses a request."""
        if queued.latest_start_s < self._now_s():
            self._refuse_late(queued)
            return
        if not self._has_queued and self._try_grant(queued):
            return
        class_queue = self.queues[queued.cost.length_class]
        wait_s = self.estimate_wait_s(queued)
        if not self.warm_capacity.is_service and queued.request.hops < LAST_HOP:
            # Another owner may have capacity now; trying it costs one hop.
            self._refuse_full(queued, wait_s)
            return
        if self._now_s() + wait_s > queued.latest_start_s:
            self._refuse_full(queued, wait_s)
            return
        queued_organisations = self._list_queued_organisations()
        if queued.organisation not in queued_organisations:
            self.counters.activate(queued.organisation, queued_organisations)
        class_queue.add(queued)
        self._shed(class_queue, queued.cost.length_class)
        self.grant_queued()

    def dequeue(self, queued: queue.QueuedRequest) -> bool:
        """Removes a request from its queue; returns whether it was queued."""
        return self.queues[queued.cost.length_class].remove(queued)

    def expire(self, queued: queue.QueuedRequest) -> None:
        """Refuses a queued request that can no longer meet its deadline."""
        if self.dequeue(queued):
            self._refuse_late(queued)

    def refuse_all(self, reason: grant_pb2.RefusalReason, detail: str) -> None:
        """Refuses all queued requests, so that entries retry elsewhere."""
        for queued in tuple(self.queued_requests):
            self.dequeue(queued)
            _reply(queued, refusals.make_refusal(reason, detail))

    def refuse_queued_if_cold(self) -> None:
        """Refuses all queued requests if no warm endpoint is left."""
        if not any(
            endpoint.cold_start_limiter.is_warm
            for endpoint in self.placement.available_endpoints
        ):
            self.refuse_all(
                grant_pb2.REFUSAL_NO_ROOM, "no warm endpoint is available"
            )

    def grant_queued(self) -> None:
        """Grants queued requests that fit, least served organisation first."""
        if not self._has_queued:
            return
        while self._grant_next():
            pass
        self.placement.reserve_memory(self.queues[_LONG].find_most_urgent())

    def estimate_wait_s(self, queued: queue.QueuedRequest) -> float:
        """Returns the expected queue time of a request under fair shares."""
        class_queue = self.queues[queued.cost.length_class]
        if len(class_queue) == 0:
            return 0.0
        organisations = {*class_queue.organisations, queued.organisation}
        total_weight = sum(self.counters.find_weight(o) for o in organisations)
        organisation_weight = self.counters.find_weight(queued.organisation)
        organisation_backlog_s = class_queue.get_backlog_s(queued.organisation)
        fair_share_s = (
            (organisation_backlog_s + queued.cost.engine_s)
            * total_weight
            / organisation_weight
        )
        backlog_s = min(class_queue.backlog_s, fair_share_s)
        endpoints = len(self.placement.available_endpoints)
        if queued.cost.length_class is _LONG:
            usable = self.placement.count_long_endpoints(class_queue.backlog_s)
            endpoints = min(endpoints, usable)
        return backlog_s / max(endpoints, 1)

    def record_completion(
        self, allocation: allocations.Allocation, output_tokens: int
    ) -> None:
        """Updates the slowdown estimate with a completed request."""
        self.slowdown.record(
            self._now_s() - allocation.granted_at_s,
            allocation.cost.prefill_s
            + self.warm_capacity.estimate_decode_s(output_tokens),
        )

    def make_capacity_hint(self) -> grant_pb2.Room:
        """Returns the hint about free capacity that replies carry."""
        available_endpoints = self.placement.available_endpoints
        if not self.has_endpoint_in_service:
            # The queues are empty only because no endpoint is in service.
            return grant_pb2.Room(
                model=self.target.model or "",
                service=self.target.service or "",
                is_absent=True,
            )
        backlog_s = sum(
            class_queue.backlog_s
            for length_class, class_queue in self.queues.items()
            if length_class is not _LONG
        )
        backlog_s += sum(
            endpoint.estimate_wait_s(capacity.LengthClass.MEDIUM)
            for endpoint in available_endpoints
        )
        if not any(
            endpoint.can_admit(self._smallest)
            for endpoint in available_endpoints
        ):
            backlog_s += FULL_QUEUE_S * len(available_endpoints)
        return grant_pb2.Room(
            model=self.target.model or "",
            service=self.target.service or "",
            queue_s=backlog_s / max(len(available_endpoints), 1),
            free_tokens=max(
                (endpoint.free_tokens for endpoint in available_endpoints),
                default=0,
            ),
        )

    @property
    def _has_queued(self) -> bool:
        return any(len(q) > 0 for q in self.queues.values())

    def _grant_next(self) -> bool:
        lowest_level = self._find_lowest_level()
        for organisation in self.counters.order(
            self._list_queued_organisations()
        ):
            excess_s = self.counters.get_level(organisation) - lowest_level
            for class_queue in self.queues.values():
                queued = class_queue.find_first(organisation)
                if queued is None:
                    continue
                if self._try_grant(
                    queued, is_over_share=excess_s > MAX_EXCESS_S
                ):
                    class_queue.remove(queued)
                    return True
        return False

    def _list_queued_organisations(self) -> tuple[ids.OrganisationId, ...]:
        found = dict.fromkeys(
            organisation
            for class_queue in self.queues.values()
            for organisation in class_queue.organisations
        )
        return tuple(found)

    def _find_lowest_level(self) -> float:
        """Returns the lowest level of organisations with a queued request.

        Long prompts are not counted: they wait for a prefill slot of their own
        and do not delay other prompts.
        """
        organisations = {
            organisation
            for length_class, class_queue in self.queues.items()
            if length_class is not _LONG
            for organisation in class_queue.organisations
        }
        levels = [self.counters.get_level(o) for o in organisations]
        return min(levels, default=math.inf)

    def _try_grant(
        self, queued: queue.QueuedRequest, *, is_over_share: bool = False
    ) -> bool:
        endpoint = self.placement.choose(
            queued, self.queues[_LONG].backlog_s, is_over_share=is_over_share
        )
        if endpoint is None:
            return False
        allocation = self._make_allocation(endpoint, queued)
        self.allocate(endpoint, allocation)
        self.counters.charge(queued.organisation, queued.cost.engine_s)
        _reply(queued, self._make_grant(endpoint, allocation, queued))
        return True

    def _make_allocation(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        queued: queue.QueuedRequest,
    ) -> allocations.Allocation:
        now_s = self._now_s()
        grant = ids.make_grant_id()
        return allocations.Allocation(
            grant=grant,
            stream=allocations.make_stream_id(
                grant, ids.InstanceId(queued.request.entry_instance)
            ),
            endpoint=endpoint.id,
            organisation=queued.organisation,
            entry=ids.InstanceId(queued.request.entry_instance),
            cost=queued.cost,
            granted_at_s=now_s,
            expires_at_s=now_s + GRANT_TTL_S,
            cancel_at_s=queued.deadline_s + CANCEL_MARGIN_S,
            prefill_ahead_s=endpoint.estimate_wait_s(queued.cost.length_class),
        )

    def allocate(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        allocation: allocations.Allocation,
    ) -> None:
        """Allocates resources of an endpoint."""
        endpoint.add(allocation)
        self._endpoints_by_grant[allocation.grant] = endpoint

    def release(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        allocation: allocations.Allocation,
    ) -> None:
        """Releases an allocation; the caller then calls `grant_queued`."""
        self._endpoints_by_grant.pop(allocation.grant, None)
        endpoint.remove(allocation)

    def _make_grant(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        allocation: allocations.Allocation,
        queued: queue.QueuedRequest,
    ) -> grant_pb2.AcquireReply:
        grant = grant_pb2.Grant(
            grant_id=allocation.grant,
            endpoint=endpoint.id,
            address=endpoint.config.address,
            stream_id=allocation.stream,
            epoch=endpoint.tenure.epoch,
            expires_s=GRANT_TTL_S,
            queued_s=allocation.granted_at_s - queued.arrived_at_s,
            priority=_choose_priority(queued),
        )
        return grant_pb2.AcquireReply(grant=grant)

    def _shed(
        self,
        class_queue: queue.ClassQueue,
        length_class: capacity.LengthClass,
    ) -> None:
        max_backlog_s = MAX_BACKLOG_S[length_class] * max(
            len(self.endpoints), 1
        )
        while class_queue.backlog_s > max_backlog_s and len(class_queue) > 1:
            heaviest = max(
                class_queue.organisations,
                key=lambda organisation: (
                    class_queue.get_backlog_s(organisation)
                    / self.counters.find_weight(organisation)
                ),
            )
            victim = class_queue.find_last(heaviest)
            if victim is None:
                return
            class_queue.remove(victim)
            self._refuse_full(victim, self.estimate_wait_s(victim))

    def _refuse_full(self, queued: queue.QueuedRequest, wait_s: float) -> None:
        reply = refusals.make_refusal(
            grant_pb2.REFUSAL_NO_ROOM, "the queue is full", wait_s
        )
        _reply(queued, reply)

    def _refuse_late(self, queued: queue.QueuedRequest) -> None:
        needed_s = queued.deadline_s - queued.latest_start_s
        reply = refusals.make_refusal(
            grant_pb2.REFUSAL_DEADLINE,
            f"needs about {needed_s:.1f} s, more than the time left",
            self.estimate_wait_s(queued),
        )
        _reply(queued, reply)


def _choose_priority(queued: queue.QueuedRequest) -> int:
    """Returns a priority that falls with each doubling of prefill time."""
    doublings = math.log2(max(queued.cost.prefill_s / PRIORITY_BASE_S, 1))
    steps = round(doublings) * PRIORITY_STEP
    return max(MAX_PRIORITY - steps, 0) + queued.request.priority


def _reply(queued: queue.QueuedRequest, reply: grant_pb2.AcquireReply) -> None:
    if not queued.reply.done():
        queued.reply.set_result(reply)
