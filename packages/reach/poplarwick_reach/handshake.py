"""How an instance asks another one to relay a connection.

The first line names the endpoint and the request. One byte answers it; after
`CONNECTED` the connection carries the bytes of the endpoint, in frames.
"""

from __future__ import annotations

import asyncio
import enum
import socket

from poplarwick_core import socket_buffers
from poplarwick_core import time_limit

ENCODING = "ascii"
GREETING = "poplarwick-relay/1"
MAX_LINE_BYTES = 256
NO_LABEL = "-"

TIMEOUT_S = 0.6
"""Time limit for a connection through a relay, that to the endpoint included;
as long as two round trips and a connection attempt."""

ENDPOINT_TIMEOUT_S = 0.3
"""Time limit for the relay's connection to the endpoint."""


BUFFER_BYTES = 32_768
"""Size of each socket buffer of a relayed connection; the bandwidth-delay
product of 100 Mbit/s at 2 ms is 25 kB."""


class Reply(enum.Enum):
    """Answer of an instance that is asked to relay a connection.

    Attributes:
        CONNECTED: The endpoint is connected.
        UNREACHABLE: The endpoint does not accept connections of the relay.
        CUT_OFF: The relay is cut off from all endpoints itself.
        FULL: It relays as many connections as it can.
        LEAVING: It is stopping.
        REFUSED: The caller is no known instance or the address no endpoint.
    """

    CONNECTED = b"+"
    UNREACHABLE = b"u"
    CUT_OFF = b"c"
    FULL = b"f"
    LEAVING = b"l"
    REFUSED = b"r"


class HandshakeError(Exception):
    """The first line of a connection cannot be read."""


class DeclinedError(Exception):
    """An instance does not relay a connection.

    Attributes:
        reply: Its answer; None if it did not answer.
    """

    def __init__(self, reply: Reply | None, reason: str) -> None:
        super().__init__(reason)
        self.reply = reply


def encode_hello(address: str, label: str) -> bytes:
    """Returns the first line.

    Args:
        address: Host and port of the endpoint.
        label: Id of the request, for logs; empty if there is none.
    """
    word = "".join(c for c in label if c.isascii() and c.isprintable())
    word = word.replace(" ", "")[: MAX_LINE_BYTES // 2] or NO_LABEL
    return f"{GREETING} {address} {word}\n".encode(ENCODING)


def decode_hello(line: bytes) -> tuple[str, str | None]:
    """Returns the address of the endpoint and the label of the first line.

    Raises:
        HandshakeError: The line is not one of this protocol.
    """
    words = line.decode(ENCODING, errors="replace").split(" ")
    if len(words) != 3 or words[0] != GREETING:
        raise HandshakeError(f"unknown first line {line[:40]!r}")
    return words[1], None if words[2] == NO_LABEL else words[2]


async def request_relay(
    relay: tuple[str, int], source_host: str, address: str, label: str
) -> socket.socket:
    """Returns a socket that is connected to an endpoint through a relay.

    Args:
        relay: Host and port of the relay.
        source_host: Own host, by which the relay knows this instance.
        address: Host and port of the endpoint.
        label: Id of the request, for logs.

    Raises:
        DeclinedError: The relay does not relay the connection.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        async with time_limit.limit_time(TIMEOUT_S):
            reply = await _exchange(sock, relay, source_host, address, label)
    except (OSError, TimeoutError, ValueError) as error:
        sock.close()
        raise DeclinedError(None, repr(error)) from error
    except BaseException:
        sock.close()
        raise
    if reply is not Reply.CONNECTED:
        sock.close()
        raise DeclinedError(reply, reply.name.lower())
    return sock


async def _exchange(
    sock: socket.socket,
    relay: tuple[str, int],
    source_host: str,
    address: str,
    label: str,
) -> Reply:
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    socket_buffers.limit_buffers(sock, BUFFER_BYTES)
    sock.bind((source_host, 0))
    await loop.sock_connect(sock, relay)
    await loop.sock_sendall(sock, encode_hello(address, label))
    return Reply(await loop.sock_recv(sock, 1))
