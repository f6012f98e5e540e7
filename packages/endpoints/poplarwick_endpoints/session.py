"""The HTTP session that the endpoint clients share."""

from __future__ import annotations

import aiohttp

from poplarwick_platform import http_session

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 2_000
READ_BUFFER_BYTES = 65_536


def make_session() -> aiohttp.ClientSession:
    """Returns a session without a limit on the duration of a response."""
    return http_session.make_unshared_session(
        connection_limit=MAX_CONNECTIONS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )
