"""Frames of the bytes that a relay sends back.

A connection that ends may be that of the endpoint, whose answer may end with
it, or that of a relay that was killed. Frames tell them apart: the relay marks
the orderly end. It also marks an end of its own, which says nothing of the
endpoint. Towards the endpoint bytes need no frames.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LENGTH_BYTES = 4

END = bytes(LENGTH_BYTES)
"""Marks that the endpoint has closed its connection in order."""

RELAY_END = b"\xff" * LENGTH_BYTES
"""Marks that the relay ends; no frame is as long. A reader that does not know
the mark waits for content and sees a connection without the mark of an end."""


def encode(data: bytes) -> bytes:
    """Returns a frame with bytes of the endpoint."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader(asyncio.Protocol):
    """Passes the content of frames on to a protocol.

    Args:
        protocol: Sees the connection as one to the endpoint.
        record_relay_end: Called if the relay ends before the endpoint does.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol,
        record_relay_end: Callable[[], None] = lambda: None,
    ) -> None:
        self.protocol = protocol
        self._record_relay_end = record_relay_end
        self._transport: asyncio.Transport | None = None
        self._header = b""
        self._remaining = 0
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the transport on; what is written needs no frames."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Passes the content on as it arrives."""
        while data and not self._has_ended:
            if self._remaining:
                content, data = data[: self._remaining], data[self._remaining :]
                self._remaining -= len(content)
                self.protocol.data_received(content)
                continue
            missing = LENGTH_BYTES - len(self._header)
            self._header, data = self._header + data[:missing], data[missing:]
            if len(self._header) < LENGTH_BYTES:
                return
            if self._header == END:
                self._has_ended = True
                assert self._transport is not None
                # A protocol that does not read has not parsed all content; the
                # end of the connection follows once it reads again.
                if self._transport.is_reading():
                    self._transport.close()
                return
            if self._header == RELAY_END:
                # The end of the connection follows.
                self._record_relay_end()
                return
            self._remaining = int.from_bytes(self._header, "big")
            self._header = b""

    def eof_received(self) -> None:
        """Closes the connection, as for an endpoint."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes the end on; without its mark it is a failure."""
        if self._has_ended:
            exc = None
        elif exc is None:
            exc = ConnectionResetError("the relay ended the connection")
        self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes back pressure on."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes the end of back pressure on."""
        self.protocol.resume_writing()
