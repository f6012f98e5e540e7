"""Reconciles the allocations of one endpoint with its engine."""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable
from typing import Any

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_dispatch import allocations
from poplarwick_dispatch import capacity
from poplarwick_dispatch import endpoint_allocations
from poplarwick_dispatch import pool as pools
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors
from poplarwick_endpoints import messages

REPORT_PERIOD_S = 0.5
EXPIRY_MARGIN_S = 1.0
MAX_ADOPTED_S = 3_600.0
FENCE_STREAM = ids.StreamId("fence")


class EndpointMonitor:
    """Runs a task that monitors one engine during one tenure.

    The task adopts the streams that run when the tenure begins, detects
    restarts, checks expired grants at the engine and releases the memory of
    ended requests.

    Args:
        pool: Pool of the endpoint.
        endpoint: Allocations of the endpoint.
        control: Control client of the engine.
        is_live: Returns whether an entry instance is considered live.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        pool: pools.Pool,
        endpoint: endpoint_allocations.EndpointAllocations,
        control: engine.EngineControl,
        is_live: Callable[[ids.InstanceId], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._endpoint = endpoint
        self._control = control
        self._is_live = is_live
        self._now_s = now_s
        self._wake = asyncio.Event()
        self._restart_id: str | None = None
        self._past_restart_ids: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> EndpointMonitor:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def wake(self) -> None:
        """Polls the engine now instead of at the end of the period."""
        self._wake.set()

    async def _run(self) -> None:
        await self._take_over()
        while True:
            await self._wait(REPORT_PERIOD_S)
            try:
                await self._poll()
                self._endpoint.health.record_response()
            except errors.StaleEpochError as error:
                self._log("stale_epoch", seen=error.epoch)
            except errors.EndpointError as error:
                self._endpoint.health.record_failure()
                self._log("endpoint_silent", reason=str(error))

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _take_over(self) -> None:
        """Fences earlier owners and adopts the running streams.

        An engine that does not check epochs may still receive a request on a
        grant of the earlier owner. Waiting for `GRANT_TTL_S` rules this out,
        because no request is sent on an expired grant. Each owner fences
        first, so an engine that records epochs and has recorded none had no
        earlier owner, and no wait is needed.
        """
        while True:
            try:
                before = await self._control.read_state()
                await self._control.cancel(
                    FENCE_STREAM, self._endpoint.tenure.epoch
                )
                state = await self._control.read_state()
                if self._may_receive_earlier_grants(before, state):
                    await asyncio.sleep(pools.GRANT_TTL_S)
                    state = await self._control.read_state()
                break
            except errors.EndpointError as error:
                self._endpoint.health.record_failure()
                self._log("endpoint_silent", reason=str(error))
                await asyncio.sleep(REPORT_PERIOD_S)
        self._restart_id = state.restart_id
        for stream in state.streams:
            if not stream.is_finished:
                self._adopt(stream)
        finished = sum(stream.is_finished for stream in state.streams)
        self._endpoint.cold_start_limiter.record_completions(finished)
        self._endpoint.is_ready = True
        self._log(
            "endpoint_ready",
            adopted=len(self._endpoint.allocations),
            epoch=self._endpoint.tenure.epoch,
        )
        self._pool.grant_queued()

    def _may_receive_earlier_grants(
        self, before: messages.EngineState, fenced: messages.EngineState
    ) -> bool:
        if self._endpoint.config.checks_epochs:
            return False
        records_epochs = fenced.epoch == self._endpoint.tenure.epoch
        return before.epoch > 0 or not records_epochs

    def _adopt(self, stream: messages.StreamState) -> None:
        parsed = allocations.parse_stream_id(stream.stream)
        grant, entry = parsed or (ids.make_grant_id(), ids.InstanceId(""))
        is_entry_live = parsed is not None and self._is_live(entry)
        now_s = self._now_s()
        allocation = allocations.Allocation(
            grant=grant,
            stream=ids.StreamId(stream.stream),
            endpoint=self._endpoint.id,
            organisation=ids.OrganisationId(""),
            entry=entry,
            cost=capacity.make_adopted_cost(stream.memory_tokens),
            granted_at_s=now_s,
            expires_at_s=now_s,
            cancel_at_s=now_s + MAX_ADOPTED_S,
            state=allocations.AllocationState.RUNNING,
        )
        self._pool.allocate(self._endpoint, allocation)
        if not is_entry_live:
            self._endpoint.end_prefill(
                allocation, allocations.AllocationState.CLOSING
            )

    async def _poll(self) -> None:
        report = await self._control.read_report()
        has_restarted = (
            report.restart_id != self._restart_id
            and report.restart_id not in self._past_restart_ids
        )
        now_s = self._now_s()
        allocated = tuple(self._endpoint.allocations.values())
        due = [a for a in allocated if self._is_due(a)]
        running = [
            a
            for a in allocated
            if a.state is allocations.AllocationState.RUNNING
        ]
        if not due and not has_restarted and not self._endpoint.is_suspect:
            return
        state = await self._control.read_state()
        self._endpoint.is_suspect = False
        self._endpoint.is_ready = True
        if state.restart_id != self._restart_id:
            self._handle_restart(state)
            # All streams that ran before the restart are lost.
            due += [a for a in running if a not in due]
        streams = {stream.stream: stream for stream in state.streams}
        for allocation in allocated:
            found = streams.get(allocation.stream)
            if found is not None and not found.is_finished:
                allocation.expires_at_s = now_s + pools.ALLOCATION_TTL_S
        for allocation in due:
            await self._reconcile(
                allocation, streams.get(allocation.stream), now_s
            )
        self._pool.grant_queued()

    def _handle_restart(self, state: messages.EngineState) -> None:
        if self._restart_id is not None:
            self._past_restart_ids.add(self._restart_id)
        self._restart_id = state.restart_id
        self._endpoint.cold_start_limiter.reset()
        self._log("endpoint_cold", restart=state.restart_id)
        self._pool.refuse_queued_if_cold()

    def _is_due(self, allocation: allocations.Allocation) -> bool:
        if allocation.state is allocations.AllocationState.CLOSING:
            return True
        now_s = self._now_s()
        if now_s > allocation.expires_at_s + EXPIRY_MARGIN_S:
            return True
        return now_s > allocation.cancel_at_s or not self._is_live(
            allocation.entry
        )

    async def _reconcile(
        self,
        allocation: allocations.Allocation,
        found: messages.StreamState | None,
        polled_at_s: float,
    ) -> None:
        if allocation.grant not in self._endpoint.allocations:
            return
        if not self._must_cancel(allocation):
            self._release_if_ended(allocation, found, polled_at_s)
            return
        may_still_be_sent = (
            allocation.state is allocations.AllocationState.GRANTED
            and polled_at_s <= allocation.expires_at_s + EXPIRY_MARGIN_S
        )
        result = await self._control.cancel(
            allocation.stream, self._endpoint.tenure.epoch
        )
        was_known = result is not messages.CancelState.UNKNOWN
        if allocation.grant not in self._endpoint.allocations:
            return
        if was_known or not may_still_be_sent:
            self._pool.release(self._endpoint, allocation)

    def _must_cancel(self, allocation: allocations.Allocation) -> bool:
        if allocation.state is allocations.AllocationState.CLOSING:
            return True
        is_late = self._now_s() > allocation.cancel_at_s
        return is_late or not self._is_live(allocation.entry)

    def _release_if_ended(
        self,
        allocation: allocations.Allocation,
        found: messages.StreamState | None,
        polled_at_s: float,
    ) -> None:
        if found is not None and not found.is_finished:
            return
        is_expired = polled_at_s > allocation.expires_at_s + EXPIRY_MARGIN_S
        was_sent = allocation.state is allocations.AllocationState.RUNNING
        if is_expired or was_sent or found is not None:
            self._pool.release(self._endpoint, allocation)

    def _log(self, event: str, **fields: Any) -> None:
        logs.log_event(event, endpoint=self._endpoint.id, **fields)
