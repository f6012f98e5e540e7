"""Tests of the HTTP session for endpoints."""

import asyncio

import aiohttp
import pytest

from poplarwick_endpoints import session


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_lost_connection_is_not_retried_by_the_library(method):
    received = []

    async def serve(reader, writer):
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, session.make_session() as client:
            with pytest.raises(aiohttp.ClientError):
                await client.request(method, f"http://127.0.0.1:{port}/")

    asyncio.run(run())
    assert len(received) == 1
