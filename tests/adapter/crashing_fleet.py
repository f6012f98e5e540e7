"""Endpoints that crash on some requests and are replaced."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import aiohttp
import platform_cluster

from poplarwick_standins import platform_replica

RESTART_S = 0.5
"""Time after which another engine starts in place of one that crashed."""

ENTRY_TTL_S = 3.6
"""Time after which the entry of a crashed engine lapses."""


class CrashingFleet:
    """Endpoints that some requests crash, and callers that send them."""

    def __init__(
        self,
        cluster,
        crashing_parts=frozenset(),
        *,
        crashing_bodies=frozenset(),
        service="pool",
    ):
        self.cluster = cluster
        self.crashing_parts = crashing_parts
        self.crashing_bodies = crashing_bodies
        self.engines = [r for r in cluster.replicas if r.service == service]
        self.crashes = 0
        self._service = service
        self._numbers = itertools.count(1)
        self._peers = {r.address: r for r in cluster.replicas}
        for engine in self.engines:
            self._make_crashable(engine)

    def _make_crashable(self, engine):
        engine.crashing_parts = self.crashing_parts
        engine.crashing_bodies = self.crashing_bodies

    async def restart_crashed(self):
        """Starts an engine for each one that has crashed, until cancelled."""
        running = list(self.engines)
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.TaskGroup() as restarts:
                while True:
                    await asyncio.sleep(0.01)
                    for engine in [e for e in running if not e.is_open]:
                        running.remove(engine)
                        self.crashes += 1
                        restarts.create_task(
                            self._restart(engine, stack, running)
                        )

    async def _restart(self, engine, stack, running):
        await asyncio.sleep(RESTART_S)
        started = await stack.enter_async_context(
            platform_replica.Replica(
                f"n-{next(self._numbers)}", self._service, peers=self._peers
            )
        )
        self._make_crashable(started)
        self._peers[started.address] = started
        self.engines.append(started)
        running.append(started)
        store = self.cluster.store
        await store.put(f"servers/{started.name}", started.make_entry())
        await asyncio.sleep(ENTRY_TTL_S - RESTART_S)
        await store.remove(f"servers/{engine.name}")

    async def write_entries(self):
        """Writes the entries of the running engines, as they do regularly."""
        for engine in self.engines:
            key = f"servers/{engine.name}"
            if engine.is_open:
                await self.cluster.store.put(key, engine.make_entry())
            elif key in self.cluster.store.items:
                await self.cluster.store.remove(key)

    def count_arrivals(self):
        """Returns how often requests that crash engines have reached them."""
        return sum(
            arrival.request_id.startswith("bad")
            for engine in self.engines
            for arrival in engine.arrivals
        )

    async def call(self, number, parts, name, body=None):
        """Sends a request with a prompt of shared parts; returns its status."""
        prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        return await self.send(
            number,
            f"{name}-{number}",
            tokens=5_000,
            headers={"Prompt-Prefix": prefix},
            data=body or f"{name} {number}".encode(),
        )

    async def send(
        self, number, request_id, *, path="/label/x", headers=None, **options
    ):
        """Sends a request to one of the instances; returns its status."""
        try:
            async with self.cluster.call(
                path,
                number % len(self.cluster.instances),
                headers={"Request-Id": request_id, **(headers or {})},
                **options,
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return None


async def wait_for_placer(cluster):
    await platform_cluster.wait_until(
        lambda: all(
            i.node.placement_client.connection for i in cluster.instances
        )
    )
