"""Delivery of grant reports in one batch queue for each dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import types
from typing import Self

import aiohttp

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_dispatch import dispatcher
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors
from poplarwick_endpoints import generation
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import grant_grpc
from poplarwick_peers.wire import grant_pb2

FLUSH_DELAY_S = 0.005
SEND_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
MAX_DELIVERY_ATTEMPTS = 5
MAX_BATCH_REPORTS = 256
FINAL_FLUSH_TIMEOUT_S = 2.0


class Reporter:
    """Sends grant reports, with one delivery task for each remote dispatcher.

    A report that cannot be delivered is dropped after
    `MAX_DELIVERY_ATTEMPTS`; the dispatcher then detects the end of the stream
    by polling the endpoint.

    Args:
        instance: Id of this instance.
        local_dispatcher: Dispatcher of this instance.
        channels: Connections to other instances.
        members: Membership of the fleet.
        session: Session for calls to endpoints.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        local_dispatcher: dispatcher.Dispatcher,
        channels: transport.ChannelPool,
        members: membership.Membership,
        session: aiohttp.ClientSession,
    ) -> None:
        self._instance = instance
        self._local_dispatcher = local_dispatcher
        self._channels = channels
        self._members = members
        self._session = session
        self._cancellations: set[asyncio.Task[None]] = set()
        self._queues: dict[
            ids.InstanceId, asyncio.Queue[grant_pb2.GrantReport]
        ] = {}
        self._delivery_tasks: dict[ids.InstanceId, asyncio.Task[None]] = {}
        self._local_tasks: set[asyncio.Task[grant_pb2.ReportReply]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_FLUSH_TIMEOUT_S):
                await self.flush()
        for task in self._delivery_tasks.values():
            task.cancel()
        await asyncio.gather(
            *self._delivery_tasks.values(), return_exceptions=True
        )

    async def flush(self) -> None:
        """Waits until all queued reports are delivered or dropped."""
        await asyncio.gather(*self._cancellations, return_exceptions=True)
        await asyncio.gather(*(queue.join() for queue in self._queues.values()))
        await asyncio.gather(*self._local_tasks, return_exceptions=True)

    def send(
        self, instance: ids.InstanceId, report: grant_pb2.GrantReport
    ) -> None:
        """Queues a report for the dispatcher of an instance."""
        if instance == self._instance:
            self._send_local(report)
            return
        queue = self._queues.get(instance)
        if queue is None:
            queue = self._queues[instance] = asyncio.Queue()
        self._ensure_delivery_task(instance, queue)
        queue.put_nowait(report)

    def cancel_and_send(
        self,
        instance: ids.InstanceId,
        report: grant_pb2.GrantReport,
        target: generation.Target,
    ) -> None:
        """Cancels a stream at its engine in the background, then reports it.

        The report makes the dispatcher release its memory allocation, so the
        engine must release the memory first.
        """
        task = asyncio.create_task(
            self._cancel_and_send(instance, report, target)
        )
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _cancel_and_send(
        self,
        instance: ids.InstanceId,
        report: grant_pb2.GrantReport,
        target: generation.Target,
    ) -> None:
        engine_client = engine.EngineClient(self._session, target.address)
        try:
            await engine_client.cancel(target.stream, target.epoch)
        except errors.EndpointError as error:
            logs.log_event(
                "cancel_failed",
                "WARNING",
                stream=target.stream,
                reason=type(error).__name__,
            )
        self.send(instance, report)

    def _send_local(self, report: grant_pb2.GrantReport) -> None:
        request = grant_pb2.ReportRequest(reports=[report])
        task = asyncio.ensure_future(self._local_dispatcher.report(request))
        self._local_tasks.add(task)
        task.add_done_callback(self._local_tasks.discard)

    def _ensure_delivery_task(
        self,
        instance: ids.InstanceId,
        queue: asyncio.Queue[grant_pb2.GrantReport],
    ) -> None:
        task = self._delivery_tasks.get(instance)
        if task is None or task.done():
            self._delivery_tasks[instance] = asyncio.create_task(
                self._deliver(instance, queue)
            )

    async def _deliver(
        self,
        instance: ids.InstanceId,
        queue: asyncio.Queue[grant_pb2.GrantReport],
    ) -> None:
        while True:
            batch = [await queue.get()]
            await asyncio.sleep(FLUSH_DELAY_S)
            while not queue.empty() and len(batch) < MAX_BATCH_REPORTS:
                batch.append(queue.get_nowait())
            await self._deliver_batch(instance, batch)
            for _ in batch:
                queue.task_done()

    async def _deliver_batch(
        self, instance: ids.InstanceId, batch: list[grant_pb2.GrantReport]
    ) -> None:
        request = grant_pb2.ReportRequest(reports=batch)
        for attempt in range(MAX_DELIVERY_ATTEMPTS):
            member = self._members.find(instance)
            if member is None:
                break
            stub = grant_grpc.GrantServiceStub(
                self._channels.get(member.address)
            )
            try:
                await stub.Report(request, timeout=SEND_TIMEOUT_S)
            except transport.CALL_ERRORS:
                await asyncio.sleep(RETRY_DELAY_S * (attempt + 1))
            else:
                return
        logs.log_event(
            "reports_dropped", "WARNING", instance=instance, count=len(batch)
        )
