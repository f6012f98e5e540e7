"""Callers that read their answers slowly, through small buffers.

Load pattern: an instance stops while it holds answers that its endpoints have
ended and their callers have not read yet.
"""

from __future__ import annotations

import asyncio

from poplarwick_core import socket_buffers

BUFFER_BYTES = 8_192
"""Size of each buffer of a slow caller's connection."""

LOOPBACK = "127.0.0.1"


class PacedReader:
    """Reads a stream at a limited rate.

    Args:
        reader: The stream.
        bytes_per_s: Rate.
    """

    def __init__(
        self, reader: asyncio.StreamReader, bytes_per_s: float
    ) -> None:
        self._reader = reader
        self._bytes_per_s = bytes_per_s

    def at_eof(self) -> bool:
        """Whether the stream has ended and all of it was read."""
        return self._reader.at_eof()

    async def readuntil(self, separator: bytes) -> bytes:
        """Reads up to a separator."""
        return await self._reader.readuntil(separator)

    async def readline(self) -> bytes:
        """Reads a line."""
        return await self._reader.readline()

    async def readexactly(self, size: int) -> bytes:
        """Reads a number of bytes and waits for the time they take."""
        data = await self._reader.readexactly(size)
        await asyncio.sleep(size / self._bytes_per_s)
        return data


async def connect(
    host: str, port: int, bytes_per_s: float
) -> tuple[PacedReader, asyncio.StreamWriter]:
    """Returns a connection whose answers are read at a limited rate.

    Args:
        host: Address to connect to.
        port: Port to connect to.
        bytes_per_s: Rate.

    Raises:
        OSError: The connection could not be made.
    """
    sock = await socket_buffers.connect(LOOPBACK, host, port, BUFFER_BYTES)
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=BUFFER_BYTES
    )
    return PacedReader(reader, bytes_per_s), writer
