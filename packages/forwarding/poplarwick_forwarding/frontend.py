"""HTTP frontend: accepts callers' requests and sends the responses."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import types as python_types
from collections.abc import Callable
from typing import Any
from typing import Self

from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response
from aiohttp import web_server

from poplarwick_catalogue import routing
from poplarwick_core import clock
from poplarwick_core import early_listeners
from poplarwick_core import logs
from poplarwick_core import socket_buffers
from poplarwick_core import waiting_connections
from poplarwick_forwarding import admission
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import caller_connections
from poplarwick_forwarding import caller_stream
from poplarwick_forwarding import caller_watch
from poplarwick_forwarding import configuration_queue
from poplarwick_forwarding import dialect
from poplarwick_forwarding import fingerprints
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import headers
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import request_runner

HEADER_LIMIT_BYTES = 16_384
"""Longest header line or field; equals the platform's limit on a complete
header section."""

KEEPALIVE_TIMEOUT_S = 20.0
"""Time after which an idle connection is closed; longer than the idle limit of
the configuration, so that no connection is closed just as a caller reuses
it."""

CONFIGURATION_WAIT_SHARE = 0.25
"""Fraction of its time left for which a request waits while a newly started
instance fetches the configuration; the rest suffices to serve it."""

CONFIGURATION_WAIT_MAX_S = 2.5
"""Upper bound of that wait."""

REJECTED_PRIORITY = 0
"""Place in the queue of a request that is rejected; it takes no capacity."""

BODY_TIMEOUT_S = 30.0
"""Timeout of a request body if the caller gives no deadline; twice the longest
deadline that the users specify."""

CLOSE_TIMEOUT_S = 0.03
"""Time that handlers have to end when all connections are closed; aiohttp waits
for it twice. Responses have ended or are cut off by then."""

MAX_REQUESTS_IN_PROGRESS = 1_200
"""Limit per instance; bounds the use of memory and file descriptors."""


class Frontend:
    """Serves callers while its context is open.

    Args:
        address: Host and port to listen on.
        read_routing: Returns the configuration in force; None if there is
            none yet.
        wire_dialect: Protocol dialect of the platform.
        runner: Runs requests at endpoints.
        budget: Counts the buffered data.
        stop: Ends the reading of requests once this instance stops.
        list_unsent_relayed: Returns the connections with unsent data that the
            instance relays; they share the memory with those of callers.
    """

    def __init__(
        self,
        address: str,
        read_routing: Callable[[], routing.Routing | None],
        wire_dialect: dialect.Dialect,
        runner: request_runner.RequestRunner,
        budget: buffer_budget.BufferBudget,
        stop: graceful_stop.GracefulStop,
        list_unsent_relayed: Callable[[], list[asyncio.Transport]],
    ) -> None:
        self.is_leaving = False
        self._is_relieved = False
        self._refuses_from_s = math.inf
        self.in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._configuration_queue = configuration_queue.ConfigurationQueue(
            read_routing
        )
        self._dialect = wire_dialect
        self._runner = runner
        self._budget = budget
        self._stop = stop
        self._list_unsent_relayed = list_unsent_relayed
        self._connections = caller_connections.CallerConnections(
            lambda: self.connections
        )
        self._watch = caller_watch.CallerWatch(
            budget, lambda: self.connections, self._connections.find_request_id
        )
        self._watching: asyncio.Task[None] | None = None
        self._rng = random.Random()
        self._server: web_server.Server | None = None
        self._listener: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = web_server.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
            read_bufsize=self._budget.limits.buffer_bytes,
        )
        loop = asyncio.get_running_loop()
        listening = early_listeners.take(self._address)
        buffer_bytes = self._budget.limits.buffer_bytes
        if listening is None:
            listening = socket_buffers.make_listening_socket(
                self._host, self._port, buffer_bytes
            )
        else:
            # Connections that it has accepted so far keep their buffers.
            socket_buffers.limit_buffers(listening, buffer_bytes)
        self._listener = await loop.create_server(
            self._server, sock=listening, backlog=early_listeners.BACKLOG
        )
        self._watching = asyncio.create_task(self._watch.run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: python_types.TracebackType | None,
    ) -> None:
        if self._watching is not None:
            self._watching.cancel()
        if self._listener is not None:
            self._listener.close()
        await self.close_connections()

    @property
    def connections(self) -> list[web_protocol.RequestHandler]:
        """Open connections of callers."""
        return [] if self._server is None else self._server.connections

    def handle_configuration(self) -> None:
        """Serves requests that waited; called when the catalogue changes."""
        self._configuration_queue.release()

    @property
    def _closes_connections(self) -> bool:
        """Whether connections are closed after their next response."""
        return self.is_leaving or self._is_relieved

    def set_relieved(self, is_relieved: bool) -> None:
        """Sets whether callers are asked to connect to other instances.

        Their connections are closed after the next response. Idle ones are not
        closed at once, because a request may be under way on them.
        """
        self._is_relieved = is_relieved

    def refuse_from(self, refuses_from_s: float) -> None:
        """Refuses requests that arrive from a monotonic time on.

        The time counts for each request, not the call of a timer, which may be
        late.
        """
        self._refuses_from_s = refuses_from_s

    @property
    def is_closed(self) -> bool:
        """Whether requests are refused."""
        return clock.now_s() >= self._refuses_from_s

    async def accept_waiting(self) -> None:
        """Accepts the connections that closing the listener would reset.

        Follow it with `stop_listening` at once.
        """
        if self._listener is not None:
            await waiting_connections.accept_all(self._listener)

    def stop_listening(self) -> None:
        """Stops accepting connections and refuses further requests.

        Open connections stay open: aiohttp discards data that arrives on a
        connection after being told to close it, so a caller's request would get
        no response.
        """
        self.refuse_from(min(self._refuses_from_s, clock.now_s()))
        if self._listener is not None:
            self._listener.close()

    def prepare_for_end(self) -> None:
        """Reduces what callers and the log lose if the process is killed."""
        self._connections.log_requests()
        self.hand_over_unsent()

    def hand_over_unsent(self) -> None:
        """Lets the kernel take what callers and origins have not read yet.

        It goes on sending after the process has ended.
        """
        socket_buffers.hand_over_unsent(
            self._connections.list_unsent() + self._list_unsent_relayed(),
            self._budget.limits.total_bytes,
        )

    async def close_connections(self, until_s: float = 0.0) -> None:
        """Closes all connections, and cuts off requests in progress.

        Args:
            until_s: Monotonic time until which callers that wait for no answer
                may close their sides.
        """
        if self._server is None:
            return
        self.hand_over_unsent()
        await self._connections.close_idle(until_s)
        self._connections.log_open()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Waits until no request is in progress and returns whether none is.

        Args:
            timeout_s: Longest wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return not self.in_progress

    async def _handle(
        self, request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        request_id = self._dialect.get_request_id(request.headers)
        self.in_progress += 1
        self._idle.clear()
        try:
            with self._connections.track(request, request_id) as tracked:
                response = await self._respond(request, tracked)
                tracked.stage = caller_connections.Stage.ANSWERING
                await caller_connections.complete(
                    request,
                    response,
                    request_id,
                    closes=self._closes_connections,
                )
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
        if not response.keep_alive:
            await self._connections.finish(request)
        return response

    async def _respond(
        self,
        request: web_request.BaseRequest,
        tracked: caller_connections.OpenRequest,
    ) -> web_response.StreamResponse:
        if self._connections.is_half_closed(request):
            return caller_connections.drop(request, tracked.id)
        if self.is_closed:
            return self._refuse(request, "stopping")
        if self.in_progress > MAX_REQUESTS_IN_PROGRESS:
            return self._refuse(request, "too_many_requests")
        if not request.raw_path.startswith("/"):
            return _reject(request, admission.Rejection.UNREADABLE)
        try:
            metadata = self._dialect.parse_request(request.headers)
        except dialect.HeaderError as error:
            logs.log(
                log_events.RequestUnreadable(
                    request=self._dialect.get_request_id(request.headers),
                    reason=str(error),
                )
            )
            return _reject(request, admission.Rejection.UNREADABLE)
        rules = await self._wait_for_routing(request, metadata)
        if rules is None:
            return self._refuse(request, "no_configuration")
        self._watch.limit_buffer(request)
        with self._budget.hold() as held:
            return await self._admit(request, metadata, rules, held, tracked)

    async def _admit(
        self,
        request: web_request.BaseRequest,
        metadata: dialect.RequestMetadata,
        rules: routing.Routing,
        held: buffer_budget.HeldBytes,
        tracked: caller_connections.OpenRequest,
    ) -> web_response.StreamResponse:
        max_bytes = rules.limits.body_bytes
        expected_bytes = min(request.content_length or 0, max_bytes)
        try:
            if not self._budget.can_accept(expected_bytes):
                raise buffer_budget.BudgetSpentError("before the body")
            async with (
                asyncio.timeout(_choose_body_timeout_s(metadata)),
                self._stop.limit_read(),
            ):
                body, digest = await _read_body(request, max_bytes, held)
        except graceful_stop.StoppingError:
            return self._refuse(request, "stopping")
        except TimeoutError:
            return self._refuse(
                request, "body_not_read", outcomes.Failure.BODY_LATE
            )
        except buffer_budget.BudgetSpentError:
            metrics.requests_refused.add(1, {"reason": "buffers_full"})
            return self._refuse(request, "buffers_full")
        if body is None:
            return _reject(request, admission.Rejection.BODY_TOO_LARGE)
        admitted = admission.admit(
            rules, request.headers.get("Host", ""), request.raw_path, metadata
        )
        if isinstance(admitted, admission.Rejection):
            logs.log(
                log_events.RequestRejected(
                    request=metadata.request_id,
                    status=admitted.value,
                    version=rules.version,
                )
            )
            return _reject(request, admitted)
        exchange = self._make_exchange(
            request,
            metadata,
            admitted,
            body,
            digest,
            tracked.received_at_s,
            rules,
            held,
        )
        tracked.stage = caller_connections.Stage.RUNNING
        return await self._run(request, exchange, rules.version)

    async def _wait_for_routing(
        self,
        request: web_request.BaseRequest,
        metadata: dialect.RequestMetadata,
    ) -> routing.Routing | None:
        """Returns the configuration, waiting for it briefly after a start.

        An instance that was started while the store was unreachable usually
        receives the configuration within a second or two, and a caller that is
        refused may not retry.
        """
        time_left_s = metadata.time_left_s or CONFIGURATION_WAIT_MAX_S
        host = request.headers.get("Host", "")

        def read_priority(rules: routing.Routing) -> int:
            admitted = admission.admit(rules, host, request.raw_path, metadata)
            if isinstance(admitted, admission.Rejection):
                return REJECTED_PRIORITY
            return admitted.priority

        return await self._configuration_queue.wait(
            read_priority,
            min(
                CONFIGURATION_WAIT_SHARE * time_left_s, CONFIGURATION_WAIT_MAX_S
            ),
        )

    def _make_exchange(
        self,
        request: web_request.BaseRequest,
        metadata: dialect.RequestMetadata,
        admitted: admission.Admission,
        body: bytes,
        digest: fingerprints.BodyDigest,
        received_at_s: float,
        rules: routing.Routing,
        held: buffer_budget.HeldBytes,
    ) -> http_exchange.Exchange:
        organisation = admitted.organisation
        service = routing.choose_service(admitted.route, self._rng)
        forwarded = headers.select_headers(
            request.headers, self._dialect.replaced_headers
        )
        return http_exchange.Exchange(
            metadata=metadata,
            admission=admitted,
            service=service,
            method=request.method,
            target=request.raw_path,
            headers=dict(forwarded),
            body=body,
            fingerprint=digest.make_fingerprint(
                organisation.id if organisation else None,
                request.headers.get("Host", ""),
                request.method,
                request.raw_path,
            ),
            received_at_s=received_at_s,
            deadline_at_s=http_exchange.calculate_deadline_s(
                admitted.route, metadata, received_at_s
            ),
            engine=routing.get_engine(rules, service),
            held=held,
        )

    async def _run(
        self,
        request: web_request.BaseRequest,
        exchange: http_exchange.Exchange,
        version: int,
    ) -> web_response.StreamResponse:
        logs.log(
            log_events.RequestReceived(
                request=exchange.metadata.request_id,
                fingerprint=exchange.fingerprint,
                route=exchange.route.name,
                service=exchange.service,
                version=version,
                priority=exchange.admission.priority,
                prompt_tokens=exchange.metadata.prompt_tokens or None,
                time_left_s=exchange.deadline_at_s - exchange.received_at_s,
            )
        )
        sink = caller_stream.ResponseSink(
            request, lambda: self._closes_connections
        )
        try:
            outcome = await self._runner.run(exchange, sink)
            if isinstance(outcome, outcomes.Streamed):
                await sink.finish()
        except asyncio.CancelledError:
            _record_outcome(exchange, "caller_left", sink)
            raise
        except ConnectionError as error:
            _record_outcome(exchange, "caller_left", sink, reason=repr(error))
            return _abort(request, sink)
        except Exception as error:
            _record_outcome(exchange, "error", sink, reason=repr(error))
            raise
        match outcome:
            case outcomes.CompleteResponse(status) as complete:
                _record_outcome(exchange, "answered", sink, status=status)
                return await self._deliver(request, exchange, sink, complete)
            case outcomes.Streamed(output_tokens, expected_tokens):
                _record_outcome(
                    exchange,
                    "streamed",
                    sink,
                    output_tokens=output_tokens,
                    expected_tokens=expected_tokens,
                )
                assert sink.response is not None
                return sink.response
            case outcomes.StreamTruncated(reason):
                _record_outcome(exchange, "cut", sink, reason=reason)
                # Without its last chunk the response cannot be mistaken for a
                # complete one.
                return _abort(request, sink)
            case outcomes.LocalResponse(failure, reason, retry_after_s):
                _record_outcome(
                    exchange,
                    "failed",
                    sink,
                    status=failure.value,
                    reason=reason,
                )
                return self._make_local_response(failure, reason, retry_after_s)

    async def _deliver(
        self,
        request: web_request.BaseRequest,
        exchange: http_exchange.Exchange,
        sink: caller_stream.ResponseSink,
        complete: outcomes.CompleteResponse,
    ) -> web_response.StreamResponse:
        try:
            return await caller_stream.deliver(
                request,
                complete,
                self._budget.limits.buffer_bytes,
                closes=self._closes_connections,
            )
        except ConnectionError as error:
            logs.log(
                log_events.AnswerNotDelivered(
                    request=exchange.metadata.request_id, reason=repr(error)
                )
            )
            return _abort(request, sink)

    def _refuse(
        self,
        request: web_request.BaseRequest,
        reason: str,
        failure: outcomes.Failure = outcomes.Failure.REFUSED,
    ) -> web_response.StreamResponse:
        logs.log(
            log_events.RequestRefused(
                request=self._dialect.get_request_id(request.headers),
                reason=reason,
            )
        )
        response = self._make_local_response(
            failure, reason, outcomes.INSTANCE_RETRY_AFTER_S
        )
        if request.can_read_body:
            response.force_close()
        return response

    def _make_local_response(
        self,
        failure: outcomes.Failure,
        reason: str,
        retry_after_s: float | None,
    ) -> web_response.Response:
        refusal_headers = {}
        if failure is outcomes.Failure.REFUSED and retry_after_s is not None:
            refusal_headers = self._dialect.make_refusal_headers(retry_after_s)
        return web_response.Response(
            status=failure.value, headers=refusal_headers, text=reason + "\n"
        )


def _abort(
    request: web_request.BaseRequest, sink: caller_stream.ResponseSink
) -> web_response.StreamResponse:
    """Closes a caller's connection without completing the response."""
    if request.transport is not None:
        request.transport.abort()
    # The connection is closed: the caller does not receive this response.
    return sink.response or web_response.Response(
        status=outcomes.Failure.BROKEN.value
    )


def _choose_body_timeout_s(metadata: dialect.RequestMetadata) -> float:
    """Returns the timeout of a body: the time that the caller waits."""
    return metadata.time_left_s or BODY_TIMEOUT_S


async def _read_body(
    request: web_request.BaseRequest, limit: int, held: buffer_budget.HeldBytes
) -> tuple[bytes | None, fingerprints.BodyDigest]:
    """Returns the complete body, or None if it exceeds the limit.

    Raises:
        BudgetSpentError: There is no memory for the body.
    """
    digest = fingerprints.BodyDigest()
    if not request.can_read_body:
        return b"", digest
    if (request.content_length or 0) > limit:
        return None, digest
    buffer = bytearray()
    async for chunk in request.content.iter_any():
        held.add_request_body(len(chunk))
        buffer += chunk
        digest.add(chunk)
        if len(buffer) > limit:
            return None, digest
    return bytes(buffer), digest


def _reject(
    request: web_request.BaseRequest, rejection: admission.Rejection
) -> web_response.Response:
    response = web_response.Response(
        status=rejection.value, text=rejection.name.lower() + "\n"
    )
    if request.can_read_body and not request.content.is_eof():
        response.force_close()
    return response


def _record_outcome(
    exchange: http_exchange.Exchange,
    outcome: str,
    sink: caller_stream.ResponseSink,
    **fields: Any,
) -> None:
    first_s = None
    if sink.first_at_s is not None:
        first_s = sink.first_at_s - exchange.received_at_s
    total_s = clock.now_s() - exchange.received_at_s
    labels = {
        "route": exchange.route.name,
        "size": metrics.get_size_class(exchange.metadata.prompt_tokens),
    }
    metrics.requests_ended.add(1, {**labels, "outcome": outcome})
    metrics.request_seconds.record(total_s, labels)
    if first_s is not None:
        metrics.first_event_seconds.record(first_s, labels)
        metrics.stream_pause_seconds.record(sink.longest_pause_s, labels)
    logs.log(
        log_events.RequestEnded(
            request=exchange.metadata.request_id,
            outcome=outcome,
            route=exchange.route.name,
            first_s=first_s,
            pause_s=sink.longest_pause_s or None,
            total_s=total_s,
            bytes=sink.bytes_written or None,
            **fields,
        )
    )
