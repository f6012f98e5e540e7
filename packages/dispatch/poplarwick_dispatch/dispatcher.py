"""Grants requests access to the endpoints that this instance owns."""

from __future__ import annotations

import asyncio
import contextlib
import types
from collections.abc import Callable

import grpclib.server

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_dispatch import allocations
from poplarwick_dispatch import cache_watch
from poplarwick_dispatch import capacity
from poplarwick_dispatch import endpoint_allocations
from poplarwick_dispatch import metrics
from poplarwick_dispatch import monitor as monitors
from poplarwick_dispatch import pool as pools
from poplarwick_dispatch import queue
from poplarwick_dispatch import refusals
from poplarwick_endpoints import engine
from poplarwick_ownership import tenure as tenures
from poplarwick_peers.wire import grant_grpc
from poplarwick_peers.wire import grant_pb2


def _always_live(instance: ids.InstanceId) -> bool:
    return True


class Dispatcher(grant_grpc.GrantServiceBase):
    """Admits requests to the endpoints that this instance owns.

    Args:
        instance: This instance.
        make_control: Returns the control client of the engine at an address.
        view: Configuration in force, or None until `apply_view`.
        is_live: Returns whether an entry instance is considered live.
        now_s: Monotonic clock; must be the clock of the event loop.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        *,
        make_control: engine.MakeControl,
        view: document.View | None = None,
        is_live: Callable[[ids.InstanceId], bool] = _always_live,
        now_s: Callable[[], float] = clock.now_s,
    ) -> None:
        self._instance = instance
        self._make_control = make_control
        self._view = view
        self._is_live = is_live
        self._now_s = now_s
        self._pools: dict[capacity.Target, pools.Pool] = {}
        self._pools_by_endpoint: dict[ids.EndpointId, pools.Pool] = {}
        self._endpoints_by_grant: dict[
            ids.GrantId, endpoint_allocations.EndpointAllocations
        ] = {}
        self._monitors: dict[
            ids.EndpointId,
            tuple[monitors.EndpointMonitor, contextlib.AsyncExitStack],
        ] = {}
        self._is_draining = False

    async def __aenter__(self) -> Dispatcher:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.drain()
        for endpoint in tuple(self._monitors):
            await self._stop_monitor(endpoint)

    def apply_view(self, view: document.View) -> None:
        """Applies a newer configuration immediately."""
        if self._view is not None and view.version < self._view.version:
            return
        self._view = view
        for pool in self._pools.values():
            self._apply_view_to_pool(pool, view)

    def drain(self) -> None:
        """Refuses new and queued requests before a planned stop."""
        self._is_draining = True
        for pool in self._pools.values():
            pool.refuse_all(
                grant_pb2.REFUSAL_DRAINING, "the instance is shutting down"
            )

    async def begin_tenure(self, tenure: tenures.Tenure) -> None:
        """Starts to grant requests at an endpoint."""
        if tenure.resource.kind is not tenures.ResourceKind.ENDPOINT:
            return
        if self._view is None:
            return
        endpoint_id = ids.EndpointId(tenure.resource.id)
        config = self._view.find_endpoint(endpoint_id)
        if config is None:
            return
        pool = self._find_pool(_find_target(config))
        if pool is None:
            return
        endpoint = endpoint_allocations.EndpointAllocations(
            config, tenure, pool.warm_capacity, self._now_s
        )
        endpoint.in_service = self._view.is_in_service(config)
        pool.endpoints[endpoint.id] = endpoint
        self._pools_by_endpoint[endpoint.id] = pool
        logs.log_event("tenure_begun", endpoint=config.id, epoch=tenure.epoch)
        if pool.warm_capacity.is_service:
            endpoint.is_ready = True
            pool.grant_queued()
        else:
            await self._start_monitor(pool, endpoint)

    async def end_tenure(
        self, tenure: tenures.Tenure, *, is_planned: bool
    ) -> None:
        """Stops granting requests at an endpoint."""
        endpoint_id = ids.EndpointId(tenure.resource.id)
        pool = self._pools_by_endpoint.get(endpoint_id)
        if pool is None or pool.endpoints[endpoint_id].tenure is not tenure:
            return
        await self._stop_monitor(endpoint_id)
        del self._pools_by_endpoint[endpoint_id]
        endpoint = pool.endpoints.pop(endpoint_id)
        for grant in endpoint.allocations:
            self._endpoints_by_grant.pop(grant, None)
        logs.log_event(
            "tenure_ended",
            endpoint=endpoint_id,
            epoch=tenure.epoch,
            planned=is_planned,
        )
        if not pool.has_endpoint_in_service:
            pool.refuse_all(
                grant_pb2.REFUSAL_NO_ROOM, "no endpoint is owned here"
            )

    async def acquire(
        self, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        """Waits until a request may be sent to an endpoint, or refuses it.

        Cancelling the call removes the request from the queue or releases its
        grant.
        """
        target = _make_target(request)
        reply = await self._admit_or_refuse(target, request)
        metrics.count_reply(reply)
        pool = self._pools.get(target)
        if pool is not None and pool.endpoints:
            reply.room.append(pool.make_capacity_hint())
        else:
            reply.room.append(
                grant_pb2.Room(
                    model=request.model,
                    service=request.service,
                    is_absent=True,
                )
            )
        return reply

    async def report(
        self, request: grant_pb2.ReportRequest
    ) -> grant_pb2.ReportReply:
        """Applies reports on the progress and end of granted requests."""
        unknown = []
        changed_pools: set[pools.Pool] = set()
        for item in request.reports:
            endpoint = self._endpoints_by_grant.get(ids.GrantId(item.grant_id))
            if endpoint is None:
                unknown.append(item.grant_id)
                continue
            pool = self._pools_by_endpoint[endpoint.id]
            self._apply_report(pool, endpoint, item)
            changed_pools.add(pool)
        for pool in changed_pools:
            pool.grant_queued()
        return grant_pb2.ReportReply(unknown_grants=unknown)

    async def Acquire(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            grant_pb2.AcquireRequest, grant_pb2.AcquireReply
        ],
    ) -> None:
        """Serves `acquire` to other instances."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self.acquire(request))

    async def Report(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            grant_pb2.ReportRequest, grant_pb2.ReportReply
        ],
    ) -> None:
        """Serves `report` to other instances."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self.report(request))

    async def _start_monitor(
        self,
        pool: pools.Pool,
        endpoint: endpoint_allocations.EndpointAllocations,
    ) -> None:
        control = self._make_control(endpoint.config.address)
        monitor = monitors.EndpointMonitor(
            pool,
            endpoint,
            control,
            self._is_live,
            self._now_s,
        )
        stack = contextlib.AsyncExitStack()
        await stack.enter_async_context(monitor)
        watch = cache_watch.CacheWatch(endpoint.prefixes, control)
        await stack.enter_async_context(watch)
        self._monitors[endpoint.id] = (monitor, stack)

    async def _stop_monitor(self, endpoint: ids.EndpointId) -> None:
        entry = self._monitors.pop(endpoint, None)
        if entry is not None:
            await entry[1].aclose()

    async def _admit_or_refuse(
        self, target: capacity.Target, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        if self._is_draining:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_DRAINING, "the instance is shutting down"
            )
        pool = self._pools.get(target)
        if pool is None or not pool.endpoints:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_NOT_OWNER,
                "no endpoint is owned here",
            )
        return await self._acquire(pool, request)

    async def _acquire(
        self, pool: pools.Pool, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        warm_capacity = pool.warm_capacity
        cost = warm_capacity.estimate(
            request.prompt_tokens, request.output_tokens
        )
        if cost.memory_tokens > warm_capacity.memory_tokens:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_TOO_LONG,
                f"the limit is {warm_capacity.memory_tokens} tokens",
            )
        if not pool.has_endpoint_in_service:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_NO_ROOM, "no endpoint is in service here"
            )
        queued = self._make_queued_request(pool, request, cost)
        pool.admit(queued)
        if queued.reply.done():
            return queued.reply.result()
        return await self._wait_for_reply(pool, queued)

    def _make_queued_request(
        self,
        pool: pools.Pool,
        request: grant_pb2.AcquireRequest,
        cost: capacity.Cost,
    ) -> queue.QueuedRequest:
        now_s = self._now_s()
        deadline_s = now_s + request.timeout_s
        needed_s = cost.prefill_s + cost.decode_s
        return queue.QueuedRequest(
            request=request,
            cost=cost,
            organisation=ids.OrganisationId(request.organisation),
            arrived_at_s=now_s,
            deadline_s=deadline_s,
            latest_start_s=deadline_s - pool.slowdown.scale(needed_s),
            reply=asyncio.get_running_loop().create_future(),
        )

    async def _wait_for_reply(
        self, pool: pools.Pool, queued: queue.QueuedRequest
    ) -> grant_pb2.AcquireReply:
        loop = asyncio.get_running_loop()
        delay_s = queued.latest_start_s - self._now_s()
        timer = loop.call_later(delay_s, pool.expire, queued)
        try:
            return await queued.reply
        except asyncio.CancelledError:
            pool.dequeue(queued)
            self._release_unclaimed_grant(pool, queued)
            raise
        finally:
            timer.cancel()

    def _release_unclaimed_grant(
        self, pool: pools.Pool, queued: queue.QueuedRequest
    ) -> None:
        if queued.reply.cancelled() or not queued.reply.done():
            return
        reply = queued.reply.result()
        if not reply.HasField("grant"):
            return
        endpoint = self._endpoints_by_grant.get(
            ids.GrantId(reply.grant.grant_id)
        )
        if endpoint is not None:
            grant = ids.GrantId(reply.grant.grant_id)
            pool.release(endpoint, endpoint.allocations[grant])
            pool.grant_queued()

    def _apply_report(
        self,
        pool: pools.Pool,
        endpoint: endpoint_allocations.EndpointAllocations,
        item: grant_pb2.GrantReport,
    ) -> None:
        allocation = endpoint.allocations[ids.GrantId(item.grant_id)]
        allocation.expires_at_s = self._now_s() + pools.ALLOCATION_TTL_S
        match item.kind:
            case grant_pb2.REPORT_FIRST_TOKEN:
                self._record_first_token(
                    endpoint, allocation, item.first_token_s
                )
            case grant_pb2.REPORT_COMPLETE:
                endpoint.health.record_success()
                endpoint.cold_start_limiter.record_completions()
                pool.record_completion(allocation, item.output_tokens)
                pool.release(endpoint, allocation)
            case grant_pb2.REPORT_NOT_SENT:
                self._record_not_sent(endpoint, item.detail)
                pool.release(endpoint, allocation)
            case grant_pb2.REPORT_FAILED:
                endpoint.health.record_failure()
                self._begin_closing(pool, endpoint, allocation)
            case grant_pb2.REPORT_CANCELLED:
                self._begin_closing(pool, endpoint, allocation)

    def _record_first_token(
        self,
        endpoint: endpoint_allocations.EndpointAllocations,
        allocation: allocations.Allocation,
        first_token_s: float,
    ) -> None:
        endpoint.end_prefill(allocation, allocations.AllocationState.RUNNING)
        expected_s = allocation.prefill_ahead_s + allocation.cost.prefill_s
        if endpoint.cold_start_limiter.record_first_token(
            first_token_s, expected_s
        ):
            logs.log_event("endpoint_slow", endpoint=endpoint.id)
            self._mark_suspect(endpoint)

    def _record_not_sent(
        self, endpoint: endpoint_allocations.EndpointAllocations, detail: str
    ) -> None:
        if detail == "status_503":
            endpoint.cold_start_limiter.reset()
        if detail in ("status_503", "status_429"):
            self._mark_suspect(endpoint)
        else:
            endpoint.health.record_failure()

    def _begin_closing(
        self,
        pool: pools.Pool,
        endpoint: endpoint_allocations.EndpointAllocations,
        allocation: allocations.Allocation,
    ) -> None:
        """Releases an allocation of a service or marks it as closing.

        The resources of an engine stay allocated until the engine confirms
        that the request has ended.
        """
        if pool.warm_capacity.is_service:
            pool.release(endpoint, allocation)
            return
        endpoint.end_prefill(allocation, allocations.AllocationState.CLOSING)
        self._mark_suspect(endpoint)

    def _mark_suspect(
        self, endpoint: endpoint_allocations.EndpointAllocations
    ) -> None:
        endpoint.is_suspect = True
        entry = self._monitors.get(endpoint.id)
        if entry is not None:
            entry[0].wake()

    def _find_pool(self, target: capacity.Target) -> pools.Pool | None:
        pool = self._pools.get(target)
        if pool is not None or self._view is None:
            return pool
        warm_capacity = capacity.find_capacity(self._view, target)
        if warm_capacity is None:
            return None
        pool = pools.Pool(
            target, warm_capacity, self._endpoints_by_grant, self._now_s
        )
        self._pools[target] = pool
        self._apply_view_to_pool(pool, self._view)
        return pool

    def _apply_view_to_pool(
        self, pool: pools.Pool, view: document.View
    ) -> None:
        warm_capacity = capacity.find_capacity(view, pool.target)
        if warm_capacity is not None:
            pool.warm_capacity = warm_capacity
        pool.counters.set_weights(
            {
                ids.OrganisationId(o.id): o.weight
                for o in view.document.organisations
            }
        )
        for endpoint in pool.endpoints.values():
            endpoint.warm_capacity = pool.warm_capacity
            config = view.find_endpoint(endpoint.id)
            was_in_service = endpoint.in_service
            endpoint.in_service = config is not None and view.is_in_service(
                config
            )
            if endpoint.in_service and not was_in_service:
                self._return_to_service(endpoint)
        if not pool.has_endpoint_in_service:
            pool.refuse_all(
                grant_pb2.REFUSAL_NO_ROOM, "no endpoint is in service here"
            )
        pool.grant_queued()

    def _return_to_service(
        self, endpoint: endpoint_allocations.EndpointAllocations
    ) -> None:
        """Checks for a restart before the endpoint gets new requests."""
        if endpoint.id in self._monitors:
            endpoint.is_ready = False
            self._mark_suspect(endpoint)


def _find_target(endpoint: document.Endpoint) -> capacity.Target:
    if endpoint.model is not None:
        return capacity.Target(model=ids.ModelId(endpoint.model))
    return capacity.Target(service=ids.ServiceId(endpoint.service or ""))


def _make_target(request: grant_pb2.AcquireRequest) -> capacity.Target:
    if request.model:
        return capacity.Target(model=ids.ModelId(request.model))
    return capacity.Target(service=ids.ServiceId(request.service))
