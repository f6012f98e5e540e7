"""Ownership over real sockets: stand-in service, heartbeats and gRPC."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import aiohttp
import msgspec

from poplarwick_core import ids
from poplarwick_ownership import _electorate
from poplarwick_ownership import confirmations
from poplarwick_ownership import leases
from poplarwick_ownership import ranking
from poplarwick_ownership import tenure
from poplarwick_peers import heartbeats
from poplarwick_peers import transport
from poplarwick_platform import gateway
from poplarwick_platform import instances
from poplarwick_standins import _http
from poplarwick_standins import _kv_faults
from poplarwick_standins import kv as kv_standin

GENEROUS_S = 40
TTL_S = 2
# On a busy machine this process stands still for most of a second, as long as
# a confirmation lives in the product. Tenures must end then, so the test that
# they go on gives confirmations a life that no such pause outlasts.
LONG_CONFIRMATION_S = 10.0
REGION = ids.RegionId("r-1")
RESOURCES = tuple(
    tenure.Resource(tenure.ResourceKind.ENDPOINT, f"e-{n}", REGION, True)
    for n in range(6)
)


class Listener:
    def __init__(self) -> None:
        self.unplanned_ends = 0

    async def begin_tenure(self, tenure):
        pass

    async def end_tenure(self, tenure, *, is_planned):
        self.unplanned_ends += not is_planned


class Listing:
    def __init__(self) -> None:
        self.listed = []

    async def read(self):
        return tuple(self.listed)


class Instance:
    def __init__(self, name: str, key_value: str, listing: Listing) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        address = f"127.0.0.1:{port}"
        self.stack = contextlib.AsyncExitStack()
        self.listener = Listener()
        self.pool = transport.ChannelPool()
        own = heartbeats.make_member(name, address, "d-1", REGION)
        self.view = heartbeats.HeartbeatMembership(
            own, listing, 0.1, self.pool.open
        )
        self.client = gateway.connect(
            (key_value,), instance=name, timeout_s=0.5
        )
        self.ownership = leases.LeaseOwnership(
            self.client,
            self.view,
            self.listener,
            ttl_s=TTL_S,
            peers=confirmations.GrpcOwnershipClient(
                own.instance, self.pool.get
            ),
        )
        self.server = transport.PeerServer(
            address, (self.view.service, self.ownership.service)
        )
        listing.listed.append(
            instances.ListedInstance(
                own.instance, address, own.domain, own.region
            )
        )

    async def start(self) -> None:
        for part in (
            self.pool,
            self.client,
            self.server,
            self.view,
            self.ownership,
        ):
            await self.stack.enter_async_context(part)
        self.ownership.set_resources(RESOURCES)


@contextlib.asynccontextmanager
async def running(count: int):
    runner = await _http.start_application(
        kv_standin.make_application(), "127.0.0.1:0"
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        address = _http.find_address(runner)
        listing = Listing()
        fleet = [Instance(f"i-{n}", address, listing) for n in range(count)]
        for instance in fleet:
            stack.push_async_callback(instance.stack.aclose)
            await instance.start()
        yield fleet, address


def count_valid(fleet) -> int:
    return sum(len(instance.ownership.tenures) for instance in fleet)


def is_balanced(fleet) -> bool:
    """Whether each instance holds just what it is preferred for."""
    names = [instance.view.own.instance for instance in fleet]
    return count_valid(fleet) == len(RESOURCES) and all(
        ranking.rank_owners(begun.resource, names)[0] == name
        for name, instance in zip(names, fleet, strict=True)
        for begun in instance.ownership.tenures
    )


async def until(condition) -> None:
    async with asyncio.timeout(GENEROUS_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def set_faults(address, **faults):
    body = msgspec.json.encode(_kv_faults.Faults(**faults))
    async with aiohttp.ClientSession(f"http://{address}") as session:
        async with session.post("/control/faults", data=body) as response:
            assert response.status == 200


def test_owners_go_on_in_an_outage_and_afterwards(monkeypatch):
    monkeypatch.setattr(_electorate, "CONFIRMATION_S", LONG_CONFIRMATION_S)

    async def scenario():
        async with running(3) as (fleet, address):
            await until(lambda: count_valid(fleet) == len(RESOURCES))
            await until(
                lambda: all(len(i.view.members) == len(fleet) for i in fleet)
            )
            await until(lambda: is_balanced(fleet))
            await set_faults(address, outage=True)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 3 * TTL_S
            await until(lambda: loop.time() > end_s)
            assert count_valid(fleet) == len(RESOURCES)
            assert not any(i.listener.unplanned_ends for i in fleet)
            await set_faults(address)
            await until(
                lambda: (
                    not any(i.ownership._lease.is_unavailable for i in fleet)
                )
            )
            assert count_valid(fleet) == len(RESOURCES)

    asyncio.run(scenario())


def test_dead_owner_is_followed_and_cut_off_owner_stops():
    async def scenario():
        async with running(4) as (fleet, address):
            await until(lambda: count_valid(fleet) == len(RESOURCES))
            await until(
                lambda: all(len(i.view.members) == len(fleet) for i in fleet)
            )
            victim = max(fleet, key=lambda i: len(i.ownership.tenures))
            held = {t.resource: t.epoch for t in victim.ownership.tenures}
            name = victim.view.own.instance
            await set_faults(address, cut_off=(name,))
            others = [i for i in fleet if i is not victim]
            await until(lambda: count_valid([victim]) == 0)
            await until(lambda: count_valid(others) == len(RESOURCES))
            for instance in others:
                for begun in instance.ownership.tenures:
                    assert begun.epoch > held.get(begun.resource, 0)

    asyncio.run(scenario())
