"""Takes callers' requests and gives them their answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types as python_types
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Self

import multidict
from aiohttp import web

from poplarwick_catalogue import routing
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import admission
from poplarwick_forwarding import answers
from poplarwick_forwarding import dialect
from poplarwick_forwarding import exchange
from poplarwick_forwarding import headers
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import request_runner

HEADER_LIMIT_BYTES = 16_384
"""Longest header line or field; the platform's limit on a whole header
section."""

KEEP_IDLE_S = 20.0
"""Time that an idle connection is kept; over the configuration's idle limit,
so that a connection is not closed while a caller begins to use it."""

STOPPED_RETRY_S = 0.1
"""When a caller refused by a stopping instance comes back; the balancer sends
it to another one at once."""

START_WAIT_SHARE = 0.25
"""Part of its time that a request waits for an instance that has just started
to learn the configuration; what is left is enough to be served."""

START_WAIT_MAX_S = 2.5
"""Longest such wait."""

START_POLL_S = 0.02
"""Period at which the configuration is looked for meanwhile."""

BODY_MAX_S = 30.0
"""Time in which a body must have arrived where the caller names none; twice
the longest deadline of the users' sheets."""

MOST_REQUESTS = 1_200
"""Requests in progress at one instance; bounds memory and descriptors."""


class Frontend:
    """Serves callers while its context is open.

    Args:
        address: Host and port to listen on.
        read_routing: Reads the configuration in force.
        names: Names on the wire.
        runner: Runs requests.
    """

    def __init__(
        self,
        address: str,
        read_routing: Callable[[], routing.Routing | None],
        names: dialect.Dialect,
        runner: request_runner.RequestRunner,
    ) -> None:
        self.is_leaving = False
        self.is_closed = False
        self.in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._read_routing = read_routing
        self._names = names
        self._runner = runner
        self._draw = random.Random()
        self._web: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._web = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=KEEP_IDLE_S,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._web, self._host, self._port, backlog=1024
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: python_types.TracebackType | None,
    ) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._web is not None:
            await self._web.shutdown(0.1)

    @property
    def connections(self) -> list[web.RequestHandler]:
        """Open connections of callers."""
        return [] if self._web is None else self._web.connections

    def stop_listening(self) -> None:
        """Takes no further connections and refuses further requests.

        Open connections stay: aiohttp drops what arrives on a connection that
        it was told to close, and a caller's request would go unanswered.
        """
        self.is_closed = True
        if self._listener is not None:
            self._listener.close()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in progress, or until the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return not self.in_progress

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received_at_s = clock.now_s()
        self.in_progress += 1
        self._idle.clear()
        try:
            response = await self._answer(request, received_at_s)
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
        if self.is_leaving:
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, received_at_s: float
    ) -> web.StreamResponse:
        if self.is_closed:
            return self._refuse(request, "stopping")
        if self.in_progress > MOST_REQUESTS:
            return self._refuse(request, "too_many_requests")
        if not request.raw_path.startswith("/"):
            return _reject(request, admission.Rejection.UNREADABLE)
        try:
            call = self._names.read_call(request.headers)
        except dialect.CallError as error:
            logs.log(
                log_events.RequestUnreadable(
                    request=self._names.read_request_id(request.headers),
                    reason=str(error),
                )
            )
            return _reject(request, admission.Rejection.UNREADABLE)
        rules = await self._wait_for_routing(call)
        if rules is None:
            return self._refuse(request, "no_configuration")
        try:
            async with asyncio.timeout(_choose_body_s(call)):
                body = await _read_body(request, rules.limits.body_bytes)
        except TimeoutError:
            return self._refuse(
                request, "body_not_read", answers.Failure.BODY_LATE
            )
        if body is None:
            return _reject(request, admission.Rejection.BODY_TOO_LARGE)
        admitted = admission.admit(
            rules, request.headers.get("Host", ""), request.raw_path, call
        )
        if isinstance(admitted, admission.Rejection):
            logs.log(
                log_events.RequestRejected(
                    request=call.request,
                    status=admitted.value,
                    version=rules.version,
                )
            )
            return _reject(request, admitted)
        asked = self._make_exchange(
            request, call, admitted, body, received_at_s
        )
        return await self._run(request, asked, rules.version)

    async def _wait_for_routing(
        self, call: dialect.Call
    ) -> routing.Routing | None:
        """Returns the configuration, waiting a little after a start.

        An instance that has just started while the store was away usually
        learns it within a second or two; a caller that is refused may have no
        second try.
        """
        left_s = call.time_left_s or START_WAIT_MAX_S
        ends_s = clock.now_s() + min(
            START_WAIT_SHARE * left_s, START_WAIT_MAX_S
        )
        while True:
            rules = self._read_routing()
            if rules is not None or clock.now_s() >= ends_s:
                return rules
            await asyncio.sleep(START_POLL_S)

    def _make_exchange(
        self,
        request: web.BaseRequest,
        call: dialect.Call,
        admitted: admission.Admitted,
        body: bytes,
        received_at_s: float,
    ) -> exchange.Exchange:
        passed = headers.select_headers(
            request.headers, self._names.replaced_headers
        )
        return exchange.Exchange(
            call=call,
            admitted=admitted,
            service=routing.choose_service(admitted.route, self._draw),
            method=request.method,
            target=request.raw_path,
            headers=dict(passed),
            body=body,
            received_at_s=received_at_s,
            ends_at_s=exchange.make_end_s(admitted.route, call, received_at_s),
        )

    async def _run(
        self, request: web.BaseRequest, asked: exchange.Exchange, version: int
    ) -> web.StreamResponse:
        logs.log(
            log_events.RequestReceived(
                request=asked.call.request,
                route=asked.route.name,
                service=asked.service,
                version=version,
                priority=asked.admitted.priority,
                prompt_tokens=asked.call.prompt_tokens or None,
                time_left_s=asked.ends_at_s - asked.received_at_s,
            )
        )
        sink = _ResponseSink(request, lambda: self.is_leaving)
        try:
            ending = await self._runner.run(asked, sink)
        except asyncio.CancelledError:
            _log_end(asked, "caller_left", sink)
            raise
        except ConnectionError as error:
            _log_end(asked, "caller_left", sink, reason=repr(error))
            return _drop(request, sink)
        match ending:
            case answers.WholeAnswer(status, passed, body):
                _log_end(asked, "answered", sink, status=status)
                return web.Response(status=status, headers=passed, body=body)
            case answers.Streamed():
                _log_end(asked, "streamed", sink)
                assert sink.response is not None
                return sink.response
            case answers.StreamCut(reason):
                _log_end(asked, "cut", sink, reason=reason)
                # Without its last chunk the answer cannot pass for whole.
                return _drop(request, sink)
            case answers.OwnAnswer(failure, reason, retry_after_s):
                _log_end(
                    asked, "failed", sink, status=failure.value, reason=reason
                )
                return self._make_own(failure, reason, retry_after_s)

    def _refuse(
        self,
        request: web.BaseRequest,
        reason: str,
        failure: answers.Failure = answers.Failure.REFUSED,
    ) -> web.StreamResponse:
        logs.log(
            log_events.RequestRefused(
                request=self._names.read_request_id(request.headers),
                reason=reason,
            )
        )
        response = self._make_own(failure, reason, STOPPED_RETRY_S)
        if request.can_read_body:
            response.force_close()
        return response

    def _make_own(
        self,
        failure: answers.Failure,
        reason: str,
        retry_after_s: float | None,
    ) -> web.Response:
        told = {}
        if failure is answers.Failure.REFUSED and retry_after_s is not None:
            told = self._names.make_refusal_headers(retry_after_s)
        return web.Response(
            status=failure.value, headers=told, text=reason + "\n"
        )


class _ResponseSink:
    """Writes a stream to the caller's connection."""

    def __init__(
        self, request: web.BaseRequest, is_leaving: Callable[[], bool]
    ) -> None:
        self.has_begun = False
        self.response: web.StreamResponse | None = None
        self.first_at_s: float | None = None
        self.longest_pause_s = 0.0
        self.events_bytes = 0
        self._last_at_s: float | None = None
        self._request = request
        self._is_leaving = is_leaving

    async def begin(self, status: int, passed: Mapping[str, str]) -> None:
        """Sends the head of the answer."""
        response = web.StreamResponse(
            status=status, headers=multidict.CIMultiDict(passed)
        )
        response.enable_chunked_encoding()
        if self._is_leaving():
            response.force_close()
        self.response = response
        self.has_begun = True
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends whole events."""
        assert self.response is not None, "the answer has not begun"
        now_s = clock.now_s()
        if self._last_at_s is None:
            self.first_at_s = now_s
        else:
            pause_s = now_s - self._last_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_at_s = now_s
        self.events_bytes += len(data)
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the answer as complete."""
        assert self.response is not None, "the answer has not begun"
        await self.response.write_eof()


def _drop(request: web.BaseRequest, sink: _ResponseSink) -> web.StreamResponse:
    """Closes a caller's connection without the rest of its answer."""
    if request.transport is not None:
        request.transport.abort()
    # Nothing of the answer below reaches the caller.
    return sink.response or web.Response(status=answers.Failure.BROKEN.value)


def _choose_body_s(call: dialect.Call) -> float:
    """Returns how long a body may take: the time that its caller waits."""
    return call.time_left_s or BODY_MAX_S


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Returns the whole body, or None if it is over the limit."""
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > limit:
        return None
    parts = bytearray()
    async for part in request.content.iter_any():
        parts += part
        if len(parts) > limit:
            return None
    return bytes(parts)


def _reject(
    request: web.BaseRequest, rejection: admission.Rejection
) -> web.Response:
    response = web.Response(
        status=rejection.value, text=rejection.name.lower() + "\n"
    )
    if request.can_read_body and not request.content.is_eof():
        response.force_close()
    return response


def _log_end(
    asked: exchange.Exchange,
    outcome: str,
    sink: _ResponseSink,
    **fields: Any,
) -> None:
    first_s = None
    if sink.first_at_s is not None:
        first_s = sink.first_at_s - asked.received_at_s
    total_s = clock.now_s() - asked.received_at_s
    labels = {
        "route": asked.route.name,
        "size": metrics.name_size(asked.call.prompt_tokens),
    }
    metrics.ended.add(1, {**labels, "outcome": outcome})
    metrics.total_s.record(total_s, labels)
    if first_s is not None:
        metrics.first_s.record(first_s, labels)
        metrics.pause_s.record(sink.longest_pause_s, labels)
    logs.log(
        log_events.RequestEnded(
            request=asked.call.request,
            outcome=outcome,
            route=asked.route.name,
            first_s=first_s,
            pause_s=sink.longest_pause_s or None,
            total_s=total_s,
            bytes=sink.events_bytes or None,
            **fields,
        )
    )
