"""Time limits while the event loop is on time, and while it stands still."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from poplarwick_core import time_limit

LIMIT_S = 0.1


async def receive(sock, stand_still):
    """Receives a byte; the event loop stands still at first."""
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    loop.call_soon(stand_still)
    async with time_limit.limit_time(LIMIT_S):
        return await loop.sock_recv(sock, 1)


# Guards against replies that are discarded as the own loop was late.
def test_data_that_came_while_the_loop_stood_still_is_received():
    own, other = socket.socketpair()

    def stand_still():
        time.sleep(2 * LIMIT_S)
        other.sendall(b"x")

    with own, other:
        assert asyncio.run(receive(own, stand_still)) == b"x"


@pytest.mark.parametrize("standstill_s", [0.0, 2 * LIMIT_S])
def test_block_without_an_end_is_ended(standstill_s):
    own, other = socket.socketpair()
    with own, other, pytest.raises(TimeoutError):
        asyncio.run(receive(own, lambda: time.sleep(standstill_s)))


def test_limit_ends_with_its_block():
    async def run():
        async with time_limit.limit_time(0.01):
            pass
        await asyncio.sleep(0.05)
        return True

    assert asyncio.run(run())
