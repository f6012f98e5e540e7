"""Closes callers' connections so that no answer is lost.

Load pattern: instances are stopped while callers use open connections, on
machines and links that are late. A socket that is closed while data of its
caller is unread, or is still under way, is reset, and the reset discards what
the caller has not received yet; a process that ends takes along what it has not
sent. So the sending side is closed first, and the connection once its caller
has closed it too, which shows that it has everything.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from aiohttp import web_protocol
from aiohttp import web_request
from aiohttp import web_response

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_core import socket_buffers
from poplarwick_forwarding import log_events
from poplarwick_forwarding import outcomes

CALLER_CLOSE_TIMEOUT_S = 1.0
"""Longest wait for a caller to close its side; callers that have an answer do
so within a network round trip."""

CLOSE_CHECK_S = 0.01
"""Interval between checks whether callers have closed their connections."""


class Stage(enum.Enum):
    """How far the request of a connection has come."""

    READING = "reading"
    """Its body or the configuration is missing."""

    RUNNING = "running"
    """It waits for an endpoint, or its answer is streamed."""

    ANSWERING = "answering"
    """Its answer is being sent."""


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that a connection carries.

    Attributes:
        id: Id of the request; None if it has none.
        received_at_s: Monotonic time at which its head was read.
        stage: How far it has come.
    """

    id: str | None
    received_at_s: float
    stage: Stage = Stage.READING


class CallerConnections:
    """Knows the requests of open connections, and closes connections.

    Args:
        read_connections: Returns the open connections.
    """

    def __init__(
        self,
        read_connections: Callable[[], Iterable[web_protocol.RequestHandler]],
    ) -> None:
        self._read_connections = read_connections
        self._requests: dict[object, OpenRequest] = {}
        self._half_closed: set[object] = set()

    @contextlib.contextmanager
    def track(
        self, request: web_request.BaseRequest, request_id: str | None
    ) -> Iterator[OpenRequest]:
        """Names the request of a connection until the context is exited.

        A request that ends with its connection before it was run, or while its
        answer is sent, leaves a line in the log.
        """
        tracked = OpenRequest(request_id, clock.now_s())
        self._requests[request.protocol] = tracked
        try:
            yield tracked
        except asyncio.CancelledError:
            if tracked.stage is not Stage.RUNNING:
                logs.log(
                    log_events.RequestAbandoned(
                        request=request_id,
                        stage=tracked.stage.value,
                        total_s=clock.now_s() - tracked.received_at_s,
                    )
                )
            raise
        finally:
            del self._requests[request.protocol]

    def find_request_id(self, connection: object) -> str | None:
        """Returns the id of a connection's request; None if it has none."""
        tracked = self._requests.get(connection)
        return None if tracked is None else tracked.id

    def is_half_closed(self, request: web_request.BaseRequest) -> bool:
        """Returns whether nothing more can be sent to a request's caller."""
        return request.protocol in self._half_closed

    async def finish(self, request: web_request.BaseRequest) -> None:
        """Closes a connection whose last answer has been sent.

        Returns once the caller has closed it, or does not do so in time; what
        the caller still sends is discarded.
        """
        self._half_close(request.protocol)
        try:
            async with asyncio.timeout(CALLER_CLOSE_TIMEOUT_S):
                await _discard_input(request)
        except TimeoutError:
            # It keeps its side open; the server closes the connection.
            return
        finally:
            self._half_closed.discard(request.protocol)

    async def close_idle(self, until_s: float) -> None:
        """Closes the connections that carry no request.

        Args:
            until_s: Monotonic time until which callers may close their sides.
        """
        for connection in self._list_idle():
            self._half_close(connection)
        until_s = min(until_s, clock.now_s() + CALLER_CLOSE_TIMEOUT_S)
        while clock.now_s() < until_s:
            if not self._list_idle():
                return
            await asyncio.sleep(CLOSE_CHECK_S)

    def log_requests(self) -> None:
        """Logs each request that a kill of the process would end."""
        for connection, tracked in self._requests.items():
            assert isinstance(connection, web_protocol.RequestHandler)
            transport = connection.transport
            logs.log(
                log_events.RequestLeftAtStop(
                    request=tracked.id,
                    stage=tracked.stage.value,
                    unsent_bytes=0
                    if transport is None
                    else transport.get_write_buffer_size(),
                )
            )

    def list_unsent(self) -> list[asyncio.Transport]:
        """Returns the connections whose callers have not read all yet."""
        return socket_buffers.list_unsent(
            connection.transport for connection in self._read_connections()
        )

    def log_open(self) -> None:
        """Logs each connection that is cut at the end of a stop."""
        for connection in self._read_connections():
            transport = connection.transport
            tracked = self._requests.get(connection)
            if transport is None:
                continue
            unsent_bytes = transport.get_write_buffer_size()
            if tracked is None and not unsent_bytes:
                continue
            logs.log(
                log_events.ConnectionCut(
                    request=None if tracked is None else tracked.id,
                    stage=None if tracked is None else tracked.stage.value,
                    unsent_bytes=unsent_bytes,
                )
            )

    def _list_idle(self) -> list[web_protocol.RequestHandler]:
        return [
            connection
            for connection in self._read_connections()
            if connection not in self._requests
            and connection.transport is not None
        ]

    def _half_close(self, connection: object) -> None:
        """Closes the sending side of a connection."""
        assert isinstance(connection, web_protocol.RequestHandler)
        transport = connection.transport
        if connection in self._half_closed or transport is None:
            return
        if transport.is_closing() or not transport.can_write_eof():
            return
        self._half_closed.add(connection)
        # The end follows the data that has not been sent yet.
        with contextlib.suppress(OSError):
            # The caller has reset it; the event loop will notice.
            transport.write_eof()


async def complete(
    request: web_request.BaseRequest,
    response: web_response.StreamResponse,
    request_id: str | None,
    *,
    closes: bool,
) -> None:
    """Sends what has not been sent of a response.

    Args:
        request: The request.
        response: Its response.
        request_id: Id of the request, for logs; None if it has none.
        closes: Whether the connection is closed afterwards.
    """
    if closes:
        response.force_close()
    transport = request.transport
    if transport is None or transport.is_closing():
        return
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError as error:
        logs.log(
            log_events.AnswerNotDelivered(
                request=request_id, reason=repr(error)
            )
        )


def drop(
    request: web_request.BaseRequest, request_id: str | None
) -> web_response.Response:
    """Closes a connection on which a request crossed its close.

    The caller sees that the request was not read.
    """
    logs.log(
        log_events.RequestRefused(
            request=request_id, reason="connection_closed"
        )
    )
    if request.transport is not None:
        request.transport.close()
    return web_response.Response(status=outcomes.Failure.REFUSED.value)


async def _discard_input(request: web_request.BaseRequest) -> None:
    """Reads what the caller sends, until it closes the connection.

    The handler of the request is cancelled then.
    """
    while not request.content.at_eof():
        try:
            await request.content.readany()
        except (web_protocol.RequestPayloadError, ConnectionError):
            break
    await asyncio.get_running_loop().create_future()
