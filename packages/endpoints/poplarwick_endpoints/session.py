"""The HTTP session that the endpoint clients share."""

from __future__ import annotations

import aiohttp

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 2_000
READ_BUFFER_BYTES = 65_536


def make_session() -> aiohttp.ClientSession:
    """Returns a session without a limit on the duration of a response."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # aiohttp retries GET, PUT and DELETE after a lost connection, which may run
    # a call twice. It has no public option to turn this off; test_session.py
    # checks that the private one works.
    session._retry_connection = False
    return session
