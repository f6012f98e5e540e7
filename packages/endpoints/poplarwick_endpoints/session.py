"""The HTTP session that all clients of endpoints share."""

from __future__ import annotations

import aiohttp

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 2_000


def make_session() -> aiohttp.ClientSession:
    """Returns a session without a limit on the length of an answer."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
    )
