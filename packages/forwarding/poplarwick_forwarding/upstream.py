"""Sends one request to one endpoint.

Each request has its own connection: bytes that an endpoint sends late or in
excess then cannot be taken for the response to another request, and no request
is lost on a connection that was closed while idle.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import socket
from collections.abc import AsyncIterator

import aiohttp
import yarl

from poplarwick_core import clock
from poplarwick_core import connection_attempt
from poplarwick_core import socket_buffers
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import dialect
from poplarwick_forwarding import headers
from poplarwick_placement import messages
from poplarwick_platform import http_session
from poplarwick_reach import connector
from poplarwick_reach import endpoint_reach

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connection attempt; over a hundred times the latency inside a
region, and short enough to retry within a latency objective of one second."""

MAX_BODY_BYTES = 8 << 20
"""Largest response that is gathered in memory; services answer with a few
kilobytes."""

ORDINARY_BODY_BYTES = 1 << 20
"""Size up to which a response is not the reason why memory is short."""

RESET_CHECK_S = 0.25
"""Interval between checks whether a response that is not read was reset."""

TCP_CLOSE = 7
"""State of a connection that was reset (`TCP_CLOSE` of Linux)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it is sent to an endpoint.

    Attributes:
        method: HTTP method.
        target: Path and query as received from the caller.
        headers: Headers to send.
        body: The complete body.
        id: Id of the request, for logs.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    id: str = ""


class SendError(Exception):
    """A request got no usable response.

    Attributes:
        result: Result of the attempt, as counted for the endpoint.
        may_have_run: Whether the endpoint may have run the request.
        blamed: Address of another endpoint that caused the failure, if known.
        is_cut: Whether the connection ended before the response did.
        relay: Instance that relayed the connection; None if it was direct.
    """

    def __init__(
        self,
        message: str,
        result: messages.Result,
        *,
        may_have_run: bool,
        blamed: str | None = None,
        is_cut: bool = False,
    ) -> None:
        super().__init__(message)
        self.relay: str | None = None
        self.is_cut = is_cut
        self.blamed = blamed
        self.result = result
        self.may_have_run = may_have_run


class Response:
    """An endpoint's response whose body is still being received.

    Attributes:
        received_at_s: Monotonic time at which a part of it was last received.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: dialect.ResponseHead,
        relay: str | None,
    ) -> None:
        self.head = head
        self.relay = relay
        self.received_at_s = clock.now_s()
        self.status = response.status
        self.headers = headers.select_headers(response.headers)
        self._response = response
        self._end = http_session.BodyEnd(response)
        self._prefetched = b""

    @property
    def is_delimited(self) -> bool:
        """Whether the response has a length or chunks."""
        return self._end.is_delimited

    @property
    def is_received(self) -> bool:
        """Whether nothing more is expected from the endpoint."""
        return self._response.content.is_eof()

    async def wait_until_cut(self) -> None:
        """Returns once the connection was reset before the response ended.

        While the caller does not read, the connection is not read either, and
        the event loop does not notice its end. An end in order cannot be seen
        behind data that is not read.
        """
        while True:
            await asyncio.sleep(RESET_CHECK_S)
            if self._is_reset():
                return

    def _is_reset(self) -> bool:
        if self.is_received:
            return False
        connection = self._response.connection
        transport = None if connection is None else connection.transport
        if transport is None or transport.is_closing():
            return True
        state = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, 1
        )
        return bool(state[0] == TCP_CLOSE)

    def abandon(self, error: SendError) -> None:
        """Raises an error at whoever reads the body."""
        self._response.content.set_exception(error)

    async def prefetch(self) -> None:
        """Waits for the first part of the body, which is yielded later.

        Raises:
            SendError: The body is truncated.
        """
        self._prefetched = await self._read_part()

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            SendError: The body is truncated.
        """
        while chunk := await self._read_part():
            yield chunk

    async def _read_part(self) -> bytes:
        """Returns a part of the body; empty at its end."""
        prefetched, self._prefetched = self._prefetched, b""
        if prefetched:
            return prefetched
        try:
            chunk = await self._response.content.readany()
            self.received_at_s = clock.now_s()
            if not chunk:
                await self._end.check()
            return chunk
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(
                f"response truncated: {error!r}",
                messages.Result.BROKEN,
                may_have_run=True,
                is_cut=True,
            ) from error

    async def read_body(self, held: buffer_budget.HeldBytes) -> bytes:
        """Returns the complete body.

        Args:
            held: Counts the body until it has been delivered.

        Raises:
            SendError: The body is truncated or too large.
        """
        body = bytearray()
        try:
            async for chunk in self.iter_chunks():
                if len(body) + len(chunk) > MAX_BODY_BYTES:
                    raise _make_size_error(len(body), "it is not ended")
                held.add_response(len(chunk))
                body += chunk
        except buffer_budget.BudgetSpentError as error:
            held.release_response()
            raise _make_size_error(len(body), str(error)) from error
        except BaseException:
            held.release_response()
            raise
        return bytes(body)


def _make_size_error(body_bytes: int, reason: str) -> SendError:
    is_ordinary = body_bytes <= ORDINARY_BODY_BYTES
    return SendError(
        f"response body larger than {body_bytes} bytes: {reason}",
        messages.Result.GIVEN_UP if is_ordinary else messages.Result.BROKEN,
        may_have_run=True,
    )


class Upstream(http_session.SessionOwner):
    """Sends requests to endpoints while its context is open.

    Args:
        wire_dialect: Protocol dialect of the platform.
        reach: Connects to endpoints.
        buffer_bytes: Size of each buffer of a connection.
    """

    def __init__(
        self,
        wire_dialect: dialect.Dialect,
        reach: endpoint_reach.EndpointReach,
        buffer_bytes: int,
    ) -> None:
        super().__init__(lambda: _make_session(reach, buffer_bytes))
        self._reach = reach
        self._dialect = wire_dialect

    @contextlib.asynccontextmanager
    async def send(
        self, address: str, request: Request
    ) -> AsyncIterator[Response]:
        """Sends a request; exiting the context closes its connection.

        Args:
            address: Host and port of the endpoint.
            request: Request to send.

        Raises:
            SendError: There was no usable response.
        """
        info = connector.ConnectionInfo(label=request.id)
        connector.CONNECTION_INFO.set(info)
        opened_at_s = clock.now_s()
        try:
            response = await self._open(address, request, info)
            if info.relay is None:
                self._reach.record_reached(address, opened_at_s)
            try:
                yield Response(
                    response,
                    self._dialect.parse_response(
                        response.status, response.headers
                    ),
                    info.relay,
                )
            finally:
                response.close()
        except SendError as error:
            error.relay = info.relay
            if info.has_relay_ended and error.is_cut:
                # The endpoint has not caused the end.
                error.result = messages.Result.GIVEN_UP
                error.is_cut = False
            raise

    async def _open(
        self, address: str, request: Request, info: connector.ConnectionInfo
    ) -> aiohttp.ClientResponse:
        try:
            return await self.session.request(
                request.method,
                yarl.URL(f"http://{address}{request.target}", encoded=True),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise SendError(
                f"cannot connect to {address}: {error!r}",
                messages.Result.GIVEN_UP
                if info.is_late
                else messages.Result.UNREACHABLE,
                may_have_run=False,
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            is_cut = isinstance(error, aiohttp.ClientConnectionError | OSError)
            if is_cut and info.relay is None:
                # Links that are cut may also reset what was accepted.
                self._reach.record_failed(address)
            raise SendError(
                f"no usable response from {address}: {error!r}",
                messages.Result.BROKEN,
                may_have_run=True,
                is_cut=is_cut,
            ) from error


def _make_session(
    reach: endpoint_reach.EndpointReach, buffer_bytes: int
) -> aiohttp.ClientSession:
    def make_socket(
        address: aiohttp.AddrInfoType,
    ) -> connection_attempt.AttemptSocket:
        sock = connector.make_socket(address)
        socket_buffers.limit_buffers(sock, buffer_bytes)
        return sock

    return http_session.make_unshared_session(
        make_connector=functools.partial(
            reach.make_connector, socket_factory=make_socket
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=buffer_bytes,
    )
