"""Runs each request at endpoints until it has exactly one outcome."""

from __future__ import annotations

import asyncio

from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import backpressure
from poplarwick_forwarding import dialect
from poplarwick_forwarding import events
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import placement_records
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import reservations
from poplarwick_forwarding import response_checks
from poplarwick_forwarding import response_timeout
from poplarwick_forwarding import takeover
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

MAX_TOTAL_ATTEMPTS = 8
"""Attempts per request, including those that endpoints refused. When a failure
domain recovers, many of the known endpoints no longer exist."""

MIN_PROGRESS_BYTES = 1_024
"""Bytes of an incomplete event that count as progress of a stream. A sound
endpoint sends an event of a few hundred bytes at once; an endpoint that sends a
byte now and then counts as stalled."""

TIMER_TOLERANCE_S = 0.005
"""Time by which a timer may fire before its deadline."""

QUARANTINE_RETRY_AFTER_S = 600.0
"""Time after which a caller may retry a request in quarantine; operators have
to lift it."""

RETRY_AFTER_SHARE = 0.2
"""Fraction of the time left after which a refused caller may retry; callers
ignore a Retry-After that is longer than a third of it."""

FORECAST_RETRY_AFTER_SHARE = 0.33
"""The same fraction where a forecast decided. It names the time at which
capacity is kept for the caller, so an earlier one would be of no use; the
response takes a little of the caller's third."""


class RequestRunner:
    """Places requests, sends them to endpoints and retries them.

    Args:
        placements: Places requests at endpoints.
        sender: Sends requests to endpoints.
        wire_dialect: Protocol dialect of the platform.
        memory: Reserves engine memory for very long prompts.
        notices: What endpoints have asked of this instance.
        known_quarantines: Requests and parts of prompts that crash endpoints.
        stop: Ends the waits of requests once this instance stops.
    """

    def __init__(
        self,
        placements: placement_client.PlacementClient,
        sender: upstream.Upstream,
        wire_dialect: dialect.Dialect,
        memory: reservations.Reservations,
        notices: endpoint_notices.EndpointNotices,
        known_quarantines: quarantines.Quarantines,
        stop: graceful_stop.GracefulStop,
    ) -> None:
        self._stop = stop
        self._notices = notices
        self._quarantines = known_quarantines
        self._placement_client = placements
        self._upstream = sender
        self._dialect = wire_dialect
        self._reservations = memory

    async def run(
        self, exchange: http_exchange.Exchange, sink: outcomes.Sink
    ) -> outcomes.Outcome:
        """Runs a request until its deadline and returns its outcome."""
        progress = request_progress.RequestProgress(
            exchange.metadata.last_event_id
        )
        try:
            async with asyncio.timeout(exchange.deadline_at_s - clock.now_s()):
                return await self._run(exchange, sink, progress)
        except TimeoutError:
            if progress.is_in_flight:
                progress.executions += 1
            return _make_failure(exchange, sink, progress, "time_over")
        finally:
            self._release(progress.take_next_placement())

    async def _run(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
    ) -> outcomes.Outcome:
        while True:
            quarantine = self._find_quarantine(exchange)
            if quarantine is not None:
                return _refuse_quarantined(exchange, sink, progress, quarantine)
            try:
                reply = progress.take_next_placement() or await self._place(
                    exchange, sink, progress
                )
            except graceful_stop.StoppingError:
                metrics.requests_refused.add(1, {"reason": "stopping"})
                return _make_refusal(
                    sink, progress, "stopping", outcomes.INSTANCE_RETRY_AFTER_S
                )
            match reply.decision:
                case messages.Refusal() as refusal:
                    retry_after_s = self._choose_retry_after_s(
                        exchange, refusal
                    )
                    placement_records.record_refusal(
                        exchange, reply, refusal, retry_after_s
                    )
                    return _make_refusal(
                        sink, progress, refusal.reason.value, retry_after_s
                    )
                case messages.Placement() as placement:
                    if (
                        self._is_blocked(placement)
                        or self._find_quarantine(exchange) is not None
                    ):
                        # It became known since the request was submitted to
                        # the placer.
                        self._release(reply)
                        continue
                    placement_records.record_placement(
                        exchange, reply, placement, progress
                    )
            try:
                return await self._attempt(
                    exchange, sink, progress, reply.request_number, placement
                )
            except upstream.SendError as error:
                outcome = self._handle_failure(
                    exchange, sink, progress, placement, error
                )
            if outcome is not None:
                return outcome
            if sink.has_begun:
                # No endpoint works for a caller that does not read.
                await sink.drain()
                progress.broken_at_s = clock.now_s()

    async def _place(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
    ) -> placement_client.PlacementOutcome:
        """Waits for a placement of the next attempt.

        Raises:
            graceful_stop.StoppingError: This instance stops too soon.
        """
        request = exchange.make_placement_request(
            progress.avoided | self._notices.find_blocked(),
            broken_at_s=progress.broken_at_s,
            is_retry=progress.receipts > 0,
            was_placed=progress.attempts > 0,
            unreachable=progress.unreachable,
            was_cut_off=progress.was_cut_off,
        )
        if sink.has_begun:
            # It can only be cut off, so it is resumed as long as possible.
            return await self._placement_client.place(request)
        duration_s = graceful_stop.calculate_shortest_duration_s(
            request, exchange.engine
        )
        async with self._stop.limit_wait(duration_s):
            return await self._placement_client.place(request)

    async def _place_elsewhere(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        placement: messages.Placement,
    ) -> placement_client.PlacementOutcome:
        """Waits for a placement while a silent endpoint runs the request."""
        avoided = progress.avoided | self._notices.find_blocked()
        return await self._placement_client.place(
            exchange.make_placement_request(
                avoided | {placement.endpoint},
                broken_at_s=clock.now_s() if sink.has_begun else None,
                is_retry=True,
                was_placed=True,
                unreachable=progress.unreachable,
                was_cut_off=progress.was_cut_off,
            )
        )

    def _release(
        self, unused: placement_client.PlacementOutcome | None
    ) -> None:
        """Ends a placement, if there is one, that is not used."""
        if unused is not None:
            self._placement_client.record_end(
                unused.request_number, messages.Result.GIVEN_UP
            )

    def _find_quarantine(
        self, exchange: http_exchange.Exchange
    ) -> quarantines.Quarantine | None:
        return self._quarantines.find(
            exchange.service,
            exchange.metadata.shared_parts,
            exchange.fingerprint,
        )

    def _is_blocked(self, placement: messages.Placement) -> bool:
        used = {
            placement.endpoint,
            *(helper.endpoint for helper in placement.helpers),
        }
        return not used.isdisjoint(self._notices.find_blocked())

    def _choose_retry_after_s(
        self,
        exchange: http_exchange.Exchange,
        refusal: messages.Refusal,
    ) -> float:
        """Returns when to retry a request that was not placed."""
        reason, retry_after_s = refusal.reason, refusal.retry_after_s
        if reason is messages.RefusalReason.QUARANTINED:
            return QUARANTINE_RETRY_AFTER_S
        if reason is messages.RefusalReason.NO_ENDPOINT:
            # The end of the first pause of an endpoint.
            opening_s = self._notices.calculate_opening_s(exchange.service)
            retry_after_s = retry_after_s if opening_s is None else opening_s
        time_left_s = max(exchange.deadline_at_s - clock.now_s(), 0.0)
        share = (
            RETRY_AFTER_SHARE
            if refusal.outlook is None
            else FORECAST_RETRY_AFTER_SHARE
        )
        return min(retry_after_s, share * time_left_s)

    def _handle_failure(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        placement: messages.Placement,
        error: upstream.SendError,
    ) -> outcomes.Outcome | None:
        """Returns the outcome, or None if the request is to be retried."""
        progress.is_in_flight = False
        if error.may_have_run:
            progress.executions += 1
            progress.avoided |= {placement.endpoint}
        metrics.attempts_failed.add(1, {"result": error.result.value})
        no_retry_reason = self._find_no_retry_reason(exchange, progress, error)
        logs.log(
            log_events.AttemptFailed(
                request=exchange.metadata.request_id,
                endpoint=placement.endpoint,
                result=error.result.value,
                may_have_run=error.may_have_run,
                reason=str(error),
                repeated=no_retry_reason is None,
                obstacle=no_retry_reason,
                fingerprint=exchange.fingerprint,
                parts=",".join(exchange.metadata.shared_parts) or None,
                written_s=progress.written_s,
                relay=error.relay,
            )
        )
        if no_retry_reason is None:
            return None
        return _make_failure(exchange, sink, progress, no_retry_reason)

    def _find_no_retry_reason(
        self,
        exchange: http_exchange.Exchange,
        progress: request_progress.RequestProgress,
        error: upstream.SendError,
    ) -> str | None:
        if error.may_have_run:
            if not exchange.route.may_retry:
                return "may_have_run"
            if progress.executions >= exchange.route.max_attempts:
                return "attempts_spent"
        if progress.attempts >= MAX_TOTAL_ATTEMPTS:
            return "sends_spent"
        return None

    async def _attempt(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        request_number: int,
        placement: messages.Placement,
    ) -> outcomes.Outcome:
        result = messages.Result.GIVEN_UP
        blamed = None
        answer = None
        progress.answered_at_s = None
        try:
            async with self._reservations.hold(placement.helpers) as held:
                progress.attempts += 1
                outcome = await self._send_with_timeout(
                    exchange, sink, progress, request_number, placement, held
                )
            result = _get_result(outcome)
            if _is_success(outcome):
                answer = progress.make_answer_end(is_complete=True)
            return outcome
        except dialect.ReservationError as error:
            result = messages.Result.FULL
            raise upstream.SendError(
                str(error), result, may_have_run=False
            ) from error
        except upstream.SendError as error:
            backpressure.excuse_cut(error, sink, exchange.metadata.request_id)
            result, blamed = error.result, error.blamed
            if result is messages.Result.UNREACHABLE:
                progress.unreachable |= {placement.endpoint}
            else:
                progress.receipts += 1
            if error.is_cut:
                answer = progress.make_answer_end(is_complete=False)
                progress.was_cut_off |= answer.had_just_begun
            raise
        except asyncio.CancelledError:
            # A caller that disconnects does not reflect on the endpoint; an
            # endpoint that has not responded by the deadline is unresponsive.
            # Neither does one whose caller does not read.
            is_unread = sink.has_begun and sink.is_blocked
            if (
                clock.now_s() >= exchange.deadline_at_s - TIMER_TOLERANCE_S
                and not is_unread
            ):
                result = messages.Result.SILENT
            raise
        finally:
            self._placement_client.record_end(
                request_number, result, blamed, answer
            )

    async def _send_with_timeout(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        request_number: int,
        placement: messages.Placement,
        held: reservations.HelperReservations,
    ) -> outcomes.Outcome:
        is_retryable = (
            exchange.route.may_retry
            and progress.executions + 1 < exchange.route.max_attempts
            and progress.attempts < MAX_TOTAL_ATTEMPTS
        )
        timer = asyncio.timeout(None)
        silence = takeover.Takeover(
            exchange.metadata.request_id,
            timer,
            lambda: self._place_elsewhere(exchange, sink, progress, placement),
        )
        try:
            async with timer:
                timeout = response_timeout.ResponseTimeout(
                    silence, is_limited=is_retryable
                )
                self._placement_client.on_suspicion(
                    request_number, timeout.record_suspicion
                )
                timeout.start(
                    response_timeout.choose_first_event_patience(
                        exchange, placement
                    )
                )
                return await self._send(
                    exchange,
                    sink,
                    progress,
                    request_number,
                    placement,
                    held,
                    timeout,
                )
        except TimeoutError as error:
            if not timer.expired():
                raise
            progress.next_placement = silence.take_placement()
            raise upstream.SendError(
                f"{placement.address} did not respond in time",
                messages.Result.SILENT,
                may_have_run=True,
            ) from error
        finally:
            silence.stop()
            self._release(silence.take_placement())

    async def _send(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        request_number: int,
        placement: messages.Placement,
        held: reservations.HelperReservations,
        timeout: response_timeout.ResponseTimeout,
    ) -> outcomes.Outcome:
        time_left_s = exchange.deadline_at_s - clock.now_s()
        organisation = exchange.admission.organisation
        added_headers = self._dialect.make_attempt_headers(
            dialect.AttemptMetadata(
                placement.endpoint,
                organisation.id if organisation else None,
                time_left_s,
                progress.last_event_id,
                held,
            )
        )
        request = upstream.Request(
            exchange.method,
            exchange.target,
            {**exchange.headers, **added_headers},
            exchange.body,
            exchange.metadata.request_id,
        )
        progress.is_in_flight = True
        progress.sent_at_s = clock.now_s()
        async with self._upstream.send(placement.address, request) as response:
            placement_records.record_relay(exchange, placement, response)
            progress.answered_at_s = clock.now_s()
            progress.is_delimited = response.is_delimited
            self._notices.record(placement.endpoint, response.head.notice)
            response_checks.check_response(
                exchange, response, is_resumed=sink.has_begun
            )
            if exchange.route.kind is types.RequestKind.STREAM and (
                response.status == 200
            ):
                await self._relay(
                    exchange, sink, progress, request_number, response, timeout
                )
                return _make_streamed(exchange, progress, placement)
            body = await response.read_body(exchange.held)
            _record_duration_error(exchange, placement, progress)
            self._placement_client.record_first_event(request_number)
            return outcomes.CompleteResponse(
                response.status, response.headers, body
            )

    async def _relay(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        request_number: int,
        response: upstream.Response,
        timeout: response_timeout.ResponseTimeout,
    ) -> None:
        patience = response_timeout.choose_stall_patience(exchange)
        splitter = events.EventSplitter()
        bytes_without_event = 0
        has_event = False
        async for chunk in response.iter_chunks():
            try:
                new_events = splitter.feed(chunk)
                data = _join_events(new_events, progress)
            except events.EventError as error:
                raise upstream.SendError(
                    str(error), messages.Result.BROKEN, may_have_run=True
                ) from error
            if data:
                has_event = True
                progress.last_event_at_s = clock.now_s()
                timeout.suspend()
                self._placement_client.record_first_event(request_number)
                if not sink.has_begun:
                    await sink.begin(response.status, response.headers)
                await backpressure.write(sink, data, response)
            bytes_without_event += len(chunk)
            if data or bytes_without_event >= MIN_PROGRESS_BYTES:
                bytes_without_event = 0
                timeout.start(patience)
        if splitter.has_incomplete_event:
            raise upstream.SendError(
                "stream ended inside an event",
                messages.Result.BROKEN,
                may_have_run=True,
                is_cut=not response.is_delimited,
            )
        if not has_event and not (
            response.is_delimited and response_checks.has_events(response)
        ):
            # A process that ends also closes its connections.
            raise upstream.SendError(
                "connection ended before the first event",
                messages.Result.BROKEN,
                may_have_run=True,
                is_cut=not response.is_delimited,
            )
        if not sink.has_begun:
            await sink.begin(response.status, response.headers)


def _join_events(
    new_events: list[events.Event], progress: request_progress.RequestProgress
) -> bytes:
    """Checks that events are consecutive and returns their bytes.

    Raises:
        EventError: An event is missing, duplicated or without an id.
    """
    last = progress.last_event_id
    for event in new_events:
        if event.id is None and event.is_comment:
            continue
        if event.id is None:
            raise events.EventError("event without an id")
        if last is not None and event.id != last + 1:
            raise events.EventError(f"event {event.id} after event {last}")
        last = event.id
        progress.events += 1
    progress.last_event_id = last
    return b"".join(event.data for event in new_events)


def _make_streamed(
    exchange: http_exchange.Exchange,
    progress: request_progress.RequestProgress,
    placement: messages.Placement,
) -> outcomes.Streamed:
    """Returns the outcome of a stream, and counts the error of its estimate."""
    output_tokens = progress.stream_events * exchange.tokens_per_event
    if placement.cost_samples and output_tokens:
        metrics.record_estimate_error(
            exchange.service, placement.expected_tokens or 0, output_tokens
        )
    return outcomes.Streamed(output_tokens or None, placement.expected_tokens)


def _record_duration_error(
    exchange: http_exchange.Exchange,
    placement: messages.Placement,
    progress: request_progress.RequestProgress,
) -> None:
    if placement.cost_samples and not exchange.tokens_per_event:
        metrics.record_estimate_error(
            exchange.service,
            placement.expected_first_s,
            clock.now_s() - progress.sent_at_s,
        )


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


def _make_refusal(
    sink: outcomes.Sink,
    progress: request_progress.RequestProgress,
    reason: str,
    retry_after_s: float,
) -> outcomes.Outcome:
    if sink.has_begun:
        return outcomes.StreamTruncated(reason)
    if progress.executions:
        return outcomes.LocalResponse(outcomes.Failure.BROKEN, reason)
    return outcomes.LocalResponse(
        outcomes.Failure.REFUSED, reason, retry_after_s
    )


def _refuse_quarantined(
    exchange: http_exchange.Exchange,
    sink: outcomes.Sink,
    progress: request_progress.RequestProgress,
    quarantine: quarantines.Quarantine,
) -> outcomes.Outcome:
    reason = messages.RefusalReason.QUARANTINED.value
    metrics.requests_refused.add(1, {"reason": reason})
    logs.log(
        log_events.RequestQuarantined(
            request=exchange.metadata.request_id,
            service=exchange.service,
            quarantine=quarantine.id,
        )
    )
    return _make_refusal(sink, progress, reason, QUARANTINE_RETRY_AFTER_S)


def _make_failure(
    exchange: http_exchange.Exchange,
    sink: outcomes.Sink,
    progress: request_progress.RequestProgress,
    reason: str,
) -> outcomes.Outcome:
    if sink.has_begun:
        return outcomes.StreamTruncated(reason)
    if not progress.executions:
        return _make_refusal(sink, progress, reason, 0.0)
    if clock.now_s() >= exchange.deadline_at_s - TIMER_TOLERANCE_S:
        return outcomes.LocalResponse(outcomes.Failure.TIMED_OUT, reason)
    return outcomes.LocalResponse(outcomes.Failure.BROKEN, reason)
