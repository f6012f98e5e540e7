"""Listening sockets that were opened before the rest of the program loaded.

Load pattern: all instances start at once after a loss of power, and callers
return before the first of them has loaded its modules. A refused connection
uses up one of a caller's few tries within milliseconds; one that waits in the
queue of a listening socket is answered once the instance serves.

This module imports the standard library only, as the launcher loads it first.
"""

from __future__ import annotations

import socket

BACKLOG = 1024
"""Connections that wait until they are accepted; the kernel may hold fewer."""

_opened: dict[str, socket.socket] = {}


def open_early(address: str) -> bool:
    """Listens on an address until its server takes the socket over.

    Args:
        address: Host and port.

    Returns:
        Whether the socket listens. If not, the server reports the problem when
        it opens the address itself.
    """
    host, _, port = address.rpartition(":")
    try:
        opened = socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, OverflowError, ValueError):
        return False
    opened.setblocking(False)
    _opened[address] = opened
    return True


def take(address: str) -> socket.socket | None:
    """Returns the socket that listens on an address, None if there is none.

    The caller owns the socket from now on.
    """
    return _opened.pop(address, None)
