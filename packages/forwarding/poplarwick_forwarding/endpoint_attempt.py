"""One attempt: a request at one endpoint, from its placement to its end."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import types
from typing import Self

from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_forwarding import backpressure
from poplarwick_forwarding import dialect
from poplarwick_forwarding import ended_endpoints
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import placement_records
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import reservations
from poplarwick_forwarding import response_checks
from poplarwick_forwarding import upstream
from poplarwick_placement import messages


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAccess:
    """What attempts need to reach endpoints.

    Attributes:
        placements: Is told how attempts end.
        sender: Sends requests to endpoints.
        wire_dialect: Protocol dialect of the platform.
        memory: Reserves engine memory for very long prompts.
        notices: What endpoints have asked of this instance.
        ended: Finds out that silent endpoints have ended.
    """

    placements: placement_client.PlacementClient
    sender: upstream.Upstream
    wire_dialect: dialect.Dialect
    memory: reservations.Reservations
    notices: endpoint_notices.EndpointNotices
    ended: ended_endpoints.EndedEndpoints


class Attempt:
    """An attempt, which is ended when its context is exited.

    The endpoint's connection is closed then, memory that was reserved for the
    attempt is released, and the placer is told how it ended. An attempt may be
    opened by one task and continued by another.

    Args:
        access: Reaches endpoints.
        exchange: The request.
        sink: Response to the caller.
        progress: What is known of the request.
        request_number: Number of the placement.
        placement: Where the request is sent.

    Attributes:
        placement: Where the request is sent.
        request_number: Number of the placement.
        outcome: How the attempt has served the request; None if it has not.
        sent_at_s: Monotonic time at which it was sent; None before that.
        answered_at_s: Monotonic time of the head of its response; None before
            that.
        last_event_at_s: Monotonic time of its last event; None before that.
    """

    def __init__(
        self,
        access: EndpointAccess,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        request_number: int,
        placement: messages.Placement,
    ) -> None:
        self.placement = placement
        self.request_number = request_number
        self.outcome: outcomes.Outcome | None = None
        self.sent_at_s: float | None = None
        self.answered_at_s: float | None = None
        self.last_event_at_s: float | None = None
        self._access = access
        self._exchange = exchange
        self._sink = sink
        self._progress = progress
        self._response: upstream.Response | None = None
        self._opening = asyncio.timeout(None)
        self._stack = contextlib.AsyncExitStack()
        self._is_ended = False

    @property
    def written_s(self) -> float | None:
        """Time from the head of the response to its last event."""
        if self.answered_at_s is None:
            return None
        return max((self.last_event_at_s or 0.0) - self.answered_at_s, 0.0)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        try:
            await self._stack.__aexit__(kind, error, trace)
        finally:
            self._record_end(error)

    async def end_failed(self, error: upstream.SendError) -> None:
        """Ends the attempt before its context is exited.

        Nothing is held for it, then, while another attempt is waited for.

        Args:
            error: Why it has failed.
        """
        await self.__aexit__(type(error), error, error.__traceback__)

    async def open(self) -> upstream.Response:
        """Sends the request and returns the response once its head has come.

        Returns the same response if it has been called before.

        Raises:
            SendError: There was no usable response.
        """
        if self._response is not None:
            return self._response
        self._progress.attempts += 1
        enter = self._stack.enter_async_context
        try:
            held = await enter(self._access.memory.hold(self.placement.helpers))
            request = self._make_request(held)
            self._progress.is_in_flight = True
            self.sent_at_s = clock.now_s()
            if any(reservation for _, reservation in held):
                self._stack.callback(
                    asyncio.create_task(self._end_with_endpoint()).cancel
                )
            async with self._opening:
                response = await enter(
                    self._access.sender.send(self.placement.address, request)
                )
        except TimeoutError as error:
            if not self._opening.expired():
                raise
            raise self._make_ended_error() from error
        except dialect.ReservationError as error:
            raise upstream.SendError(
                str(error), messages.Result.FULL, may_have_run=False
            ) from error
        placement_records.record_relay(self._exchange, self.placement, response)
        self.answered_at_s = clock.now_s()
        self._response = response
        self._access.notices.record(
            self.placement.endpoint, response.head.notice
        )
        response_checks.check_response(
            self._exchange, response, is_resumed=self._sink.has_begun
        )
        return response

    async def _end_with_endpoint(self) -> None:
        """Fails the attempt if its endpoint ends without closing connections.

        Memory of other engines must not stay reserved for it.
        """
        await self._access.ended.wait_until_ended(
            self.placement, self._read_active_at_s
        )
        if self._response is None:
            self._opening.reschedule(clock.now_s())
        else:
            self._response.abandon(self._make_ended_error())

    def _read_active_at_s(self) -> float:
        """Returns until when the endpoint's silence is no sign of its end."""
        if self._sink.has_begun and self._sink.is_blocked:
            return clock.now_s()
        if self._response is not None:
            return self._response.received_at_s
        assert self.sent_at_s is not None
        return self.sent_at_s

    def _make_ended_error(self) -> upstream.SendError:
        return upstream.SendError(
            f"{self.placement.address} has ended without closing connections",
            messages.Result.SILENT,
            may_have_run=True,
        )

    def _make_request(
        self, held: reservations.HelperReservations
    ) -> upstream.Request:
        exchange = self._exchange
        organisation = exchange.admission.organisation
        added_headers = self._access.wire_dialect.make_attempt_headers(
            dialect.AttemptMetadata(
                self.placement.endpoint,
                organisation.id if organisation else None,
                exchange.deadline_at_s - clock.now_s(),
                self._progress.last_event_id,
                held,
            )
        )
        return upstream.Request(
            exchange.method,
            exchange.target,
            {**exchange.headers, **added_headers},
            exchange.body,
            exchange.metadata.request_id,
        )

    def _make_answer_end(self, *, is_complete: bool) -> messages.AnswerEnd:
        response = self._response
        return messages.AnswerEnd(
            is_complete,
            self.written_s,
            response is None or response.is_delimited,
            self._progress.stream_events,
        )

    def _record_end(self, error: BaseException | None) -> None:
        """Tells the placer how the attempt has ended."""
        result = messages.Result.GIVEN_UP
        blamed = None
        answer = None
        match error:
            case upstream.SendError():
                backpressure.excuse_cut(
                    error, self._sink, self._exchange.metadata.request_id
                )
                result, blamed = error.result, error.blamed
                if result is messages.Result.UNREACHABLE:
                    self._progress.unreachable |= {self.placement.endpoint}
                elif (
                    error.may_have_run or result is not messages.Result.GIVEN_UP
                ):
                    self._progress.receipts += 1
                if error.is_cut:
                    answer = self._make_answer_end(is_complete=False)
                    self._progress.was_cut_off |= answer.had_just_begun
            case asyncio.CancelledError():
                if self._was_silent():
                    result = messages.Result.SILENT
            case None if self.outcome is not None:
                result = _get_result(self.outcome)
                if _is_success(self.outcome):
                    answer = self._make_answer_end(is_complete=True)
        self._access.placements.record_end(
            self.request_number, result, blamed, answer
        )

    def _was_silent(self) -> bool:
        """Returns whether the endpoint has let the deadline pass.

        A caller that disconnects does not reflect on the endpoint, nor does one
        that does not read.
        """
        is_unread = self._sink.has_begun and self._sink.is_blocked
        return self._exchange.is_over(clock.now_s()) and not is_unread


def _get_result(outcome: outcomes.Outcome) -> messages.Result:
    """Returns the result of an attempt, as counted for its endpoint."""
    if isinstance(outcome, outcomes.CompleteResponse) and outcome.status >= 500:
        return messages.Result.FAILED
    return messages.Result.DONE


def _is_success(outcome: outcomes.Outcome) -> bool:
    """Returns whether an endpoint has served the request."""
    match outcome:
        case outcomes.Streamed():
            return True
        case outcomes.CompleteResponse(status):
            return status < 300
        case _:
            return False
