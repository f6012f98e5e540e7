"""Connections at a server that stops listening."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from poplarwick_core import waiting_connections

CALLERS = 20
STANDSTILL_S = 2 * waiting_connections.ACCEPT_TIME_MAX_S
WAIT_S = 20.0


async def greet(reader, writer):
    writer.write(b"hello\n")
    writer.close()


def call_in_step(step, function, *arguments):
    """Calls a function in a later step of the event loop."""
    loop = asyncio.get_running_loop()
    if step:
        loop.call_soon(call_in_step, step - 1, function, *arguments)
    else:
        function(*arguments)


# Guards against connections that are reset, or that are neither served nor
# closed, as the process stands still while they are accepted.
@pytest.mark.parametrize("step", range(waiting_connections.QUIET_STEPS))
def test_connections_are_served_whatever_step_takes_long(step):
    async def run():
        server = await asyncio.start_server(greet, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        callers = [socket.create_connection(address) for _ in range(CALLERS)]
        call_in_step(step, time.sleep, STANDSTILL_S)
        await waiting_connections.accept_all(server)
        server.close()
        async with asyncio.timeout(WAIT_S):
            for caller in callers:
                reader, writer = await asyncio.open_connection(sock=caller)
                assert await reader.readline() == b"hello\n"
                writer.close()

    asyncio.run(run())


def test_callers_who_go_on_connecting_do_not_delay_the_end():
    async def run():
        server = await asyncio.start_server(greet, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()

        async def connect():
            while True:
                with socket.create_connection(address):
                    await asyncio.sleep(0)

        connecting = asyncio.create_task(connect())
        async with asyncio.timeout(WAIT_S):
            await waiting_connections.accept_all(server)
        server.close()
        connecting.cancel()
        await asyncio.wait((connecting,))

    asyncio.run(run())
