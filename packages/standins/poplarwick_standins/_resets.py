"""Resets of connections."""

from __future__ import annotations

import asyncio
import socket
import struct


def set_reset(transport: asyncio.BaseTransport) -> None:
    """Lets the end of a connection be a reset."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
