"""Decides at the owner of endpoints which request runs where and when."""

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
from poplarwick_dispatch import bookings
from poplarwick_dispatch import books
from poplarwick_dispatch import cache_watch
from poplarwick_dispatch import capacity
from poplarwick_dispatch import measures
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
        is_live: Returns whether an entry instance is believed to run.
        now_s: Monotonic clock, the same as that of the event loop.
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
        self._owners: dict[ids.EndpointId, pools.Pool] = {}
        self._grants: dict[ids.GrantId, books.EndpointBook] = {}
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
        """Takes a newer configuration into force at once."""
        if self._view is not None and view.version < self._view.version:
            return
        self._view = view
        for pool in self._pools.values():
            self._refresh(pool, view)

    def drain(self) -> None:
        """Refuses new and waiting requests before a planned stop."""
        self._is_draining = True
        for pool in self._pools.values():
            pool.refuse_all(grant_pb2.REFUSAL_DRAINING, "the instance leaves")

    async def begin_tenure(self, tenure: tenures.Tenure) -> None:
        """Starts to give places at an endpoint."""
        if tenure.resource.kind is not tenures.ResourceKind.ENDPOINT:
            return
        if self._view is None:
            return
        endpoint_id = ids.EndpointId(tenure.resource.id)
        endpoint = self._view.find_endpoint(endpoint_id)
        if endpoint is None:
            return
        pool = self._find_pool(_find_target(endpoint))
        if pool is None:
            return
        book = books.EndpointBook(endpoint, tenure, pool.limits, self._now_s)
        book.in_service = self._view.is_in_service(endpoint)
        pool.books[book.id] = book
        self._owners[book.id] = pool
        logs.log_event("tenure_begun", endpoint=endpoint.id, epoch=tenure.epoch)
        if pool.limits.is_service:
            book.is_ready = True
            pool.pump()
        else:
            await self._start_monitor(pool, book)

    async def end_tenure(
        self, tenure: tenures.Tenure, *, is_planned: bool
    ) -> None:
        """Stops to give places at an endpoint."""
        endpoint_id = ids.EndpointId(tenure.resource.id)
        pool = self._owners.get(endpoint_id)
        if pool is None or pool.books[endpoint_id].tenure is not tenure:
            return
        await self._stop_monitor(endpoint_id)
        del self._owners[endpoint_id]
        book = pool.books.pop(endpoint_id)
        for grant in book.bookings:
            self._grants.pop(grant, None)
        logs.log_event(
            "tenure_ended",
            endpoint=endpoint_id,
            epoch=tenure.epoch,
            planned=is_planned,
        )
        if not pool.has_service:
            pool.refuse_all(grant_pb2.REFUSAL_NO_ROOM, "no endpoint here")

    async def acquire(
        self, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        """Waits until a request may be sent to an endpoint, or refuses it.

        Cancelling the call frees the place, whether it waited or was granted.
        """
        target = _make_target(request)
        reply = await self._answer(target, request)
        measures.count_reply(reply)
        pool = self._pools.get(target)
        if pool is not None and pool.books:
            reply.room.append(pool.make_room())
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
        """Takes in progress and ends of granted requests."""
        unknown = []
        touched: set[pools.Pool] = set()
        for item in request.reports:
            book = self._grants.get(ids.GrantId(item.grant_id))
            if book is None:
                unknown.append(item.grant_id)
                continue
            pool = self._owners[book.id]
            self._take_report(pool, book, item)
            touched.add(pool)
        for pool in touched:
            pool.pump()
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
        self, pool: pools.Pool, book: books.EndpointBook
    ) -> None:
        control = self._make_control(book.endpoint.address)
        monitor = monitors.EndpointMonitor(
            pool,
            book,
            control,
            self._is_live,
            self._now_s,
        )
        stack = contextlib.AsyncExitStack()
        await stack.enter_async_context(monitor)
        watch = cache_watch.CacheWatch(book.prefixes, control)
        await stack.enter_async_context(watch)
        self._monitors[book.id] = (monitor, stack)

    async def _stop_monitor(self, endpoint: ids.EndpointId) -> None:
        found = self._monitors.pop(endpoint, None)
        if found is not None:
            await found[1].aclose()

    async def _answer(
        self, target: capacity.Target, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        if self._is_draining:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_DRAINING, "the instance leaves"
            )
        pool = self._pools.get(target)
        if pool is None or not pool.books:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_NOT_OWNER, "no endpoint here"
            )
        return await self._acquire(pool, request)

    async def _acquire(
        self, pool: pools.Pool, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply:
        limits = pool.limits
        cost = limits.estimate(request.prompt_tokens, request.output_tokens)
        if cost.memory_tokens > limits.memory_tokens:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_TOO_LONG,
                f"the limit is {limits.memory_tokens} tokens",
            )
        if not pool.has_service:
            return refusals.make_refusal(
                grant_pb2.REFUSAL_NO_ROOM, "all endpoints here are out"
            )
        waiter = self._make_waiter(pool, request, cost)
        pool.admit(waiter)
        if waiter.reply.done():
            return waiter.reply.result()
        return await self._wait(pool, waiter)

    def _make_waiter(
        self,
        pool: pools.Pool,
        request: grant_pb2.AcquireRequest,
        cost: capacity.Cost,
    ) -> queue.Waiter:
        now_s = self._now_s()
        ends_at_s = now_s + request.timeout_s
        needed_s = cost.prefill_s + cost.decode_s
        return queue.Waiter(
            request=request,
            cost=cost,
            organisation=ids.OrganisationId(request.organisation),
            arrived_at_s=now_s,
            ends_at_s=ends_at_s,
            latest_start_s=ends_at_s - pool.pace.stretch(needed_s),
            reply=asyncio.get_running_loop().create_future(),
        )

    async def _wait(
        self, pool: pools.Pool, waiter: queue.Waiter
    ) -> grant_pb2.AcquireReply:
        loop = asyncio.get_running_loop()
        delay_s = waiter.latest_start_s - self._now_s()
        timer = loop.call_later(delay_s, pool.expire, waiter)
        try:
            return await waiter.reply
        except asyncio.CancelledError:
            pool.leave(waiter)
            self._take_back(pool, waiter)
            raise
        finally:
            timer.cancel()

    def _take_back(self, pool: pools.Pool, waiter: queue.Waiter) -> None:
        if waiter.reply.cancelled() or not waiter.reply.done():
            return
        reply = waiter.reply.result()
        if not reply.HasField("grant"):
            return
        book = self._grants.get(ids.GrantId(reply.grant.grant_id))
        if book is not None:
            grant = ids.GrantId(reply.grant.grant_id)
            pool.release(book, book.bookings[grant])
            pool.pump()

    def _take_report(
        self,
        pool: pools.Pool,
        book: books.EndpointBook,
        item: grant_pb2.GrantReport,
    ) -> None:
        booking = book.bookings[ids.GrantId(item.grant_id)]
        booking.expires_at_s = self._now_s() + pools.KEEP_S
        match item.kind:
            case grant_pb2.REPORT_FIRST_TOKEN:
                self._note_first_token(book, booking, item.first_token_s)
            case grant_pb2.REPORT_COMPLETE:
                book.health.note_success()
                book.window.note_complete()
                pool.note_complete(booking, item.output_tokens)
                pool.release(book, booking)
            case grant_pb2.REPORT_NOT_SENT:
                self._note_not_sent(book, item.detail)
                pool.release(book, booking)
            case grant_pb2.REPORT_FAILED:
                book.health.note_failure()
                self._close(pool, book, booking)
            case grant_pb2.REPORT_CANCELLED:
                self._close(pool, book, booking)

    def _note_first_token(
        self,
        book: books.EndpointBook,
        booking: bookings.Booking,
        first_token_s: float,
    ) -> None:
        book.end_prefill(booking, bookings.BookingState.RUNNING)
        wait_s = booking.wait_s + booking.cost.prefill_s
        if book.window.note_first_token(first_token_s, wait_s):
            logs.log_event("endpoint_slow", endpoint=book.id)
            self._suspect(book)

    def _note_not_sent(self, book: books.EndpointBook, detail: str) -> None:
        if detail == "status_503":
            book.window.close()
        if detail in ("status_503", "status_429"):
            self._suspect(book)
        else:
            book.health.note_failure()

    def _close(
        self,
        pool: pools.Pool,
        book: books.EndpointBook,
        booking: bookings.Booking,
    ) -> None:
        """Frees a place once the engine has confirmed that it is free."""
        if pool.limits.is_service:
            pool.release(book, booking)
            return
        book.end_prefill(booking, bookings.BookingState.CLOSING)
        self._suspect(book)

    def _suspect(self, book: books.EndpointBook) -> None:
        book.is_suspect = True
        found = self._monitors.get(book.id)
        if found is not None:
            found[0].wake()

    def _find_pool(self, target: capacity.Target) -> pools.Pool | None:
        pool = self._pools.get(target)
        if pool is not None or self._view is None:
            return pool
        limits = capacity.find_capacity(self._view, target)
        if limits is None:
            return None
        pool = pools.Pool(target, limits, self._grants, self._now_s)
        self._pools[target] = pool
        self._refresh(pool, self._view)
        return pool

    def _refresh(self, pool: pools.Pool, view: document.View) -> None:
        limits = capacity.find_capacity(view, pool.target)
        if limits is not None:
            pool.limits = limits
        pool.counters.set_weights(
            {
                ids.OrganisationId(o.id): o.weight
                for o in view.document.organisations
            }
        )
        for book in pool.books.values():
            book.limits = pool.limits
            endpoint = view.find_endpoint(book.id)
            was_in_service = book.in_service
            book.in_service = endpoint is not None and view.is_in_service(
                endpoint
            )
            if book.in_service and not was_in_service:
                self._return_to_service(book)
        if not pool.has_service:
            pool.refuse_all(
                grant_pb2.REFUSAL_NO_ROOM, "all endpoints here are out"
            )
        pool.pump()

    def _return_to_service(self, book: books.EndpointBook) -> None:
        """Asks whether the endpoint turned cold before it gets new work."""
        if book.id in self._monitors:
            book.is_ready = False
            self._suspect(book)


def _find_target(endpoint: document.Endpoint) -> capacity.Target:
    if endpoint.model is not None:
        return capacity.Target(model=ids.ModelId(endpoint.model))
    return capacity.Target(service=ids.ServiceId(endpoint.service or ""))


def _make_target(request: grant_pb2.AcquireRequest) -> capacity.Target:
    if request.model:
        return capacity.Target(model=ids.ModelId(request.model))
    return capacity.Target(service=ids.ServiceId(request.service))
