"""System in a test bed: platform stand-ins, endpoints and instances."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
from typing import Any

import msgspec

from poplarwick_bench import operators
from poplarwick_bench import process
from poplarwick_bench import proxy
from poplarwick_bench import testbed
from poplarwick_configuration import document
from poplarwick_core import errors
from poplarwick_node import settings
from poplarwick_standins import engine_settings
from poplarwick_standins import instances
from poplarwick_standins import service

REGION = "eu-central"
ENVIRONMENT = "bench"
MODEL = "writer"
SERVICE = "orders"
OPERATOR_TOKEN = "bench-operator-token"


class FleetError(errors.PoplarwickError):
    """The system does not behave as an experiment requires."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Size and settings of a system.

    Attributes:
        instances: Number of instances.
        engines: Number of model engines.
        services: Number of plain service replicas.
        domains: Number of failure domains, assigned round-robin.
        weights: Weight of each organisation, by id.
        limits: Limits of organisations that differ from the defaults, by id.
        model: Model that all engines serve.
        engine: Settings of each engine.
        service: Settings of each plain service.
        routes: Routes of the plain service.
        checks_epochs: Whether endpoints check fencing tokens.
        timing: Periods of the control protocols.
        log_level: Log level of the instances.
        has_proxies: Whether each endpoint, and the key-value service of each
            instance, is reached through a proxy.
        seed: Seed of the proxies.
    """

    instances: int = 2
    engines: int = 3
    services: int = 1
    domains: int = 2
    weights: dict[str, int] = dataclasses.field(
        default_factory=lambda: {"labels": 1}
    )
    limits: dict[str, document.Limits] = dataclasses.field(default_factory=dict)
    model: document.Model = document.Model(
        id=MODEL, context_tokens=400_000, memory_tokens=400_000
    )
    engine: engine_settings.EngineSettings = engine_settings.EngineSettings()
    service: service.ServiceSettings = service.ServiceSettings()
    routes: tuple[document.Route, ...] = (
        document.Route(path="/stock", methods=("GET",)),
        document.Route(path="/orders", methods=("POST",), idempotent=False),
    )
    checks_epochs: bool = False
    timing: settings.Timing = settings.Timing()
    log_level: str = "INFO"
    has_proxies: bool = False
    seed: int = 0


class Fleet:
    """A running system.

    Attributes:
        testbed: Testbed that runs the processes.
        plan: Size and settings.
        kv: Key-value service.
        instance_list: Stand-in of the platform's instance list.
        engines: Model engines, in the order of their endpoint ids.
        services: Plain services, in the order of their endpoint ids.
        nodes: Instances.
        document: Configuration document in force.
        endpoint_proxies: Proxies of endpoints, by endpoint id.
        kv_proxies: Proxies of the key-value service, by instance id.
    """

    def __init__(self, testbed_: testbed.Testbed, plan: Plan) -> None:
        self.testbed = testbed_
        self.plan = plan
        self.kv: process.Process
        self.instance_list: process.Process
        self.engines: list[process.Process] = []
        self.services: list[process.Process] = []
        self.nodes: list[process.Process] = []
        self.document: document.Document
        self.node_settings: list[settings.Settings] = []
        self.endpoint_proxies: dict[str, proxy.Proxy] = {}
        self.kv_proxies: dict[str, proxy.Proxy] = {}

    async def start(self) -> None:
        """Starts all processes and waits until all instances are ready."""
        await self.start_platform()
        await self.start_nodes()
        await self.push(self.document)
        await self.wait_ready()

    async def start_platform(self) -> None:
        """Starts the stand-ins of the platform and the endpoints."""
        await self._start_standins()
        if self.plan.has_proxies:
            for child in self.engines + self.services:
                self.endpoint_proxies[child.name] = await self._open_proxy(
                    child
                )
        self.document = make_document(self)

    async def start_nodes(self) -> None:
        """Registers and starts the instances; waits until they are live."""
        plan = self.plan
        addresses = testbed.find_free_addresses(3 * plan.instances)
        for index in range(plan.instances):
            callers, peers, administration = addresses[
                3 * index : 3 * index + 3
            ]
            listen = settings.Listen(callers, peers, administration)
            if plan.has_proxies:
                name = name_instance(index)
                self.kv_proxies[name] = await self._open_proxy(self.kv)
            node = make_node_settings(self, index, listen)
            self.node_settings.append(node)
            await self.register_instance(node)
        starts = (self.testbed.start_node(node) for node in self.node_settings)
        self.nodes = list(await asyncio.gather(*starts))
        waits = (
            self.testbed.wait_ready(node, "/health/live") for node in self.nodes
        )
        await asyncio.gather(*waits)

    async def wait_ready(self) -> None:
        """Waits until every instance serves callers."""
        waits = (self.testbed.wait_ready(node) for node in self.nodes)
        await asyncio.gather(*waits)

    async def register_instance(self, node: settings.Settings) -> None:
        """Adds an instance to the platform's instance list."""
        listed = instances.ListedInstance(
            instance=node.instance,
            address=node.listen.peers,
            domain=node.domain,
            region=node.region,
        )
        url = f"http://{self.instance_list.address}/instances"
        body = msgspec.json.encode(listed)
        async with self.testbed.session.post(url, data=body) as response:
            response.raise_for_status()

    def make_operator(self, node: int = 0) -> operators.Operator:
        """Returns an operator who calls one instance."""
        address = self.node_settings[node].listen.administration
        return operators.Operator(
            self.testbed.session, address, ENVIRONMENT, OPERATOR_TOKEN
        )

    async def push(self, new: document.Document, node: int = 0) -> int:
        """Stores a document through an instance and returns its version.

        Raises:
            operators.OperatorError: The change was refused, or no response
                came in time.
        """
        text = msgspec.json.encode(new)
        accepted = await self.make_operator(node).push(text)
        self.document = new
        return accepted.version

    async def _open_proxy(self, child: process.Process) -> proxy.Proxy:
        return await self.testbed.open_proxy(child.address, self.plan.seed)

    async def _start_standins(self) -> None:
        plan = self.plan
        start = self.testbed.start_standin
        self.kv, self.instance_list = await asyncio.gather(
            start("kv", "kv"), start("instances", "instances")
        )
        self.engines = list(
            await asyncio.gather(
                *(
                    start("engine", name, self._make_engine_settings(name))
                    for name in name_engines(plan)
                )
            )
        )
        self.services = list(
            await asyncio.gather(
                *(
                    start("service", name, self._make_service_settings(name))
                    for name in name_services(plan)
                )
            )
        )

    def _make_engine_settings(self, name: str) -> msgspec.Struct:
        path = self.testbed.folder / f"{name}.executions"
        return msgspec.structs.replace(
            self.plan.engine, execution_log=str(path)
        )

    def _make_service_settings(self, name: str) -> msgspec.Struct:
        path = self.testbed.folder / f"{name}.executions"
        return msgspec.structs.replace(
            self.plan.service, execution_log=str(path)
        )


def replace_plan(plan: Plan, **changes: Any) -> Plan:
    """Returns a plan with some fields changed."""
    return dataclasses.replace(plan, **changes)


def name_instance(index: int) -> str:
    """Returns the id of an instance."""
    return f"instance-{index}"


def name_engines(plan: Plan) -> list[str]:
    """Returns the endpoint ids of the engines."""
    return [f"engine-{index}" for index in range(plan.engines)]


def name_services(plan: Plan) -> list[str]:
    """Returns the endpoint ids of the plain services."""
    return [f"service-{index}" for index in range(plan.services)]


def name_domains(plan: Plan) -> list[str]:
    """Returns the ids of the failure domains."""
    return [f"domain-{chr(ord('a') + i)}" for i in range(plan.domains)]


def make_secret(organisation: str) -> str:
    """Returns the API key of an organisation's callers."""
    return f"key-of-{organisation}"


def make_document(fleet: Fleet) -> document.Document:
    """Returns the configuration document of the running endpoints."""
    plan = fleet.plan
    return document.Document(
        environment=ENVIRONMENT,
        organisations=tuple(
            _make_organisation(plan, name) for name in plan.weights
        ),
        models=(plan.model,),
        services=_make_services(plan),
        domains=tuple(
            document.Domain(name, REGION) for name in name_domains(plan)
        ),
        endpoints=tuple(
            _make_endpoint(fleet, index, child, model=plan.model.id)
            for index, child in enumerate(fleet.engines)
        )
        + tuple(
            _make_endpoint(fleet, index, child, service=SERVICE)
            for index, child in enumerate(fleet.services)
        ),
    )


def make_node_settings(
    fleet: Fleet, index: int, listen: settings.Listen
) -> settings.Settings:
    """Returns the settings of one instance."""
    domains = name_domains(fleet.plan)
    operator = settings.Administrator(
        "bench", "operator", _hash_secret(OPERATOR_TOKEN)
    )
    name = name_instance(index)
    proxy_ = fleet.kv_proxies.get(name)
    key_value = fleet.kv.address if proxy_ is None else proxy_.address
    return settings.Settings(
        instance=name,
        environment=ENVIRONMENT,
        domain=domains[index % len(domains)],
        region=REGION,
        listen=listen,
        key_value=(key_value,),
        instance_list=fleet.instance_list.address,
        administrators=(operator,),
        timing=fleet.plan.timing,
        log=settings.Log(fleet.plan.log_level),
    )


def _make_services(plan: Plan) -> tuple[document.Service, ...]:
    if not plan.services:
        return ()
    return (document.Service(id=SERVICE, routes=plan.routes),)


def _make_organisation(plan: Plan, name: str) -> document.Organisation:
    return document.Organisation(
        id=name,
        keys=(document.ApiKey("first", _hash_secret(make_secret(name))),),
        weight=plan.weights[name],
        limits=plan.limits.get(name, document.Limits()),
    )


def _make_endpoint(
    fleet: Fleet,
    index: int,
    child: process.Process,
    *,
    model: str | None = None,
    service: str | None = None,
) -> document.Endpoint:
    domains = name_domains(fleet.plan)
    proxy_ = fleet.endpoint_proxies.get(child.name)
    return document.Endpoint(
        id=child.name,
        address=child.address if proxy_ is None else proxy_.address,
        domain=domains[index % len(domains)],
        model=model,
        service=service,
        checks_epochs=fleet.plan.checks_epochs,
    )


def _hash_secret(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()
