"""The system of a soak: real instances before stand-ins of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import time
import types
from collections.abc import Coroutine
from collections.abc import Mapping
from typing import Any
from typing import Self

import aiohttp

from poplarwick_bench import process
from poplarwick_bench import proxy
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import records
from poplarwick_standins import platform_calls
from poplarwick_standins import platform_documents as documents
from poplarwick_standins import platform_replica
from poplarwick_standins import platform_store

DOMAINS = ("a", "b", "c")
"""Failure domains; endpoints and instances take turns."""

POOL = "pool"
PLAIN = "orders"

PORTS = (8_227, 8_220, 7_340, 7_341)
"""Ports of an instance, as the platform gives them: for callers, the readiness
check and other instances. Each instance has a loopback address of its own."""

HEARTBEAT_S = 1.2
"""Period at which endpoints write their entries (the platform's settings)."""

LAPSE_S = 3 * HEARTBEAT_S
"""Time after which the entry of a silent endpoint is removed."""

READY_TIMEOUT_S = 30.0
"""Longest time until all instances are ready at the start."""

RESTART_S = 0.5
"""Time until a process that ended is started again."""

SAMPLE_S = 0.2
"""Period at which reservations and processes are looked at."""

COLD_S = 3.0
"""Time that an endpoint is cold after its start."""


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance and its way to the store.

    Attributes:
        name: Its name.
        ip: Its address.
        domain: Its failure domain.
        node: Its process.
        to_store: Proxy between it and the store.
        settings: Its settings file.
        start: Number of the start of its process.
        is_meant_to_run: Whether it is not stopped by the soak.
    """

    name: str
    ip: str
    domain: str
    node: process.Process
    to_store: proxy.Proxy
    settings: pathlib.Path
    start: int = 1
    is_meant_to_run: bool = True

    @property
    def address(self) -> str:
        """Host and port for callers."""
        return f"{self.ip}:{PORTS[0]}"

    @property
    def readiness_url(self) -> str:
        """Address that the balancer asks."""
        return f"http://{self.ip}:{PORTS[1]}{platform_calls.READY_PATH}"


class SoakReplica(platform_replica.Replica):
    """An endpoint whose answers name the request that they belong to."""

    def make_event(self, request: str, number: int) -> bytes:
        """Returns an event with the request's id."""
        return f"id: {number}\ndata: {request} {number}\n\n".encode()

    def make_body(self, request: str) -> str:
        """Returns a body with the request's id."""
        return f"{request} by {self.name}"

    def choose_event_count(self, headers: Mapping[str, str]) -> int:
        """Returns how many events a stream has."""
        return platform_calls.read_event_count(headers)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """One place of an endpoint; starts of it take turns there.

    Attributes:
        replica: The start that runs now.
        link: Proxy before it.
        entry_state: State that its entry tells.
        is_up: Whether it runs.
    """

    replica: SoakReplica
    link: proxy.Proxy
    entry_state: str = "ready"
    is_up: bool = True


class Fleet:
    """Runs a system while its context is open.

    Args:
        folder: Directory of settings and logs.
        record: What is seen.
        instances: Number of instances.
        engines: Number of model engines.
        plain: Number of plain services' endpoints.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: records.Record,
        *,
        instances: int = 4,
        engines: int = 6,
        plain: int = 3,
    ) -> None:
        self.folder = folder
        self.record = record
        self.store = platform_store.Store()
        self.store.page_size = 500
        self.instances: list[Instance] = []
        self.endpoints: list[Endpoint] = []
        self.version = 1
        self.routes = _make_routes()
        self.keys = [documents.API_KEY]
        self._counts = (instances, engines, plain)
        self._starts = itertools.count(1)
        self._peers: dict[str, platform_replica.Replica] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        await enter(self.store)
        await self.write_configuration()
        instances, engines, plain = self._counts
        for number in range(engines + plain):
            service = POOL if number < engines else PLAIN
            await self._add_endpoint(service, DOMAINS[number % len(DOMAINS)])
        for number in range(instances):
            await self._add_instance(number)
        self._start_task(self._beat())
        self._start_task(self._sample())
        await self._wait_ready()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for instance in self.instances:
            instance.is_meant_to_run = False
        await asyncio.gather(*(i.node.stop() for i in self.instances))
        await self._stack.aclose()
        for endpoint in self.endpoints:
            await endpoint.replica.crash()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._stack.callback(task.cancel)

    async def write_configuration(self) -> float:
        """Writes the next version; returns when the store took it."""
        self.version += 1
        await self.store.put(
            platform_calls.CONFIGURATION_KEY,
            documents.make_configuration(
                self.version,
                self.routes,
                [
                    {
                        "name": checks.ORGANISATION,
                        "api_keys": self.keys,
                        "priority": 1,
                    }
                ],
                cold_per_s=checks.COLD_PER_S,
            ),
        )
        return time.monotonic()

    async def write_entry(self, endpoint: Endpoint) -> float:
        """Writes an endpoint's entry; returns when the store took it."""
        replica = endpoint.replica
        await self.store.put(
            platform_calls.make_endpoint_key(replica.name),
            replica.make_entry(endpoint.entry_state),
        )
        return time.monotonic()

    def write_settings(self, instance: Instance, **bounds: float) -> None:
        """Writes an instance's settings file."""
        found = documents.make_settings(
            instance.name,
            PORTS,
            instance.to_store.address,
            ip=instance.ip,
            zone=instance.domain,
            **{**checks.make_bounds(), **bounds},
        )
        # A file that is replaced is never read half-written.
        fresh = instance.settings.with_suffix(".new")
        fresh.write_text(json.dumps(found), encoding="utf-8")
        fresh.replace(instance.settings)

    async def start_replica(self, endpoint: Endpoint) -> None:
        """Starts an endpoint anew at its place: cold, with a new id."""
        before = endpoint.replica
        after = await self._open_replica(before.service, before.zone)
        endpoint.link.target = after.address
        endpoint.replica = after
        endpoint.entry_state = "ready"
        endpoint.is_up = True
        self.turn_cold(endpoint)
        await self._show(endpoint)

    def turn_cold(self, endpoint: Endpoint) -> None:
        """Makes an engine cold; its entry is to be written after."""
        if endpoint.replica.service != POOL:
            return
        now_s = time.monotonic()
        endpoint.replica.cold_until_s = now_s + COLD_S
        self.record.cold.append(
            records.ColdSpan(endpoint.replica.name, now_s, now_s + COLD_S)
        )

    async def restart_instance(self, instance: Instance) -> None:
        """Starts an instance's process again."""
        await asyncio.sleep(RESTART_S)
        instance.start += 1
        await instance.node.start()
        instance.is_meant_to_run = True

    def count_left_over(self) -> list[str]:
        """Returns what endpoints hold, one text each."""
        return [
            f"{endpoint.replica.name} holds {endpoint.replica.allocated_tokens}"
            for endpoint in self.endpoints
            if endpoint.is_up and endpoint.replica.allocated_tokens
        ]

    async def _add_endpoint(self, service: str, domain: str) -> None:
        replica = await self._open_replica(service, domain)
        link = await self._stack.enter_async_context(
            proxy.Proxy(replica.address)
        )
        endpoint = Endpoint(replica, link)
        self.endpoints.append(endpoint)
        await self._show(endpoint)

    async def _open_replica(self, service: str, domain: str) -> SoakReplica:
        name = f"e-{next(self._starts)}"
        replica = SoakReplica(name, service, domain, peers=self._peers)
        await replica.__aenter__()
        self.record.endpoints.append(replica)
        return replica

    async def _show(self, endpoint: Endpoint) -> None:
        """Lets an endpoint be found, by the address of its proxy."""
        endpoint.replica.advertised_address = endpoint.link.address
        self._peers[endpoint.link.address] = endpoint.replica
        await self.write_entry(endpoint)

    async def _add_instance(self, number: int) -> None:
        name = f"front-{number}"
        to_store = await self._stack.enter_async_context(
            proxy.Proxy(self.store.address)
        )
        # The process id keeps soaks that run at the same time apart.
        high, low = divmod(os.getpid(), 250)
        ip = f"127.{16 + high % 200}.{low}.{number + 2}"
        settings = self.folder / f"{name}.json"
        node = process.Process(
            name,
            "poplarwick_node.main",
            ["--platform-settings", str(settings)],
            self.folder,
            logs_output=True,
        )
        domain = DOMAINS[number % len(DOMAINS)]
        instance = Instance(name, ip, domain, node, to_store, settings)
        self.instances.append(instance)
        self.write_settings(instance)
        await node.start()

    async def _wait_ready(self) -> None:
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(READY_TIMEOUT_S),
        ):
            for instance in self.instances:
                await _wait_until_ready(session, instance)

    async def _beat(self) -> None:
        """Writes the entries of endpoints; removes those of silent ones."""
        silent_since_s: dict[str, float] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.is_down or self.store.is_unresponsive:
                continue
            for endpoint in self.endpoints:
                name = endpoint.replica.name
                if endpoint.is_up:
                    silent_since_s.pop(name, None)
                    await self.write_entry(endpoint)
                    continue
                since_s = silent_since_s.setdefault(name, time.monotonic())
                if time.monotonic() - since_s > LAPSE_S:
                    await self.store.remove(
                        platform_calls.make_endpoint_key(name)
                    )

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for endpoint in self.endpoints:
                if endpoint.is_up:
                    self._sample_tickets(endpoint.replica)
            for instance in self.instances:
                if instance.is_meant_to_run and not instance.node.is_running:
                    self.record.own_ends.append(instance.name)
                    instance.is_meant_to_run = False

    def _sample_tickets(self, replica: SoakReplica) -> None:
        now_s = time.monotonic()
        for name, ticket in replica.reservations.items():
            idle_s = now_s - ticket.idle_since_s
            is_live = now_s < ticket.expires_at_s
            if is_live and not ticket.users and idle_s > checks.FREE_S:
                self.record.idle_tickets.append(
                    records.IdleTicket(replica.name, name, idle_s, now_s)
                )


async def is_ready(session: aiohttp.ClientSession, instance: Instance) -> bool:
    """Tells what the balancer sees of an instance."""
    try:
        async with session.get(
            instance.readiness_url, timeout=aiohttp.ClientTimeout(total=1.0)
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _wait_until_ready(
    session: aiohttp.ClientSession, instance: Instance
) -> None:
    ready = await is_ready(session, instance)
    while not ready:
        await asyncio.sleep(SAMPLE_S)
        ready = await is_ready(session, instance)


def _make_routes() -> list[dict[str, object]]:
    return [
        documents.make_route("short", "streaming", POOL, timeout_ms=8_000),
        documents.make_route(
            "long",
            "streaming",
            POOL,
            timeout_ms=10_000,
            target_latency_ms=1_500,
            gap_target_ms=600,
        ),
        documents.make_route(
            "giant",
            "streaming",
            POOL,
            timeout_ms=12_000,
            target_latency_ms=3_000,
            gap_target_ms=1_000,
        ),
        documents.make_route("once", "non_idempotent", PLAIN, timeout_ms=2_500),
        documents.make_route("lookup", "idempotent", PLAIN, timeout_ms=2_500),
    ]
