"""Tests for the close of callers' connections at a stop."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from poplarwick_core import clock
from poplarwick_node import _web

CALLERS = 20
CLOSES_S = 1.0
WAIT_S = 20.0


class Site:
    """A server whose requests to `/wait` last until `release` is set."""

    def __init__(self, stack):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        host, port = self.address
        self.server = _web.WebServer(f"{host}:{port}", None)
        self.release = asyncio.Event()
        self.served = []
        self._stack = stack

    async def start(self):
        application = web.Application()
        application.router.add_get("/{path}", self.handle)
        await self.server.start(application, self._stack)

    async def handle(self, request):
        self.served.append(request.path)
        if request.path == "/wait":
            await self.release.wait()
        return web.Response(text="ok")

    async def connect(self):
        return await asyncio.open_connection(*self.address)


def run(scenario):
    """Runs a scenario with a site."""

    async def run_with_site():
        async with (
            asyncio.timeout(WAIT_S),
            contextlib.AsyncExitStack() as stack,
        ):
            site = Site(stack)
            await site.start()
            await scenario(site)

    asyncio.run(run_with_site())


def send(writer, path):
    writer.write(f"GET /{path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())


async def answer(reader):
    """Reads an answer and returns its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    await reader.readexactly(int(length))
    return head


# Guards against requests whose data aiohttp discards while it closes.
def test_request_that_crosses_the_close_ends_at_once_and_is_logged(lines):
    async def scenario(site):
        callers = [await site.connect() for _ in range(CALLERS)]
        for reader, writer in callers:
            send(writer, "first")
            await answer(reader)
        await site.server.stop_listening()
        closing = asyncio.create_task(
            site.server.close_connections(clock.now_s() + CLOSES_S)
        )
        await asyncio.sleep(0)
        for _, writer in callers:
            send(writer, "late")
        for reader, writer in callers:
            assert await reader.read() == b""
            writer.close()
        await closing
        assert site.served == ["/first"] * CALLERS

    run(scenario)
    closed = [line for line in lines if "reason=connection_closed" in line]
    assert len(closed) == CALLERS


# Guards against requests that are reset with the socket at which their
# connections wait to be accepted.
def test_request_on_a_connection_that_waits_to_be_accepted_is_answered():
    async def scenario(site):
        # The event loop does not run until all have connected and sent.
        sockets = [
            socket.create_connection(site.address) for _ in range(CALLERS)
        ]
        for connected in sockets:
            connected.sendall(b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
        await site.server.stop_listening()
        for connected in sockets:
            connected.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=connected)
            assert (await answer(reader)).startswith(b"HTTP/1.1 200")
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await site.connect()

    run(scenario)


def test_connection_is_closed_after_its_answer_once_the_instance_leaves():
    async def scenario(site):
        reader, writer = await site.connect()
        send(writer, "first")
        assert b"Connection: close" not in await answer(reader)
        site.server.is_leaving = True
        send(writer, "last")
        assert b"Connection: close" in await answer(reader)
        assert await reader.read() == b""
        writer.close()
        assert await site.server.wait_until_idle(WAIT_S)

    run(scenario)


def test_request_that_a_stop_cuts_is_logged(lines):
    async def scenario(site):
        reader, writer = await site.connect()
        send(writer, "wait")
        while not site.served:
            await asyncio.sleep(0.001)
        assert not await site.server.wait_until_idle(0.0)
        await site.server.close_connections(clock.now_s())
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()

    run(scenario)
    assert any("event=connection_cut" in line for line in lines)
    assert any("event=request_abandoned" in line for line in lines)
