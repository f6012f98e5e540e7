"""Bounds the memory that the kernel uses for a TCP connection.

Linux lets the buffers of a connection grow to several megabytes while the other
side does not read. A size that is set stays fixed.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable

MAX_HANDOVER_BYTES = 8 << 20
"""Most that the kernel takes of one connection at the end: the largest response
that is gathered in memory (`upstream.MAX_BODY_BYTES`)."""


def limit_buffers(sock: socket.socket, size_bytes: int) -> None:
    """Sets the sizes of the send and receive buffers.

    It must be called before the socket connects or listens: a receive buffer
    that becomes smaller than what the other side was offered stalls it.

    Args:
        sock: A socket.
        size_bytes: Size of each; Linux doubles it for its own records.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def list_unsent(
    transports: Iterable[asyncio.Transport | None],
) -> list[asyncio.Transport]:
    """Returns the connections with data that the kernel has not taken.

    Args:
        transports: Connections; None for those that have ended.
    """
    return [
        transport
        for transport in transports
        if transport is not None and transport.get_write_buffer_size()
    ]


def hand_over_unsent(unsent: list[asyncio.Transport], total_bytes: int) -> None:
    """Lets the kernel take what the other sides have not read yet.

    It goes on sending after the process has ended. Linux limits each buffer to
    that of the system (`net.core.wmem_max`). Buffers that are larger than an
    equal share keep their sizes, and the others share what is left.

    Args:
        unsent: Connections with unsent data.
        total_bytes: Memory for all connections.
    """
    sizes = sorted(
        ((_read_send_buffer(transport), transport) for transport in unsent),
        key=lambda pair: pair[0],
        reverse=True,
    )
    for index, (present_bytes, transport) in enumerate(sizes):
        size_bytes = min(
            total_bytes // (len(sizes) - index), MAX_HANDOVER_BYTES
        )
        total_bytes -= max(size_bytes, present_bytes)
        if size_bytes <= present_bytes:
            continue
        # The other side may have reset it; the event loop will notice.
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes
            )


def _read_send_buffer(transport: asyncio.Transport) -> int:
    """Returns the size that was set for a send buffer; 0 if it is closed."""
    try:
        doubled_bytes: int = transport.get_extra_info("socket").getsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF
        )
    except OSError:
        return 0
    return doubled_bytes // 2


def make_listening_socket(
    host: str, port: int, size_bytes: int
) -> socket.socket:
    """Returns a bound socket whose connections have limited buffers.

    Args:
        host: Address to bind to.
        port: Port to bind to.
        size_bytes: Size of each buffer of a connection.

    Raises:
        OSError: The address cannot be bound.
    """
    ((family, kind, protocol, _, address), *_) = socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    sock = socket.socket(family, kind, protocol)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_buffers(sock, size_bytes)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
