"""Graceful stop: no accepted request is cut off."""

from __future__ import annotations

import asyncio

import aiohttp
import platform_cluster

CLIENTS = 12
CLOSE_RACE_S = 0.2
"""A request sent this shortly before the connection is closed may be lost."""


class Client:
    """Sends requests on keep-alive connections until none is accepted."""

    def __init__(self, cluster, number):
        self.lost = []
        self.answered = 0
        self._cluster = cluster
        self._number = number

    async def run(self):
        """Opens a new connection whenever the last one was closed."""
        host, port = self._cluster.instances[0].caller_address.split(":")
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
                f"POST /label/ HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
                f"Request-Id: c{self._number}-{count}\r\n{tokens}"
                f"X-Api-Key: {platform_cluster.KEY}\r\n"
                "Content-Length: 0\r\n\r\n"
            )
            sent_at_s = loop.time()
            try:
                writer.write(request.encode())
                head = await reader.readuntil(b"\r\n\r\n")
                await self._read_body(reader, head)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                if loop.time() - sent_at_s > CLOSE_RACE_S:
                    self.lost.append((loop.time() - sent_at_s, repr(error)))
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


def test_stop_under_load_loses_no_accepted_request(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path, pool=4) as cluster:
            for replica in cluster.replicas:
                replica.event_count, replica.event_interval_s = 12, 0.03
            clients = [Client(cluster, n) for n in range(1, CLIENTS + 1)]
            running = [asyncio.create_task(c.run()) for c in clients]
            await asyncio.sleep(0.7)
            assert await cluster.is_ready(cluster.instances[0])
            cluster.instances[0].stop.set()
            await asyncio.sleep(0.1)
            assert not await cluster.is_ready(cluster.instances[0])
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                await cluster.instances[0].task
                await asyncio.gather(*running)
            assert [c.lost for c in clients if c.lost] == []
            assert all(c.answered for c in clients)

    asyncio.run(scenario())


def test_stop_completes_while_store_is_unresponsive(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path, grace_s=4) as cluster:
            cluster.store.is_unresponsive = True
            started_at_s = asyncio.get_running_loop().time()
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            assert asyncio.get_running_loop().time() - started_at_s < 4

    asyncio.run(scenario())


def test_connection_accepted_as_listening_stops_gets_a_response(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            host, port = cluster.instances[0].caller_address.split(":")
            opened = [
                await asyncio.open_connection(host, int(port)) for _ in range(8)
            ]
            pending = asyncio.create_task(
                asyncio.open_connection(host, int(port))
            )
            frontend = cluster.instances[0].node.frontend
            known = set(frontend.connections)
            while set(frontend.connections) == known:
                await asyncio.sleep(0)
            frontend.stop_listening()
            opened.append(await pending)
            for reader, writer in opened:
                writer.write(
                    (
                        "GET /stock/ HTTP/1.1\r\n"
                        f"Host: {platform_cluster.HOST}\r\n"
                        f"X-Api-Key: {platform_cluster.KEY}\r\n\r\n"
                    ).encode()
                )
                async with asyncio.timeout(2):
                    assert b" 503 " in await reader.readline()

    asyncio.run(scenario())


GRACE_S = 4.0
DEADLINE_S = 15.0
WHOLE_ENGINE_TOKENS = 200_000
"""A prompt beside which no second one fits into an engine's memory."""


async def _allow_long_requests(cluster):
    """Sets a route whose requests may outlast the grace period."""
    await cluster.store.put(
        "op/config",
        platform_cluster.make_configuration(
            2,
            [
                platform_cluster.make_route(
                    "label",
                    "streaming",
                    "pool",
                    timeout_ms=1_000 * DEADLINE_S,
                    target_latency_ms=5_000,
                )
            ],
        ),
    )
    for instance in cluster.instances:
        await platform_cluster.wait_until(
            lambda node=instance.node: node.catalogue.routing.version == 2
        )


async def _send(cluster, instance=0, tokens=WHOLE_ENGINE_TOKENS):
    """Returns how a request ends: its status, or how it was cut off."""
    deadline = {"Deadline-Ms": f"{1_000 * DEADLINE_S:.0f}"}
    try:
        async with cluster.call(
            "/label/", instance, tokens=tokens, headers=deadline
        ) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After")
    except aiohttp.ClientError as error:
        return repr(error), None


async def _wait_in_queue(cluster, count):
    """Starts requests that wait for the only engine, and returns them."""
    (engine, *_) = cluster.replicas
    engine.event_count, engine.event_interval_s = 400, 0.05
    calls = [asyncio.create_task(_send(cluster))]
    await platform_cluster.wait_until(lambda: engine.executions)
    calls += [asyncio.create_task(_send(cluster)) for _ in range(count)]
    frontend = cluster.instances[0].node.frontend
    await platform_cluster.wait_until(
        lambda: frontend.in_progress == len(calls)
    )
    return calls[1:]


# Guards against waiting requests that a stopping instance drops (LOST).
def test_stop_refuses_requests_that_wait_for_an_engine(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=1, grace_s=GRACE_S
        ) as cluster:
            await _allow_long_requests(cluster)
            waiting = await _wait_in_queue(cluster, 3)
            cluster.instances[0].stop.set()
            await asyncio.sleep(0.5)
            waiting.append(asyncio.create_task(_send(cluster)))
            await cluster.instances[0].task
            ends = await asyncio.gather(*waiting)
            assert [status for status, _ in ends] == [503] * 4
            assert all(float(after_s) < 1 for _, after_s in ends)
            assert len(cluster.replicas[0].arrivals) == 1

    asyncio.run(scenario())


# Guards against memory of engines that a stop leaves reserved (LEAK).
def test_stop_releases_the_memory_of_requests_that_it_cuts_off(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=3, grace_s=GRACE_S, free_ms=20_000
        ) as cluster:
            await _allow_long_requests(cluster)
            call = asyncio.create_task(_send(cluster, tokens=600_000))
            await platform_cluster.wait_until(
                lambda: any(r.reservations for r in cluster.replicas)
            )
            for replica in cluster.replicas:
                replica.event_count, replica.event_interval_s = 400, 0.05
                replica.command_delay_s = 0.05
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            await call
            assert [r.reservations for r in cluster.replicas] == [{}] * 4

    asyncio.run(scenario())


# Guards against requests of others that are lost in a hand-over of the placer.
def test_requests_that_wait_at_a_stopping_placer_are_served(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=1, instances=2, grace_s=GRACE_S
        ) as cluster:
            await _allow_long_requests(cluster)
            nodes = [instance.node for instance in cluster.instances]
            await platform_cluster.wait_until(
                lambda: (
                    any(node.is_placer for node in nodes)
                    and all(node.placement_client.connection for node in nodes)
                )
            )
            placer, other = (0, 1) if nodes[0].is_placer else (1, 0)
            (engine, *_) = cluster.replicas
            engine.event_count, engine.event_interval_s = 60, 0.05
            calls = [asyncio.create_task(_send(cluster, other))]
            await platform_cluster.wait_until(lambda: engine.executions)
            calls.append(asyncio.create_task(_send(cluster, other)))
            frontend = cluster.instances[other].node.frontend
            await platform_cluster.wait_until(lambda: frontend.in_progress == 2)
            cluster.instances[placer].stop.set()
            await cluster.instances[placer].task
            ends = await asyncio.gather(*calls)
            assert [status for status, _ in ends] == [200, 200]

    asyncio.run(scenario())
