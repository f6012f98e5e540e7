"""A graceful stop under load: nothing that was taken is cut."""

from __future__ import annotations

import asyncio

import world as worlds

CLIENTS = 12
CROSSING_S = 0.2
"""A request sent this shortly before the connection's end may cross it."""


class Client:
    """Sends requests on one kept connection until it is closed."""

    def __init__(self, world, number):
        self.lost = []
        self.answered = 0
        self._world = world
        self._number = number

    async def run(self):
        """Sends requests on new connections until none is accepted."""
        host, port = self._world.instances[0].front.split(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            await self._use(reader, writer)
            writer.close()

    async def _use(self, reader, writer):
        loop = asyncio.get_running_loop()
        for count in range(1_000):
            await asyncio.sleep(0.013 * self._number % 0.05)
            tokens = "Token-Counts: 5000,170\r\n"
            request = (
                f"POST /label/ HTTP/1.1\r\nHost: {worlds.HOST}\r\n"
                f"Request-Id: c{self._number}-{count}\r\n{tokens}"
                f"X-Api-Key: {worlds.KEY}\r\nContent-Length: 0\r\n\r\n"
            )
            sent_s = loop.time()
            try:
                writer.write(request.encode())
                head = await reader.readuntil(b"\r\n\r\n")
                await self._read_body(reader, head)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                if loop.time() - sent_s > CROSSING_S:
                    self.lost.append((loop.time() - sent_s, repr(error)))
                return
            self.answered += 1
            if b"connection: close" in head.lower():
                return

    async def _read_body(self, reader, head):
        if b"chunked" in head.lower():
            await reader.readuntil(b"0\r\n\r\n")
            return
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))


def test_a_stop_under_load_loses_no_request_that_was_taken(tmp_path):
    async def scenario():
        async with worlds.running(tmp_path, pool=4) as world:
            for replica in world.replicas:
                replica.events, replica.event_s = 12, 0.03
            clients = [Client(world, n) for n in range(1, CLIENTS + 1)]
            running = [asyncio.create_task(c.run()) for c in clients]
            await asyncio.sleep(0.7)
            assert await world.is_ready(world.instances[0])
            world.instances[0].stop.set()
            await asyncio.sleep(0.1)
            assert not await world.is_ready(world.instances[0])
            async with asyncio.timeout(worlds.GENEROUS_S):
                await world.instances[0].task
                await asyncio.gather(*running)
            assert [c.lost for c in clients if c.lost] == []
            assert all(c.answered for c in clients)

    asyncio.run(scenario())


def test_a_stop_ends_while_the_store_is_silent(tmp_path):
    async def scenario():
        async with worlds.running(tmp_path, grace_s=4) as world:
            world.store.is_silent = True
            began_s = asyncio.get_running_loop().time()
            world.instances[0].stop.set()
            await world.instances[0].task
            assert asyncio.get_running_loop().time() - began_s < 4

    asyncio.run(scenario())


def test_a_connection_made_as_listening_ends_is_still_answered(tmp_path):
    async def scenario():
        async with worlds.running(tmp_path) as world:
            host, port = world.instances[0].front.split(":")
            opened = [
                await asyncio.open_connection(host, int(port)) for _ in range(8)
            ]
            pending = asyncio.create_task(
                asyncio.open_connection(host, int(port))
            )
            front = world.instances[0].part.front
            known = set(front.connections)
            while set(front.connections) == known:
                await asyncio.sleep(0)
            front.stop_listening()
            opened.append(await pending)
            for reader, writer in opened:
                writer.write(
                    (
                        f"GET /stock/ HTTP/1.1\r\nHost: {worlds.HOST}\r\n"
                        f"X-Api-Key: {worlds.KEY}\r\n\r\n"
                    ).encode()
                )
                async with asyncio.timeout(2):
                    assert b" 503 " in await reader.readline()

    asyncio.run(scenario())
