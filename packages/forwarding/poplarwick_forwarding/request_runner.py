"""Runs a request on endpoints until it has its one ending."""

from __future__ import annotations

import asyncio
import dataclasses

from poplarwick_catalogue import types
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_forwarding import answers
from poplarwick_forwarding import dialect
from poplarwick_forwarding import events
from poplarwick_forwarding import exchange
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import patience
from poplarwick_forwarding import reservations
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which callers understand that a request has not run."""

MOST_SENDS = 8
"""Times that one request is sent in all, refusals by endpoints included: when
a failure domain comes back, many known endpoints are gone at once."""

STALL_MIN_S = 1.2
"""Shortest silence in a stream after which it goes on elsewhere; callers give
up after two seconds."""

STALL_PAUSES = 2.5
"""The same in pauses of the route's limit; callers give up after eight."""

FIRST_FACTOR = 4
"""Multiple of the expected time after which, with the slack, a first event is
late enough to try another endpoint: reading a long prompt twice is dear."""

FIRST_SLACK_S = 1.0
"""Time beside that; over a pass of the busiest engine."""

PLAIN_TARGETS = 3
"""The same for plain answers, in target latencies of the route."""

TIMER_SLACK_S = 0.005
"""Time by which a timer may be seen before its end."""

RETRY_AFTER_SHARE = 0.2
"""Part of the time left that a refused caller waits; over a third of it,
callers do not wait as asked."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """What has happened to a request so far.

    Attributes:
        sends: Times that it was sent.
        runs: Times that it may have run.
        last_event_id: Last event that the caller has.
        resumes_at_s: When its stream broke; None for a new run.
        avoided: Endpoints that it should not run on again.
    """

    last_event_id: int | None
    sends: int = 0
    runs: int = 0
    resumes_at_s: float | None = None
    avoided: frozenset[ids.EndpointId] = frozenset()


class RequestRunner:
    """Runs requests.

    Args:
        broker_: Gets places.
        sender: Sends requests to endpoints.
        names: Names on the wire.
        holder: Reserves memory for large prompts.
    """

    def __init__(
        self,
        broker_: placement_client.PlacementClient,
        sender: upstream.Upstream,
        names: dialect.Dialect,
        holder: reservations.Reservations,
    ) -> None:
        self._broker = broker_
        self._upstream = sender
        self._names = names
        self._reservations = holder

    async def run(
        self, asked: exchange.Exchange, sink: answers.Sink
    ) -> answers.Ending:
        """Runs a request and returns how it ended."""
        progress = _Progress(asked.call.last_event_id)
        try:
            async with asyncio.timeout(asked.ends_at_s - clock.now_s()):
                return await self._run(asked, sink, progress)
        except TimeoutError:
            return _end_unfinished(asked, sink, progress, "time_over")

    async def _run(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
    ) -> answers.Ending:
        while True:
            ticket = await self._broker.place(
                asked.make_work(
                    progress.avoided,
                    resumes_at_s=progress.resumes_at_s,
                    is_repeat=progress.sends > 0,
                )
            )
            match ticket.decision:
                case messages.Refusal(reason, retry_after_s):
                    _log_refusal(asked, ticket, reason)
                    return _end_refused(
                        asked, sink, progress, reason.value, retry_after_s
                    )
                case messages.Placement() as placement:
                    _log_placement(asked, ticket, placement, progress)
            try:
                return await self._attempt(
                    asked, sink, progress, ticket.request_number, placement
                )
            except upstream.SendError as error:
                ending = self._take_failure(
                    asked, sink, progress, placement, error
                )
            if ending is not None:
                return ending

    def _take_failure(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
        placement: messages.Placement,
        error: upstream.SendError,
    ) -> answers.Ending | None:
        """Returns the ending, or None where another endpoint may be tried."""
        if error.may_have_run:
            progress.runs += 1
            progress.avoided |= {placement.endpoint}
        metrics.attempts.add(1, {"result": error.result.value})
        if sink.has_begun:
            progress.resumes_at_s = clock.now_s()
        problem = self._find_obstacle(asked, progress, error)
        logs.log(
            log_events.AttemptFailed(
                request=asked.call.request,
                endpoint=placement.endpoint,
                result=error.result.value,
                may_have_run=error.may_have_run,
                reason=str(error),
                repeated=problem is None,
                obstacle=problem,
            )
        )
        if problem is None:
            return None
        return _end_unfinished(asked, sink, progress, problem)

    def _find_obstacle(
        self,
        asked: exchange.Exchange,
        progress: _Progress,
        error: upstream.SendError,
    ) -> str | None:
        if error.may_have_run:
            if not asked.route.may_retry:
                return "may_have_run"
            if progress.runs >= asked.route.max_attempts:
                return "attempts_spent"
        if progress.sends >= MOST_SENDS:
            return "sends_spent"
        return None

    async def _attempt(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
        ask: int,
        placement: messages.Placement,
    ) -> answers.Ending:
        result = messages.Result.GIVEN_UP
        blamed = None
        try:
            async with self._reservations.hold(placement.helpers) as held:
                progress.sends += 1
                ending = await self._send_patiently(
                    asked, sink, progress, ask, placement, held
                )
            result = _judge(ending)
            return ending
        except dialect.ReservationError as error:
            result = messages.Result.FULL
            raise upstream.SendError(
                str(error), result, may_have_run=False
            ) from error
        except upstream.SendError as error:
            result, blamed = error.result, error.blamed
            raise
        except asyncio.CancelledError:
            # A caller that leaves says nothing of the endpoint; an endpoint
            # that lets the time run out does.
            if clock.now_s() >= asked.ends_at_s - TIMER_SLACK_S:
                result = messages.Result.SILENT
            raise
        finally:
            self._broker.record_end(ask, result, blamed)

    async def _send_patiently(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
        ask: int,
        placement: messages.Placement,
        held: reservations.Held,
    ) -> answers.Ending:
        may_move = (
            asked.route.may_retry
            and progress.runs + 1 < asked.route.max_attempts
        )
        timer = asyncio.timeout(None)
        try:
            async with timer:
                borne = patience.Patience(timer, is_limited=may_move)
                self._broker.on_suspicion(ask, borne.note_doubt)
                borne.expect(_choose_first_s(asked, placement))
                return await self._send(
                    asked, sink, progress, ask, placement, held, borne
                )
        except TimeoutError as error:
            if not timer.expired():
                raise
            raise upstream.SendError(
                f"{placement.address} is silent",
                messages.Result.SILENT,
                may_have_run=True,
            ) from error

    async def _send(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
        ask: int,
        placement: messages.Placement,
        held: reservations.Held,
        borne: patience.Patience,
    ) -> answers.Ending:
        left_s = asked.ends_at_s - clock.now_s()
        organisation = asked.admitted.organisation
        told = self._names.make_send_headers(
            dialect.Send(
                placement.endpoint,
                organisation.id if organisation else None,
                left_s,
                progress.last_event_id,
                held,
            )
        )
        request = upstream.Request(
            asked.method, asked.target, {**asked.headers, **told}, asked.body
        )
        async with self._upstream.send(placement.address, request) as answer:
            _check_head(asked, answer)
            if asked.route.kind is types.RequestKind.STREAM and (
                answer.status == 200
            ):
                await self._relay(asked, sink, progress, ask, answer, borne)
                return answers.Streamed()
            body = await answer.read_whole()
            self._broker.record_first_event(ask)
            if sink.has_begun:
                raise upstream.SendError(
                    f"status {answer.status} to a stream that goes on",
                    messages.Result.FAILED,
                    may_have_run=True,
                )
            return answers.WholeAnswer(answer.status, answer.headers, body)

    async def _relay(
        self,
        asked: exchange.Exchange,
        sink: answers.Sink,
        progress: _Progress,
        ask: int,
        answer: upstream.Answer,
        borne: patience.Patience,
    ) -> None:
        stall_s = _choose_stall_s(asked)
        splitter = events.EventSplitter()
        parts = answer.read_parts()
        while True:
            part = await anext(parts, None)
            if part is None:
                break
            borne.rest()
            try:
                whole = splitter.feed(part)
                data = _join_events(whole, progress)
            except events.EventError as error:
                raise upstream.SendError(
                    str(error), messages.Result.BROKEN, may_have_run=True
                ) from error
            if data:
                self._broker.record_first_event(ask)
                if not sink.has_begun:
                    await sink.begin(answer.status, answer.headers)
                await sink.write(data)
            borne.expect(stall_s)
        if splitter.has_rest:
            raise upstream.SendError(
                "stream ended inside an event",
                messages.Result.BROKEN,
                may_have_run=True,
            )
        if not sink.has_begun:
            await sink.begin(answer.status, answer.headers)
        await sink.finish()


def _join_events(whole: list[events.Event], progress: _Progress) -> bytes:
    """Checks the order of events and returns their bytes.

    Raises:
        EventError: An event is missing or comes twice.
    """
    last = progress.last_event_id
    for event in whole:
        if event.id is None:
            continue
        if last is not None and event.id != last + 1:
            raise events.EventError(f"event {event.id} after event {last}")
        last = event.id
    progress.last_event_id = last
    return b"".join(event.data for event in whole)


def _choose_stall_s(asked: exchange.Exchange) -> float:
    """Returns the silence in a stream after which it goes on elsewhere."""
    pause_limit_s = asked.route.pause_limit_s or STALL_MIN_S
    return max(STALL_MIN_S, STALL_PAUSES * pause_limit_s)


def _choose_first_s(
    asked: exchange.Exchange, placement: messages.Placement
) -> float:
    """Returns the time after which an answer's head is overdue."""
    if asked.route.kind is types.RequestKind.STREAM:
        return FIRST_FACTOR * placement.expected_first_s + FIRST_SLACK_S
    return PLAIN_TARGETS * asked.route.target_latency_s


def _check_head(asked: exchange.Exchange, answer: upstream.Answer) -> None:
    """Checks that an answer may be passed on.

    Raises:
        SendError: It may not.
    """
    head = answer.head
    if head.is_misdirected:
        raise upstream.SendError(
            "another endpoint has the address",
            messages.Result.MISDIRECTED,
            may_have_run=False,
        )
    if head.has_not_run:
        raise upstream.SendError(
            f"refused with status {answer.status}, blames {head.at_fault}",
            messages.Result.FULL,
            may_have_run=False,
            blamed=head.at_fault,
        )
    problem = None
    if head.request is not None and head.request != asked.call.request:
        problem = f"answer to request {head.request}"
    elif answer.status in PROMISES:
        problem = f"status {answer.status} from an endpoint that may have run"
    elif answer.status < 300 and not head.is_signed:
        problem = "success without a signature"
    elif "Content-Encoding" in answer.headers:
        problem = "encoded body"
    if problem is not None:
        raise upstream.SendError(
            problem, messages.Result.BROKEN, may_have_run=True
        )


def _judge(ending: answers.Ending) -> messages.Result:
    """Returns what the ending of an attempt says of its endpoint."""
    if isinstance(ending, answers.WholeAnswer) and ending.status >= 500:
        return messages.Result.FAILED
    return messages.Result.DONE


def _end_refused(
    asked: exchange.Exchange,
    sink: answers.Sink,
    progress: _Progress,
    reason: str,
    retry_after_s: float,
) -> answers.Ending:
    if sink.has_begun:
        return answers.StreamCut(reason)
    if progress.runs:
        return answers.OwnAnswer(answers.Failure.BROKEN, reason)
    left_s = max(asked.ends_at_s - clock.now_s(), 0.0)
    return answers.OwnAnswer(
        answers.Failure.REFUSED,
        reason,
        min(retry_after_s, RETRY_AFTER_SHARE * left_s),
    )


def _end_unfinished(
    asked: exchange.Exchange,
    sink: answers.Sink,
    progress: _Progress,
    reason: str,
) -> answers.Ending:
    if not progress.runs and not progress.sends:
        return _end_refused(asked, sink, progress, reason, 0.0)
    if sink.has_begun:
        return answers.StreamCut(reason)
    if clock.now_s() >= asked.ends_at_s:
        return answers.OwnAnswer(answers.Failure.TIMED_OUT, reason)
    if not progress.runs:
        return _end_refused(asked, sink, progress, reason, 0.0)
    return answers.OwnAnswer(answers.Failure.BROKEN, reason)


def _log_placement(
    asked: exchange.Exchange,
    ticket: placement_client.PlacementOutcome,
    placement: messages.Placement,
    progress: _Progress,
) -> None:
    metrics.placed_s.record(ticket.waited_s)
    if progress.resumes_at_s is not None:
        metrics.resumed.add(1)
    logs.log(
        log_events.RequestPlaced(
            request=asked.call.request,
            endpoint=placement.endpoint,
            address=placement.address,
            helpers=",".join(h.endpoint for h in placement.helpers) or None,
            reserved_tokens=sum(h.reserved_tokens for h in placement.helpers)
            or None,
            expected_first_s=placement.expected_first_s,
            reason=str(placement.reason),
            placer=ticket.decided_by,
            waited_s=ticket.waited_s,
            send=progress.sends + 1,
            resumes_after=progress.last_event_id
            if progress.resumes_at_s
            else None,
        )
    )


def _log_refusal(
    asked: exchange.Exchange,
    ticket: placement_client.PlacementOutcome,
    reason: messages.RefusalReason,
) -> None:
    metrics.refused.add(1, {"reason": reason.value})
    logs.log(
        log_events.RequestNotPlaced(
            request=asked.call.request,
            service=asked.service,
            reason=reason.value,
            placer=ticket.decided_by,
            waited_s=ticket.waited_s,
        )
    )
