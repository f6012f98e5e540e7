"""Runs each request at endpoints until it has exactly one outcome."""

from __future__ import annotations

import asyncio
import contextlib

from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import dialect
from poplarwick_forwarding import ended_endpoints
from poplarwick_forwarding import endpoint_attempt
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import placement_records
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import reservations
from poplarwick_forwarding import response_timeout
from poplarwick_forwarding import stream_relay
from poplarwick_forwarding import takeover
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

MAX_TOTAL_ATTEMPTS = 8
"""Attempts per request, including those that endpoints refused. When a failure
domain recovers, many of the known endpoints no longer exist."""

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
        ended: Finds out that silent endpoints have ended.
        known_quarantines: Requests and parts of prompts that crash endpoints.
        stop: Ends the waits and the runs of requests once this instance stops.
    """

    def __init__(
        self,
        placements: placement_client.PlacementClient,
        sender: upstream.Upstream,
        wire_dialect: dialect.Dialect,
        memory: reservations.Reservations,
        notices: endpoint_notices.EndpointNotices,
        ended: ended_endpoints.EndedEndpoints,
        known_quarantines: quarantines.Quarantines,
        stop: graceful_stop.GracefulStop,
    ) -> None:
        self._stop = stop
        self._notices = notices
        self._quarantines = known_quarantines
        self._placement_client = placements
        self._access = endpoint_attempt.EndpointAccess(
            placements, sender, wire_dialect, memory, notices, ended
        )

    async def run(
        self, exchange: http_exchange.Exchange, sink: outcomes.Sink
    ) -> outcomes.Outcome:
        """Runs a request until its deadline and returns its outcome."""
        progress = request_progress.RequestProgress(
            exchange.metadata.last_event_id
        )
        time_left_s = exchange.deadline_at_s - clock.now_s()
        async with takeover.Successor() as successor:
            try:
                async with (
                    asyncio.timeout(time_left_s),
                    self._stop.limit_run(sink),
                ):
                    return await self._run(exchange, sink, progress, successor)
            except TimeoutError:
                return _make_interrupted(exchange, sink, progress, "time_over")
            except graceful_stop.StoppingError:
                return _make_interrupted(exchange, sink, progress, "stopping")

    async def _run(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        successor: takeover.Successor,
    ) -> outcomes.Outcome:
        while True:
            prepared = successor.take() or await self._prepare(
                exchange, sink, progress
            )
            if not isinstance(prepared, endpoint_attempt.Attempt):
                return prepared
            try:
                async with prepared as attempt:
                    attempt.outcome = await self._attempt(
                        exchange, sink, progress, attempt, successor
                    )
                return attempt.outcome
            except upstream.SendError as error:
                outcome = self._handle_failure(
                    exchange,
                    sink,
                    progress,
                    prepared,
                    error,
                    is_continued=successor.is_ready,
                )
            if outcome is not None:
                return outcome
            if sink.has_begun:
                # No endpoint works for a caller that does not read.
                await sink.drain()
                progress.broken_at_s = clock.now_s()

    async def _prepare(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
    ) -> endpoint_attempt.Attempt | outcomes.Outcome:
        """Returns the next attempt, or the outcome if there is none."""
        while True:
            quarantine = self._find_quarantine(exchange)
            if quarantine is not None:
                return _refuse_quarantined(exchange, sink, progress, quarantine)
            try:
                reply = await self._place(exchange, sink, progress)
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
                    if self._may_use(exchange, placement):
                        return self._make_attempt(
                            exchange, sink, progress, reply, placement
                        )
                    self._release(reply)

    def _may_use(
        self, exchange: http_exchange.Exchange, placement: messages.Placement
    ) -> bool:
        """Returns whether nothing speaks against a placement.

        What does may have become known since the request was submitted to the
        placer.
        """
        return (
            not self._is_blocked(placement)
            and self._find_quarantine(exchange) is None
        )

    def _make_attempt(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        reply: placement_client.PlacementOutcome,
        placement: messages.Placement,
    ) -> endpoint_attempt.Attempt:
        placement_records.record_placement(
            exchange, reply, placement, progress, is_resumed=sink.has_begun
        )
        return endpoint_attempt.Attempt(
            self._access,
            exchange,
            sink,
            progress,
            reply.request_number,
            placement,
        )

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
        return await self._wait_for_placement(
            exchange, sink, request, is_second=False
        )

    async def _place_elsewhere(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        placement: messages.Placement,
    ) -> placement_client.PlacementOutcome:
        """Waits for a placement while a silent endpoint runs the request.

        Raises:
            graceful_stop.StoppingError: This instance stops too soon.
        """
        avoided = progress.avoided | self._notices.find_blocked()
        request = exchange.make_placement_request(
            avoided | {placement.endpoint},
            broken_at_s=clock.now_s() if sink.has_begun else None,
            is_retry=True,
            was_placed=True,
            unreachable=progress.unreachable,
            was_cut_off=progress.was_cut_off,
        )
        return await self._wait_for_placement(
            exchange, sink, request, is_second=True
        )

    async def _wait_for_placement(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        request: messages.PlacementRequest,
        *,
        is_second: bool,
    ) -> placement_client.PlacementOutcome:
        if sink.has_begun:
            # It can only be cut off, so it is resumed as long as possible.
            return await self._placement_client.place(request)
        duration_s = graceful_stop.calculate_shortest_duration_s(
            request, exchange.engine
        )
        async with self._stop.limit_wait(duration_s, is_second=is_second):
            return await self._placement_client.place(request)

    async def _open_elsewhere(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        reply: placement_client.PlacementOutcome,
    ) -> endpoint_attempt.Attempt | None:
        """Tries another endpoint while a silent one runs the request.

        Returns:
            The attempt, once the endpoint has begun to answer; None if it does
            not, or may not be used.
        """
        placement = reply.decision
        assert isinstance(placement, messages.Placement)
        if not self._may_use(exchange, placement):
            self._release(reply)
            return None
        attempt = self._make_attempt(exchange, sink, progress, reply, placement)
        try:
            async with contextlib.AsyncExitStack() as stack:
                await stack.enter_async_context(attempt)
                response = await attempt.open()
                if exchange.route.kind is types.RequestKind.STREAM:
                    await response.prefetch()
                stack.pop_all()
        except upstream.SendError as error:
            self._record_failure(
                exchange, progress, attempt, error, "silent_endpoint_kept"
            )
            return None
        except asyncio.CancelledError:
            if attempt.sent_at_s is not None:
                progress.executions += 1
            raise
        return attempt

    def _release(self, unused: placement_client.PlacementOutcome) -> None:
        """Ends a placement that is not used."""
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
        attempt: endpoint_attempt.Attempt,
        error: upstream.SendError,
        *,
        is_continued: bool,
    ) -> outcomes.Outcome | None:
        """Returns the outcome, or None if the request goes on.

        Args:
            exchange: The request.
            sink: Response to the caller.
            progress: What is known of the request.
            attempt: The attempt that has failed.
            error: Why it has failed.
            is_continued: Whether another attempt has been answered already.
        """
        progress.is_in_flight = is_continued
        no_retry_reason = None
        if not is_continued:
            no_retry_reason = _find_no_retry_reason(
                exchange, progress, may_have_run=error.may_have_run
            )
        self._record_failure(
            exchange, progress, attempt, error, no_retry_reason
        )
        if no_retry_reason is None:
            return None
        return _make_failure(exchange, sink, progress, no_retry_reason)

    def _record_failure(
        self,
        exchange: http_exchange.Exchange,
        progress: request_progress.RequestProgress,
        attempt: endpoint_attempt.Attempt,
        error: upstream.SendError,
        obstacle: str | None,
    ) -> None:
        """Records a failed attempt.

        Args:
            exchange: The request.
            progress: What is known of it.
            attempt: The attempt.
            error: Why it has failed.
            obstacle: Why the request is not retried; None if it is.
        """
        endpoint = attempt.placement.endpoint
        if error.may_have_run:
            progress.executions += 1
            progress.avoided |= {endpoint}
        metrics.attempts_failed.add(1, {"result": error.result.value})
        logs.log(
            log_events.AttemptFailed(
                request=exchange.metadata.request_id,
                endpoint=endpoint,
                result=error.result.value,
                may_have_run=error.may_have_run,
                reason=str(error),
                repeated=obstacle is None,
                obstacle=obstacle,
                fingerprint=exchange.fingerprint,
                parts=",".join(exchange.metadata.shared_parts) or None,
                written_s=attempt.written_s,
                relay=error.relay,
            )
        )

    async def _attempt(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        attempt: endpoint_attempt.Attempt,
        successor: takeover.Successor,
    ) -> outcomes.Outcome:
        """Runs an attempt until it has served the request.

        Raises:
            SendError: It has failed; its successor may have begun.
        """
        placement = attempt.placement

        def may_try_elsewhere() -> bool:
            reason = _find_no_retry_reason(
                exchange, progress, may_have_run=True
            )
            return reason is None

        timer = asyncio.timeout(None)
        silence = takeover.Takeover(
            exchange.metadata.request_id,
            timer,
            may_try_elsewhere,
            lambda: self._place_elsewhere(exchange, sink, progress, placement),
            lambda reply: self._open_elsewhere(exchange, sink, progress, reply),
        )
        try:
            async with timer:
                timeout = response_timeout.ResponseTimeout(
                    silence, is_limited=may_try_elsewhere()
                )
                self._placement_client.on_suspicion(
                    attempt.request_number, timeout.record_suspicion
                )
                timeout.start(
                    response_timeout.choose_first_event_patience(
                        exchange, placement
                    )
                )
                return await self._answer(
                    exchange, sink, progress, attempt, timeout
                )
        except TimeoutError as error:
            if not timer.expired():
                raise
            successor.set(silence.take_attempt())
            raise upstream.SendError(
                f"{placement.address} did not respond in time",
                messages.Result.SILENT,
                may_have_run=True,
            ) from error
        except upstream.SendError as error:
            await attempt.end_failed(error)
            successor.set(await silence.wait_for_attempt())
            raise
        finally:
            silence.stop()
            await takeover.withdraw(silence.take_attempt())

    async def _answer(
        self,
        exchange: http_exchange.Exchange,
        sink: outcomes.Sink,
        progress: request_progress.RequestProgress,
        attempt: endpoint_attempt.Attempt,
        timeout: response_timeout.ResponseTimeout,
    ) -> outcomes.Outcome:
        response = await attempt.open()
        if exchange.route.kind is types.RequestKind.STREAM and (
            response.status == 200
        ):
            await stream_relay.relay(
                exchange,
                sink,
                progress,
                attempt,
                response,
                timeout,
                self._placement_client,
            )
            return _make_streamed(exchange, progress, attempt.placement)
        body = await response.read_body(exchange.held)
        _record_duration_error(exchange, attempt)
        self._placement_client.record_first_event(attempt.request_number)
        return outcomes.CompleteResponse(
            response.status, response.headers, body
        )


def _find_no_retry_reason(
    exchange: http_exchange.Exchange,
    progress: request_progress.RequestProgress,
    *,
    may_have_run: bool,
) -> str | None:
    """Returns why a request may not be sent once more; None if it may.

    Args:
        exchange: The request.
        progress: What is known of it, without its last attempt.
        may_have_run: Whether the last attempt has run it, or still does.
    """
    if may_have_run:
        if not exchange.route.may_retry:
            return "may_have_run"
        if progress.executions + 1 >= exchange.route.max_attempts:
            return "attempts_spent"
    if progress.attempts >= MAX_TOTAL_ATTEMPTS:
        return "sends_spent"
    return None


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
    exchange: http_exchange.Exchange, attempt: endpoint_attempt.Attempt
) -> None:
    placement = attempt.placement
    if placement.cost_samples and not exchange.tokens_per_event:
        assert attempt.sent_at_s is not None, "the attempt was not opened"
        metrics.record_estimate_error(
            exchange.service,
            placement.expected_first_s,
            clock.now_s() - attempt.sent_at_s,
        )


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


def _make_interrupted(
    exchange: http_exchange.Exchange,
    sink: outcomes.Sink,
    progress: request_progress.RequestProgress,
    reason: str,
) -> outcomes.Outcome:
    """Returns the outcome of a request that was ended while it ran."""
    if progress.is_in_flight:
        progress.executions += 1
    return _make_failure(exchange, sink, progress, reason)


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
    if exchange.is_over(clock.now_s()):
        return outcomes.LocalResponse(outcomes.Failure.TIMED_OUT, reason)
    return outcomes.LocalResponse(outcomes.Failure.BROKEN, reason)
