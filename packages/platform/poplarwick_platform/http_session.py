"""HTTP session management for clients."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any
from typing import Self
from typing import TYPE_CHECKING

import aiohttp

from poplarwick_platform import response_protocol

if TYPE_CHECKING:
    import ssl


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


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of a response.

    Raises:
        aiohttp.ClientPayloadError: The body is larger than `max_bytes`.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(
                f"body larger than {max_bytes} bytes"
            )
    return bytes(body)


def make_timed_session(timeout_s: float) -> aiohttp.ClientSession:
    """Returns a session whose calls time out after `timeout_s` seconds."""
    return make_shared_session(timeout=aiohttp.ClientTimeout(total=timeout_s))
