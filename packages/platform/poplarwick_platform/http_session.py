"""HTTP session management for clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any
from typing import Self
from typing import TYPE_CHECKING

import aiohttp

from poplarwick_platform import response_protocol
from poplarwick_platform import response_syntax

if TYPE_CHECKING:
    import ssl


CLOSE_TIMEOUT_S = 0.2
"""Longest wait for a connection to close after its last bytes."""

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is gathered where nothing else is said; lists and states
of a large fleet have some hundred kilobytes."""


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body is larger than what may be gathered."""


class SessionOwner:
    """Base class that owns an HTTP session while its context is open.

    Args:
        make_session: Creates the session; called inside the running loop.
    """

    def __init__(
        self, make_session: Callable[[], aiohttp.ClientSession]
    ) -> None:
        self._make_session = make_session
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = self._make_session()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session; available only inside the context."""
        assert self._session is not None, "the context is not open"
        return self._session


def make_unshared_session(
    *,
    connection_limit: int = 0,
    tls: ssl.SSLContext | None = None,
    make_connector: Callable[..., aiohttp.TCPConnector] = aiohttp.TCPConnector,
    **options: Any,
) -> aiohttp.ClientSession:
    """Returns a session that sends each request once, on its own connection.

    A server may send a second copy of a response late. On a connection that is
    used again, it would be taken for the response to the next request.

    Args:
        connection_limit: Most connections at a time; 0 for no limit.
        tls: Verifies the server; None for plain connections.
        make_connector: Creates the connector with options of
            `aiohttp.TCPConnector`.
        **options: Further options of the session.
    """
    session = aiohttp.ClientSession(
        connector=make_connector(
            limit=connection_limit, force_close=True, ssl=tls or True
        ),
        **options,
    )
    # aiohttp sends GET, PUT and DELETE again after a lost connection, which may
    # run a request twice. It has no public option to turn this off;
    # test_http_session.py checks that the private one works.
    session._retry_connection = False
    return response_protocol.check_responses(session)


def make_shared_session(**options: Any) -> aiohttp.ClientSession:
    """Returns a session that uses connections again.

    Args:
        **options: Options of `aiohttp.ClientSession`.
    """
    return response_protocol.check_responses(aiohttp.ClientSession(**options))


class BodyEnd:
    """How the body of a response ends.

    A body without a length and without chunks ends with its connection; it is
    complete only if the connection was closed in order.

    Args:
        response: The response, before its body is read.

    Attributes:
        is_delimited: Whether the body has a length or chunks, or is none.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.is_delimited = _is_delimited(response)
        self._closed = None if self.is_delimited else _watch_close(response)

    async def check(self) -> None:
        """Checks that the body is complete after its last byte.

        Raises:
            aiohttp.ClientPayloadError: It may not be.
        """
        if self.is_delimited:
            return
        if self._closed is None:
            raise aiohttp.ClientPayloadError(
                "the connection ended before it was watched"
            )
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._closed
        except TimeoutError as error:
            raise aiohttp.ClientPayloadError(
                "the connection was not closed"
            ) from error
        except aiohttp.ClientConnectionError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error


def _watch_close(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Returns how the connection ends; None if it already has."""
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    return None if protocol is None else protocol.closed


def _is_delimited(response: aiohttp.ClientResponse) -> bool:
    return (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
        or response.status in response_syntax.BODILESS_STATUSES
        or response.method == "HEAD"
    )


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int = MAX_ANSWER_BYTES,
    record_bytes: Callable[[int], None] = lambda count: None,
) -> bytes:
    """Returns the complete body of a response.

    Args:
        response: The response, before its body is read.
        max_bytes: Largest body that is gathered.
        record_bytes: Called with the number of bytes that have arrived; what
            it raises ends the reading.

    Raises:
        BodyTooLargeError: The body is larger than `max_bytes`.
        aiohttp.ClientPayloadError: The body is not complete.
    """
    end = BodyEnd(response)
    body = bytearray()
    async for chunk in response.content.iter_any():
        record_bytes(len(chunk))
        body += chunk
        if len(body) > max_bytes:
            raise BodyTooLargeError(f"body larger than {max_bytes} bytes")
    await end.check()
    return bytes(body)


def make_timed_session(timeout_s: float) -> aiohttp.ClientSession:
    """Returns a session whose calls time out after `timeout_s` seconds."""
    return make_shared_session(timeout=aiohttp.ClientTimeout(total=timeout_s))
