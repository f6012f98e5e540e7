"""Sends one request to one endpoint.

Each request has a connection of its own: what an endpoint sends late or in
excess on a connection then belongs to no other request, and a connection that
was dropped while idle cannot swallow one.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import aiohttp
import yarl

from poplarwick_forwarding import dialect
from poplarwick_forwarding import headers
from poplarwick_placement import messages
from poplarwick_platform import http_session

CONNECT_TIMEOUT_S = 0.4
"""Longest time to connect; over a hundred times the way inside a region, and
short enough to try elsewhere inside an objective of a second."""

READ_BYTES = 1 << 16
"""Most bytes taken from an answer at once."""

CLOSE_WAIT_S = 0.2
"""Time for the end of a connection to be told after its last bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as it is sent on.

    Attributes:
        method: Its method.
        target: Path and query as the caller sent them.
        headers: Headers to send.
        body: The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class SendError(Exception):
    """A request got no usable answer.

    Attributes:
        result: What that says of the endpoint.
        may_have_run: Whether the endpoint may have run the request.
        blamed: Address of another endpoint that caused it, if known.
    """

    def __init__(
        self,
        message: str,
        result: messages.Result,
        *,
        may_have_run: bool,
        blamed: str | None = None,
    ) -> None:
        super().__init__(message)
        self.blamed = blamed
        self.result = result
        self.may_have_run = may_have_run


class Answer:
    """An endpoint's answer whose body is still arriving."""

    def __init__(
        self, response: aiohttp.ClientResponse, head: dialect.AnswerHead
    ) -> None:
        self.head = head
        self.status = response.status
        self.headers = headers.select_headers(response.headers)
        self._response = response
        self._closed = _watch_close(response)

    async def read_parts(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            SendError: The body broke off.
        """
        content = self._response.content
        try:
            while part := await content.readany():
                yield part
            await self._check_end()
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(
                f"answer broke off: {error!r}",
                messages.Result.BROKEN,
                may_have_run=True,
            ) from error

    async def read_whole(self) -> bytes:
        """Returns the whole body.

        Raises:
            SendError: The body broke off.
        """
        return b"".join([part async for part in self.read_parts()])

    async def _check_end(self) -> None:
        # A body without a length ends with its connection; only a connection
        # that was closed in order makes it whole.
        if self._closed is None:
            return
        try:
            async with asyncio.timeout(CLOSE_WAIT_S):
                await self._closed
        except TimeoutError as error:
            raise ConnectionError("the connection did not close") from error


def _watch_close(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    has_length = "Content-Length" in response.headers
    has_chunks = "chunked" in response.headers.get("Transfer-Encoding", "")
    connection = response.connection
    if has_length or has_chunks or connection is None:
        return None
    protocol = connection.protocol
    return None if protocol is None else protocol.closed


class Upstream(http_session.SessionOwner):
    """Connections to endpoints while its context is open.

    Args:
        names: Names on the wire.
    """

    def __init__(self, names: dialect.Dialect) -> None:
        super().__init__(_make_session)
        self._names = names

    @contextlib.asynccontextmanager
    async def send(
        self, address: str, request: Request
    ) -> AsyncIterator[Answer]:
        """Sends a request; leaving the context closes its connection.

        Args:
            address: Host and port of the endpoint.
            request: The request.

        Raises:
            SendError: There was no usable answer.
        """
        response = await self._open(address, request)
        try:
            yield Answer(
                response,
                self._names.read_answer(response.status, response.headers),
            )
        finally:
            response.close()

    async def _open(
        self, address: str, request: Request
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
                messages.Result.UNREACHABLE,
                may_have_run=False,
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(
                f"no usable answer from {address}: {error!r}",
                messages.Result.BROKEN,
                may_have_run=True,
            ) from error


def _make_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=READ_BYTES,
    )
