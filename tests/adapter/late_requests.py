"""Requests whose bodies end late."""

from __future__ import annotations

import asyncio
import itertools

import platform_cluster

_NUMBERS = itertools.count(1)


class LateRequest:
    """A request on a connection of its own whose body ends when told."""

    def __init__(self, path, tokens):
        self.path = path
        self.tokens = tokens
        self.id = f"late-{next(_NUMBERS)}"

    async def open(self, instance):
        """Sends the head and the first part of the body."""
        host, port = instance.caller_address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, port)
        tokens = (
            ""
            if self.tokens is None
            else (f"Model: m\r\nToken-Counts: {self.tokens},170\r\n")
        )
        self._writer.write(
            f"POST {self.path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
            f"Request-Id: {self.id}\r\nX-Api-Key: {platform_cluster.KEY}\r\n"
            f"Deadline-Ms: 15000\r\n{tokens}"
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n".encode()
        )
        await self._writer.drain()

    async def end(self, delay_s):
        """Sends the rest and returns the status, and whether it is answered."""
        await asyncio.sleep(delay_s)
        self._writer.write(b"4\r\nhalf\r\n0\r\n\r\n")
        try:
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                answer = await self._reader.read()
        except ConnectionError as error:
            return repr(error), False
        finally:
            self._writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        if not head:
            return None, False
        status = int(head.split(b" ")[1])
        if b"chunked" in head.lower():
            return status, body.endswith(b"0\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2]
        return status, len(body) == int(length.split(b"\r\n")[0])
