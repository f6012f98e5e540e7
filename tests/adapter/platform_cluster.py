"""A store, replicas and instances on the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import itertools
import json
import os
import pathlib

import aiohttp
import network_cuts

from poplarwick_adapter import settings
from poplarwick_node import platform_instance
from poplarwick_standins import platform_documents
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

HOST = platform_documents.HOST
KEY = platform_documents.API_KEY
make_route = platform_documents.make_route
make_configuration = platform_documents.make_configuration
make_settings = platform_documents.make_settings
TIMEOUT_S = 15

PORTS = (8_227, 8_220, 7_340, 7_341)
"""Ports of an instance, as on the platform."""

FIRST_HOST = 20
HOSTS = 230
_INSTANCE_NUMBERS = itertools.count()


class Instance:
    """One instance, run in this process."""

    def __init__(
        self, name, store_address, folder, contracts=(), cores=0.0, **bounds
    ):
        ip = choose_address()
        self.name = name
        self.caller_address = f"{ip}:{PORTS[0]}"
        self.readiness_address = f"{ip}:{PORTS[1]}"
        path = pathlib.Path(folder) / f"{name}.json"
        document = make_settings(name, PORTS, store_address, ip=ip, **bounds)
        path.write_text(json.dumps({**document, "contracts": [*contracts]}))
        self._settings_path = path
        self._cores = cores
        self._start()

    def _start(self):
        self.node = platform_instance.PlatformInstance(
            settings.read_settings(self._settings_path)
        )
        self.node.deployment.cores = self._cores
        self.stop = asyncio.Event()
        context = contextvars.copy_context()
        context.run(network_cuts.CURRENT_INSTANCE.set, self.name)
        self.task = asyncio.create_task(
            self.node.run(self.stop), context=context
        )

    def restart(self):
        """Starts an instance that was killed, at its addresses."""
        self._start()
        return self

    async def kill(self):
        """Stops the instance without a shutdown."""
        self.task.cancel()
        await asyncio.wait((self.task,))


class PlatformCluster:
    """The parts of the cluster and a caller's HTTP session."""

    def __init__(self, store, session):
        self.store = store
        self.session = session
        self.replicas = []
        self.instances = []
        self._numbers = itertools.count(1)

    def call(self, path, instance=0, *, tokens=None, **options):
        """Sends a request as a caller."""
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
            f"http://{self.instances[instance].caller_address}{path}",
            headers={k: v for k, v in headers.items() if v is not None},
            **options,
        )

    async def wait_ready(self):
        """Waits until all instances are ready."""
        for instance in self.instances:
            async with asyncio.timeout(TIMEOUT_S):
                while not await self.is_ready(instance):
                    await asyncio.sleep(0.02)

    async def is_ready(self, instance):
        """Returns the readiness that the load balancer sees."""
        url = f"http://{instance.readiness_address}/v1/ready"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientConnectionError:
            return False


@contextlib.asynccontextmanager
async def run_cluster(folder, *, pool=2, orders=1, instances=1, **bounds):
    """Runs a cluster until the context is exited."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(platform_store.Store())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        cluster = PlatformCluster(store, session)
        await store.put("op/config", make_configuration())
        peers = {}
        for number in range(pool + orders):
            service = "pool" if number < pool else "orders"
            replica = await stack.enter_async_context(
                platform_replica.Replica(f"i-{number}", service, peers=peers)
            )
            peers[replica.address] = replica
            cluster.replicas.append(replica)
            await store.put(f"servers/{replica.name}", replica.make_entry())
        for number in range(instances):
            instance = Instance(
                f"front-{number}", store.address, folder, **bounds
            )
            cluster.instances.append(instance)
            stack.push_async_callback(instance.kill)
        await cluster.wait_ready()
        yield cluster


async def wait_until(condition, timeout_s=TIMEOUT_S):
    """Waits until a condition is true."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def choose_address():
    """Returns a loopback address that no other instance or process uses.

    The soak's processes have addresses of their own below these.
    """
    number = next(_INSTANCE_NUMBERS)
    high, low = divmod(os.getpid(), 250)
    return f"127.{16 + high % 200}.{low}.{FIRST_HOST + number % HOSTS}"
