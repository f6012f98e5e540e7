"""Keeps the book of one engine in line with the engine itself."""

from __future__ import annotations

import asyncio
import types
from collections.abc import Callable
from typing import Any

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_dispatch import bookings
from poplarwick_dispatch import books
from poplarwick_dispatch import capacity
from poplarwick_dispatch import pool as pools
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors
from poplarwick_endpoints import messages

REPORT_PERIOD_S = 0.5
EXPIRY_MARGIN_S = 1.0
ADOPTED_S = 3_600.0
FENCE_STREAM = ids.StreamId("fence")


class EndpointMonitor:
    """One task that watches one engine during one tenure.

    It adopts the streams that run when the tenure begins, notices restarts,
    asks about grants that expired and frees the memory of ended requests.

    Args:
        pool: Pool of the endpoint.
        book: Book of the endpoint.
        control: Control client of the engine.
        is_live: Returns whether an entry instance is believed to run.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        pool: pools.Pool,
        book: books.EndpointBook,
        control: engine.EngineControl,
        is_live: Callable[[ids.InstanceId], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._book = book
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
        """Looks at the engine now instead of after the period."""
        self._wake.set()

    async def _run(self) -> None:
        await self._take_over()
        while True:
            await self._pause(REPORT_PERIOD_S)
            try:
                await self._look()
                self._book.health.note_answer()
            except errors.StaleEpochError as error:
                self._log("stale_epoch", seen=error.epoch)
            except errors.EndpointError as error:
                self._book.health.note_failure()
                self._log("endpoint_silent", reason=str(error))

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _take_over(self) -> None:
        """Fences earlier owners and adopts what runs.

        An engine that ignores epochs may still get a request on a grant of the
        earlier owner; none is sent after the lifetime of a grant. Each owner
        fences first, so an engine that keeps epochs and has seen none had no
        earlier owner.
        """
        while True:
            try:
                before = await self._control.read_state()
                await self._control.cancel(
                    FENCE_STREAM, self._book.tenure.epoch
                )
                state = await self._control.read_state()
                if self._may_get_old_grants(before, state):
                    await asyncio.sleep(pools.GRANT_TTL_S)
                    state = await self._control.read_state()
                break
            except errors.EndpointError as error:
                self._book.health.note_failure()
                self._log("endpoint_silent", reason=str(error))
                await asyncio.sleep(REPORT_PERIOD_S)
        self._restart_id = state.restart_id
        for stream in state.streams:
            if not stream.is_finished:
                self._adopt(stream)
        finished = sum(stream.is_finished for stream in state.streams)
        self._book.window.note_complete(finished)
        self._book.is_ready = True
        self._log(
            "endpoint_ready",
            adopted=len(self._book.bookings),
            epoch=self._book.tenure.epoch,
        )
        self._pool.pump()

    def _may_get_old_grants(
        self, before: messages.EngineState, fenced: messages.EngineState
    ) -> bool:
        if self._book.endpoint.checks_epochs:
            return False
        keeps_epochs = fenced.epoch == self._book.tenure.epoch
        return before.epoch > 0 or not keeps_epochs

    def _adopt(self, stream: messages.StreamState) -> None:
        parsed = bookings.parse_stream(stream.stream)
        grant, entry = parsed or (ids.make_grant_id(), ids.InstanceId(""))
        is_claimed = parsed is not None and self._is_live(entry)
        now_s = self._now_s()
        booking = bookings.Booking(
            grant=grant,
            stream=ids.StreamId(stream.stream),
            endpoint=self._book.id,
            organisation=ids.OrganisationId(""),
            entry=entry,
            cost=capacity.make_adopted_cost(stream.memory_tokens),
            granted_at_s=now_s,
            expires_at_s=now_s,
            ends_at_s=now_s + ADOPTED_S,
            state=bookings.BookingState.RUNNING,
        )
        self._pool.book(self._book, booking)
        if not is_claimed:
            self._book.end_prefill(booking, bookings.BookingState.CLOSING)

    async def _look(self) -> None:
        report = await self._control.read_report()
        is_new = (
            report.restart_id != self._restart_id
            and report.restart_id not in self._past_restart_ids
        )
        now_s = self._now_s()
        held = tuple(self._book.bookings.values())
        due = [b for b in held if self._is_due(b)]
        running = [b for b in held if b.state is bookings.BookingState.RUNNING]
        if not due and not is_new and not self._book.is_suspect:
            return
        state = await self._control.read_state()
        self._book.is_suspect = False
        self._book.is_ready = True
        if state.restart_id != self._restart_id:
            self._note_restart(state)
            # All that ran before the restart is lost.
            due += [b for b in running if b not in due]
        streams = {stream.stream: stream for stream in state.streams}
        for booking in held:
            found = streams.get(booking.stream)
            if found is not None and not found.is_finished:
                booking.expires_at_s = now_s + pools.KEEP_S
        for booking in due:
            await self._settle(booking, streams.get(booking.stream), now_s)
        self._pool.pump()

    def _note_restart(self, state: messages.EngineState) -> None:
        if self._restart_id is not None:
            self._past_restart_ids.add(self._restart_id)
        self._restart_id = state.restart_id
        self._book.window.close()
        self._log("endpoint_cold", restart=state.restart_id)
        self._pool.move_waiting()

    def _is_due(self, booking: bookings.Booking) -> bool:
        if booking.state is bookings.BookingState.CLOSING:
            return True
        now_s = self._now_s()
        if now_s > booking.expires_at_s + EXPIRY_MARGIN_S:
            return True
        return now_s > booking.ends_at_s or not self._is_live(booking.entry)

    async def _settle(
        self,
        booking: bookings.Booking,
        found: messages.StreamState | None,
        asked_at_s: float,
    ) -> None:
        if booking.grant not in self._book.bookings:
            return
        if not self._must_stop(booking):
            self._keep_or_release(booking, found, asked_at_s)
            return
        may_still_come = (
            booking.state is bookings.BookingState.GRANTED
            and asked_at_s <= booking.expires_at_s + EXPIRY_MARGIN_S
        )
        answer = await self._control.cancel(
            booking.stream, self._book.tenure.epoch
        )
        is_gone = answer is not messages.CancelState.UNKNOWN
        if booking.grant not in self._book.bookings:
            return
        if is_gone or not may_still_come:
            self._pool.release(self._book, booking)

    def _must_stop(self, booking: bookings.Booking) -> bool:
        if booking.state is bookings.BookingState.CLOSING:
            return True
        is_late = self._now_s() > booking.ends_at_s
        return is_late or not self._is_live(booking.entry)

    def _keep_or_release(
        self,
        booking: bookings.Booking,
        found: messages.StreamState | None,
        asked_at_s: float,
    ) -> None:
        if found is not None and not found.is_finished:
            return
        is_expired = asked_at_s > booking.expires_at_s + EXPIRY_MARGIN_S
        was_sent = booking.state is bookings.BookingState.RUNNING
        if is_expired or was_sent or found is not None:
            self._pool.release(self._book, booking)

    def _log(self, event: str, **fields: Any) -> None:
        logs.log_event(event, endpoint=self._book.id, **fields)
