"""The system under test: real instances and stand-ins of the platform."""

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
from collections.abc import Sequence
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

LAUNCHER = pathlib.Path(__file__).parents[4] / "deploy" / "launch.py"
"""Program that starts an instance on the platform."""

DOMAINS = ("a", "b", "c")
"""Failure domains; endpoints and instances are assigned round robin."""

POOL = "pool"
"""Service of the model engines."""

PLAIN = "orders"
"""Service of the plain endpoints."""

PORTS = (8_227, 8_220, 7_340, 7_341)
"""Ports of an instance on the platform: for callers, the readiness check and
other instances. Each instance has its own loopback address."""

HEARTBEAT_PERIOD_S = 1.2
"""Period at which endpoints write their entries (platform setting)."""

ENTRY_TTL_S = 3 * HEARTBEAT_PERIOD_S
"""Time after which the entry of an endpoint without heartbeats is removed."""

READY_TIMEOUT_S = 30.0
"""Timeout for all instances to become ready at the start."""

RESTART_DELAY_S = 0.5
"""Delay before a stopped process is restarted."""

SAMPLE_PERIOD_S = 0.2
"""Period at which reservations and processes are sampled."""

COLD_START_S = 3.0
"""Time for which an endpoint is cold after its start."""


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance and its proxy to the store.

    Attributes:
        name: Name of the instance.
        ip: IP address.
        domain: Failure domain.
        node: Process of the instance.
        store_proxy: Proxy between the instance and the store.
        settings: Path of its settings file.
        incarnation: Start number of its process.
        is_expected_to_run: Whether the soak has not stopped it.
    """

    name: str
    ip: str
    domain: str
    node: process.Process
    store_proxy: proxy.Proxy
    settings: pathlib.Path
    incarnation: int = 1
    is_expected_to_run: bool = True

    @property
    def address(self) -> str:
        """Host and port for callers."""
        return f"{self.ip}:{PORTS[0]}"

    @property
    def readiness_url(self) -> str:
        """URL of the load balancer's readiness check."""
        return f"http://{self.ip}:{PORTS[1]}{platform_calls.READY_PATH}"


SLOW_CALLER_PREFIX = "slow"
"""Begins the ids of requests whose callers read slowly."""

LARGE_EVENT_BYTES = 20_000
"""Size of the events that they receive; a few fill all buffers."""

LINK_BUFFER_BYTES = 16_384
"""Size of the buffers of links between instances and endpoints."""

UNREAD_LIMIT_S = 1.5
"""Time after which engines cut a stream that stays unread."""


class SoakReplica(platform_replica.Replica):
    """An endpoint whose responses contain the id of their request."""

    def make_event(self, request: str, number: int) -> bytes:
        """Returns an event that contains the id of the request."""
        event = f"id: {number}\ndata: {request} {number}\n\n".encode()
        if request.startswith(SLOW_CALLER_PREFIX):
            return b": " + b"." * LARGE_EVENT_BYTES + b"\n" + event
        return event

    def make_body(self, request: str) -> str:
        """Returns a body that contains the id of the request."""
        return f"{request} by {self.name}"

    def choose_event_count(self, headers: Mapping[str, str]) -> int:
        """Returns the number of events in a stream."""
        return platform_calls.read_event_count(headers)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint whose replica is replaced at each restart.

    Attributes:
        replica: The current replica.
        link_proxy: Proxy between instances and the replica.
        entry_state: State in its store entry.
        is_up: Whether the replica is running.
    """

    replica: SoakReplica
    link_proxy: proxy.Proxy
    entry_state: str = "ready"
    is_up: bool = True


class Fleet:
    """Context manager that runs the system under test.

    Args:
        folder: Directory for settings and logs.
        record: Record that observations are added to.
        instances: Number of instances.
        engines: Number of model engines.
        plain: Number of endpoints of plain services.
        launcher: Program that starts the instances.
        bounds: Limits in the settings of all instances that override those of
            `checks.make_bounds`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: records.Record,
        *,
        instances: int = 4,
        engines: int = 6,
        plain: int = 3,
        launcher: pathlib.Path = LAUNCHER,
        bounds: Mapping[str, float] | None = None,
    ) -> None:
        self.folder = folder
        self.record = record
        self.store = platform_store.Store()
        self.store.page_size = 500
        self.instances: list[Instance] = []
        self.endpoints: list[Endpoint] = []
        self.version = 1
        self.routes = _make_routes()
        self.api_keys = [documents.API_KEY]
        self.crashing_parts: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.cut_hosts: set[str] = set()
        self._sizes = (instances, engines, plain)
        self._launcher = launcher
        self._bounds = dict(bounds or {})
        self._replica_numbers = itertools.count(1)
        self._peers: dict[str, platform_replica.Replica] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        await enter(self.store)
        await self.write_configuration()
        instances, engines, plain = self._sizes
        for number in range(engines + plain):
            service = POOL if number < engines else PLAIN
            await self._add_endpoint(service, DOMAINS[number % len(DOMAINS)])
        for _ in range(instances):
            await self._add_instance(self._launcher)
        self._start_task(self._send_heartbeats())
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
            instance.is_expected_to_run = False
        await asyncio.gather(*(i.node.stop() for i in self.instances))
        await self._stack.aclose()
        for endpoint in self.endpoints:
            await endpoint.replica.crash()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def write_configuration(self) -> float:
        """Writes the next configuration version to the store.

        Returns:
            Monotonic time of the store's acknowledgement, in seconds.
        """
        self.version += 1
        await self.store.put(
            platform_calls.CONFIGURATION_KEY,
            documents.make_configuration(
                self.version,
                self.routes,
                [
                    {
                        "name": checks.ORGANISATION,
                        "api_keys": self.api_keys,
                        "priority": 1,
                    }
                ],
                cold_per_s=checks.COLD_REQUESTS_PER_S,
            ),
        )
        return time.monotonic()

    async def write_entry(self, endpoint: Endpoint) -> float:
        """Writes the entry of an endpoint to the store.

        Returns:
            Monotonic time of the store's acknowledgement, in seconds.
        """
        replica = endpoint.replica
        await self.store.put(
            platform_calls.make_endpoint_key(replica.name),
            replica.make_entry(endpoint.entry_state),
        )
        return time.monotonic()

    def write_settings(self, instance: Instance, **bounds: float) -> None:
        """Writes the settings file of an instance.

        Args:
            instance: The instance.
            **bounds: Limits that override those of `checks.make_bounds`.
        """
        settings = documents.make_settings(
            instance.name,
            PORTS,
            instance.store_proxy.address,
            ip=instance.ip,
            zone=instance.domain,
            **{**checks.make_bounds(), **self._bounds, **bounds},
        )
        # Atomic replacement prevents reads of a partially written file.
        temporary_file = instance.settings.with_suffix(".new")
        temporary_file.write_text(json.dumps(settings), encoding="utf-8")
        temporary_file.replace(instance.settings)

    async def replace_replica(self, endpoint: Endpoint) -> None:
        """Replaces the replica of an endpoint by a cold one with a new id."""
        previous = endpoint.replica
        replacement = await self._start_replica(previous.service, previous.zone)
        endpoint.link_proxy.target = replacement.address
        endpoint.replica = replacement
        endpoint.entry_state = "ready"
        endpoint.is_up = True
        self.mark_cold(endpoint)
        await self._publish_entry(endpoint)

    def mark_cold(self, endpoint: Endpoint) -> None:
        """Marks an engine as cold; the caller then writes its entry."""
        if endpoint.replica.service != POOL:
            return
        now_s = time.monotonic()
        endpoint.replica.cold_until_s = now_s + COLD_START_S
        self.record.cold_spans.append(
            records.ColdSpan(endpoint.replica.name, now_s, now_s + COLD_START_S)
        )

    async def add_instances(self, count: int, launcher: pathlib.Path) -> None:
        """Starts further instances and waits until all are ready.

        Args:
            count: Number of further instances.
            launcher: Program that starts them.
        """
        for _ in range(count):
            await self._add_instance(launcher)
        await self._wait_ready()

    async def replace_instance(
        self, instance: Instance, launcher: pathlib.Path
    ) -> None:
        """Starts a stopped instance by a launcher and waits until it is ready.

        The new process has a log of its own.
        """
        instance.incarnation += 1
        instance.node = self._make_process(
            f"{instance.name}.{instance.incarnation}",
            launcher,
            instance.settings,
        )
        await instance.node.start()
        instance.is_expected_to_run = True
        await self._wait_ready([instance])

    async def restart_instance(self, instance: Instance) -> None:
        """Restarts the process of an instance after a delay."""
        await asyncio.sleep(RESTART_DELAY_S)
        instance.incarnation += 1
        await instance.node.start()
        instance.is_expected_to_run = True

    async def write_again(self, evacuated: frozenset[str]) -> None:
        """Writes what the operator and the endpoints wrote, after a restore.

        Entries of endpoints that have ended come back with the copy and expire.

        Args:
            evacuated: Failure domains that are out of service.
        """
        await self.write_configuration()
        for domain in DOMAINS:
            key = platform_calls.make_evacuation_key(domain)
            if domain in evacuated:
                await self.store.put(key, {})
            elif key in self.store.items:
                await self.store.remove(key)
        for endpoint in self.endpoints:
            if endpoint.is_up:
                await self.write_entry(endpoint)
        await asyncio.sleep(ENTRY_TTL_S)
        known = {
            platform_calls.make_endpoint_key(endpoint.replica.name)
            for endpoint in self.endpoints
        }
        for key in list(self.store.items):
            if platform_calls.is_endpoint_key(key) and key not in known:
                await self.store.remove(key)

    def list_unreleased_memory(self) -> list[str]:
        """Returns one description per endpoint that still holds memory."""
        return [
            f"{endpoint.replica.name} holds {endpoint.replica.allocated_tokens}"
            for endpoint in self.endpoints
            if endpoint.is_up and endpoint.replica.allocated_tokens
        ]

    async def _add_endpoint(self, service: str, domain: str) -> None:
        replica = await self._start_replica(service, domain)
        link_proxy = await self._stack.enter_async_context(
            proxy.Proxy(
                replica.address,
                refused_hosts=self.cut_hosts,
                buffer_bytes=LINK_BUFFER_BYTES,
            )
        )
        endpoint = Endpoint(replica, link_proxy)
        self.endpoints.append(endpoint)
        await self._publish_entry(endpoint)

    def make_replica(self, name: str, service: str, domain: str) -> SoakReplica:
        """Returns a stand-in for an endpoint; it has not been started."""
        return SoakReplica(name, service, domain, peers=self._peers)

    async def _start_replica(self, service: str, domain: str) -> SoakReplica:
        number = next(self._replica_numbers)
        replica = self.make_replica(f"e-{number}", service, domain)
        replica.unread_limit_s = UNREAD_LIMIT_S
        replica.resets_unread = bool(number % 2)
        replica.crashing_parts = self.crashing_parts
        replica.crashing_bodies = self.crashing_bodies
        await replica.__aenter__()
        self.record.endpoints.append(replica)
        return replica

    async def _publish_entry(self, endpoint: Endpoint) -> None:
        """Publishes an endpoint under the address of its proxy."""
        endpoint.replica.advertised_address = endpoint.link_proxy.address
        self._peers[endpoint.link_proxy.address] = endpoint.replica
        await self.write_entry(endpoint)

    async def _add_instance(self, launcher: pathlib.Path) -> None:
        number = len(self.instances)
        name = f"front-{number}"
        store_proxy = await self._stack.enter_async_context(
            proxy.Proxy(self.store.address)
        )
        # The process id separates the addresses of concurrent soaks.
        high, low = divmod(os.getpid(), 250)
        ip = f"127.{16 + high % 200}.{low}.{number + 2}"
        settings = self.folder / f"{name}.json"
        node = self._make_process(name, launcher, settings)
        domain = DOMAINS[number % len(DOMAINS)]
        instance = Instance(name, ip, domain, node, store_proxy, settings)
        self.instances.append(instance)
        self.write_settings(instance)
        await node.start()

    def _make_process(
        self, name: str, launcher: pathlib.Path, settings: pathlib.Path
    ) -> process.Process:
        return process.Process(
            name, launcher, [str(settings)], self.folder, logs_output=True
        )

    async def _wait_ready(
        self, instances: Sequence[Instance] | None = None
    ) -> None:
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(READY_TIMEOUT_S),
        ):
            for instance in instances or self.instances:
                await _wait_until_ready(session, instance)

    async def _send_heartbeats(self) -> None:
        """Writes the entries of running endpoints; removes expired ones."""
        down_since_s: dict[str, float] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            if self.store.is_down or self.store.is_unresponsive:
                continue
            for endpoint in self.endpoints:
                name = endpoint.replica.name
                if endpoint.is_up:
                    down_since_s.pop(name, None)
                    await self.write_entry(endpoint)
                    continue
                since_s = down_since_s.setdefault(name, time.monotonic())
                if time.monotonic() - since_s > ENTRY_TTL_S:
                    await self.store.remove(
                        platform_calls.make_endpoint_key(name)
                    )

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            for endpoint in self.endpoints:
                if endpoint.is_up:
                    self._sample_reservations(endpoint.replica)
            for instance in self.instances:
                if instance.is_expected_to_run and not instance.node.is_running:
                    self.record.unexpected_exits.append(instance.name)
                    instance.is_expected_to_run = False

    def _sample_reservations(self, replica: SoakReplica) -> None:
        now_s = time.monotonic()
        for name, reservation in replica.reservations.items():
            idle_s = now_s - reservation.idle_since_s
            is_live = now_s < reservation.expires_at_s
            if (
                is_live
                and not reservation.users
                and idle_s > checks.MEMORY_RELEASE_S
            ):
                self.record.idle_reservations.append(
                    records.IdleReservation(replica.name, name, idle_s, now_s)
                )


async def is_ready(session: aiohttp.ClientSession, instance: Instance) -> bool:
    """Returns whether an instance passes the load balancer's check."""
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
        await asyncio.sleep(SAMPLE_PERIOD_S)
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
