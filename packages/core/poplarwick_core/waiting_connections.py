"""Connections that wait to be accepted at a server that stops listening.

Load pattern: an instance is stopped while callers connect, on a machine on
which its event loop runs late. A listening socket that is closed resets the
connections that its process has not accepted, and those that it has accepted
but not served yet, although their callers may have sent requests.
"""

from __future__ import annotations

import asyncio
import select

QUIET_STEPS = 6
"""Steps of the event loop without a connection that waits: in them, the last
one that was accepted is attached to its server and first read from."""

ACCEPT_TIME_MAX_S = 0.25
"""Time after which no further connections are accepted; callers who go on
connecting must not delay a stop."""

ACCEPT_STEPS_MIN = 2
"""Steps after which what waited at the beginning has been accepted, even if one
of them takes longer than that."""


async def accept_all(server: asyncio.Server) -> None:
    """Lets the event loop accept the connections that wait at a server.

    Close the server in the same step of the event loop in which this returns.
    """
    poller = select.poll()
    for listening in server.sockets:
        poller.register(listening, select.POLLIN)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + ACCEPT_TIME_MAX_S
    steps = quiet_steps = 0
    is_accepting = True
    while quiet_steps < QUIET_STEPS:
        await asyncio.sleep(0)
        steps += 1
        if (
            is_accepting
            and steps >= ACCEPT_STEPS_MIN
            and loop.time() >= until_s
        ):
            # What was accepted last still has its quiet steps.
            is_accepting = False
            for listening in server.sockets:
                loop.remove_reader(listening)
        is_waiting = is_accepting and bool(poller.poll(0))
        quiet_steps = 0 if is_waiting else quiet_steps + 1
