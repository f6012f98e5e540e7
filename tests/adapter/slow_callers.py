"""Callers that send a request and read the answer late, or never."""

from __future__ import annotations

import asyncio
import re
import socket

import platform_cluster

RECEIVE_BUFFER_BYTES = 4_096
CHUNK = re.compile(rb"([0-9a-f]+)\r\n")


class SlowCaller:
    """Connection of a caller that decides itself when to read."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)

    async def send(self, path, request_id, *, tokens=None, deadline_ms=10_000):
        """Connects and sends a request."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (self.host, self.port))
        counts = "" if tokens is None else f"Token-Counts: {tokens},170\r\n"
        await loop.sock_sendall(
            self.socket,
            (
                f"POST {path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
                f"X-Api-Key: {platform_cluster.KEY}\r\nModel: m\r\n{counts}"
                "Connection: close\r\nContent-Length: 2\r\n\r\nhi"
            ).encode(),
        )

    async def read(self, pause_s=0.0, part_bytes=65_536):
        """Returns everything until the connection ends."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        while data := await loop.sock_recv(self.socket, part_bytes):
            received += data
            await asyncio.sleep(pause_s)
        return bytes(received)

    def close(self):
        self.socket.close()


def find_event_ids(received):
    """Returns the ids of the events of a chunked stream, in order."""
    return [int(n) for n in re.findall(rb"\nid: (\d+)\n", received)]
