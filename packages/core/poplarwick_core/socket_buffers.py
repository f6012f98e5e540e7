"""Bounds the memory that the kernel uses for a TCP connection.

Linux lets the buffers of a connection grow to several megabytes while the other
side does not read. A size that is set stays fixed.
"""

from __future__ import annotations

import asyncio
import socket


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


def extend_send_buffer(
    transport: asyncio.BaseTransport, size_bytes: int
) -> None:
    """Sets the size of a connection's send buffer.

    What it holds is sent on after the process has ended.

    Args:
        transport: A connection.
        size_bytes: Size of the buffer; Linux doubles it for its own records and
            limits it to that of the system (`net.core.wmem_max`).

    Raises:
        OSError: The connection is closed.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes
    )


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
