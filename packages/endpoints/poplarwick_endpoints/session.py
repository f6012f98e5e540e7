"""The HTTP session that all clients of endpoints share."""

from __future__ import annotations

import aiohttp

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 2_000
READ_BUFFER_BYTES = 65_536


def make_session() -> aiohttp.ClientSession:
    """Returns a session without a limit on the length of an answer."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # The library repeats GET, PUT and DELETE on a lost connection, which may
    # run a call twice. There is no public switch; a test guards this one.
    session._retry_connection = False
    return session
