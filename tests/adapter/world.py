"""A store, replicas and instances of the system on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import pathlib
import socket

import aiohttp

from poplarwick_adapter import settings
from poplarwick_node import platform_instance
from poplarwick_standins import platform_documents
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

HOST = platform_documents.HOST
KEY = platform_documents.KEY
make_route = platform_documents.make_route
make_configuration = platform_documents.make_configuration
make_settings = platform_documents.make_settings
GENEROUS_S = 15


class Instance:
    """One instance of the system, in this process."""

    def __init__(self, name, store_address, folder, **bounds):
        ports = [_find_port() for _ in range(4)]
        self.front = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(
            json.dumps(make_settings(name, ports, store_address, **bounds))
        )
        self.part = platform_instance.PlatformInstance(
            settings.read_settings(path)
        )
        self.stop = asyncio.Event()
        self.task = asyncio.create_task(self.part.run(self.stop))

    async def end(self):
        """Ends the instance at once."""
        self.task.cancel()
        await asyncio.wait((self.task,))


class World:
    """Everything that a test needs, and a caller's session."""

    def __init__(self, store, session):
        self.store = store
        self.session = session
        self.replicas = []
        self.instances = []
        self._numbers = itertools.count(1)

    def call(self, path, instance=0, *, tokens=None, **options):
        """Sends a caller's request."""
        headers = {
            "Host": HOST,
            "Request-Id": f"r{next(self._numbers)}",
            "Deadline-Ms": "5000",
            "X-Api-Key": KEY,
            **options.pop("headers", {}),
        }
        if tokens is not None:
            headers["Token-Counts"] = f"{tokens},170"
            headers["Model"] = "m"
        return self.session.request(
            options.pop("method", "POST"),
            f"http://{self.instances[instance].front}{path}",
            headers={k: v for k, v in headers.items() if v is not None},
            **options,
        )

    async def wait_ready(self):
        """Waits until all instances are ready."""
        for instance in self.instances:
            async with asyncio.timeout(GENEROUS_S):
                while not await self.is_ready(instance):
                    await asyncio.sleep(0.02)

    async def is_ready(self, instance):
        """Tells what the balancer sees."""
        url = f"http://{instance.ready}/v1/ready"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientConnectionError:
            return False


@contextlib.asynccontextmanager
async def running(folder, *, pool=2, orders=1, instances=1, **bounds):
    """Runs a world."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(platform_store.Store())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        world = World(store, session)
        await store.put("op/config", make_configuration())
        peers = {}
        for number in range(pool + orders):
            service = "pool" if number < pool else "orders"
            replica = await stack.enter_async_context(
                platform_replica.Replica(f"i-{number}", service, peers=peers)
            )
            peers[replica.address] = replica
            world.replicas.append(replica)
            await store.put(f"servers/{replica.name}", replica.make_entry())
        for number in range(instances):
            instance = Instance(
                f"front-{number}", store.address, folder, **bounds
            )
            world.instances.append(instance)
            stack.push_async_callback(instance.end)
        await world.wait_ready()
        yield world


async def eventually(condition, timeout_s=GENEROUS_S):
    """Waits until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def _find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
