"""Tells a connection that is not accepted from a process that runs late.

Load pattern: the event loop stands still for longer than the time limit of a
connection attempt. The kernel makes the connection meanwhile, but the time
limit is due in the same turn of the loop and wins.
"""

from __future__ import annotations

import asyncio
import socket


class AttemptSocket(socket.socket):
    """Socket that knows, also once it is closed, whether it was connected.

    For attempts that a library cancels at their time limit.
    """

    _was_connected = False

    @property
    def was_connected(self) -> bool:
        """Whether the kernel has connected it."""
        return self._was_connected or is_connected(self)

    def close(self) -> None:
        """Closes the socket."""
        self._was_connected = self.was_connected
        super().close()


def is_connected(sock: socket.socket) -> bool:
    """Returns whether the kernel has connected a socket."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def connect(
    sock: socket.socket,
    source_host: str,
    address: tuple[str, int],
    timeout_s: float | None = None,
) -> None:
    """Connects a socket, or closes it.

    Args:
        sock: An unbound socket.
        source_host: Own address, which the connection is made from.
        address: Host and port to connect to.
        timeout_s: Time limit; None for that of the system.

    Raises:
        OSError: The connection could not be made.
        TimeoutError: It was not made within the time limit.
    """
    try:
        sock.setblocking(False)
        sock.bind((source_host, 0))
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, address)
        except TimeoutError:
            if not is_connected(sock):
                raise
    except BaseException:
        sock.close()
        raise
