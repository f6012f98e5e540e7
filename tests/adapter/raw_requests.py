"""Sends requests whose bytes HTTP libraries would not send."""

from __future__ import annotations

import asyncio

import platform_cluster

SOUND = (b"Request-Id: r1", b"Token-Counts: 50,10")
"""Header lines of a proper request."""


async def send_raw(cluster, *lines, path=b"/label/"):
    """Sends a request whose header has any bytes; returns its head."""
    host, port = cluster.instances[0].caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"\r\n".join(
            (
                b"POST " + path + b" HTTP/1.1",
                b"Host: " + platform_cluster.HOST.encode(),
                b"X-Api-Key: " + platform_cluster.KEY.encode(),
                b"Content-Length: 0",
                b"Connection: close",
                *lines,
                b"\r\n",
            )
        )
    )
    async with asyncio.timeout(platform_cluster.TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer
