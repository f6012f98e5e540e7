"""Tests for ownership over sockets with a stand-in key-value service."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import aiohttp
import msgspec

from poplarwick_core import ids
from poplarwick_ownership import _quorum
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

TIMEOUT_S = 40
TTL_S = 2
# On a busy machine this process can stall for most of a second, which is the
# validity of a confirmation in production. Tenures must end in that case. The
# test that they continue therefore uses a validity that exceeds such stalls.
LONG_CONFIRMATION_VALIDITY_S = 10.0
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


class InstanceList:
    def __init__(self) -> None:
        self.listed = []

    async def read(self):
        return tuple(self.listed)


class Instance:
    def __init__(
        self, name: str, key_value: str, instance_list: InstanceList
    ) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        address = f"127.0.0.1:{port}"
        self.stack = contextlib.AsyncExitStack()
        self.listener = Listener()
        self.pool = transport.ChannelPool()
        own = heartbeats.make_member(name, address, "d-1", REGION)
        self.view = heartbeats.HeartbeatMembership(
            own, instance_list, 0.1, self.pool.open
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
        instance_list.listed.append(
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
        instance_list = InstanceList()
        fleet = [
            Instance(f"i-{n}", address, instance_list) for n in range(count)
        ]
        for instance in fleet:
            stack.push_async_callback(instance.stack.aclose)
            await instance.start()
        yield fleet, address


def count_valid(fleet) -> int:
    return sum(len(instance.ownership.tenures) for instance in fleet)


def is_balanced(fleet) -> bool:
    """Returns whether each instance owns exactly its preferred resources."""
    names = [instance.view.own.instance for instance in fleet]
    return count_valid(fleet) == len(RESOURCES) and all(
        ranking.rank_owners(begun.resource, names)[0] == name
        for name, instance in zip(names, fleet, strict=True)
        for begun in instance.ownership.tenures
    )


async def wait_until(condition) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def set_faults(address, **faults):
    body = msgspec.json.encode(_kv_faults.Faults(**faults))
    async with aiohttp.ClientSession(f"http://{address}") as session:
        async with session.post("/control/faults", data=body) as response:
            assert response.status == 200


def test_owners_continue_during_and_after_an_outage(monkeypatch):
    monkeypatch.setattr(
        _quorum, "CONFIRMATION_VALIDITY_S", LONG_CONFIRMATION_VALIDITY_S
    )

    async def scenario():
        async with running(3) as (fleet, address):
            await wait_until(lambda: count_valid(fleet) == len(RESOURCES))
            await wait_until(
                lambda: all(len(i.view.members) == len(fleet) for i in fleet)
            )
            await wait_until(lambda: is_balanced(fleet))
            await set_faults(address, outage=True)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 3 * TTL_S
            await wait_until(lambda: loop.time() > end_s)
            assert count_valid(fleet) == len(RESOURCES)
            assert not any(i.listener.unplanned_ends for i in fleet)
            await set_faults(address)
            await wait_until(
                lambda: (
                    not any(i.ownership._lease.is_unavailable for i in fleet)
                )
            )
            assert count_valid(fleet) == len(RESOURCES)

    asyncio.run(scenario())


def test_disconnected_owner_stops_and_is_replaced():
    async def scenario():
        async with running(4) as (fleet, address):
            await wait_until(lambda: count_valid(fleet) == len(RESOURCES))
            await wait_until(
                lambda: all(len(i.view.members) == len(fleet) for i in fleet)
            )
            victim = max(fleet, key=lambda i: len(i.ownership.tenures))
            held = {t.resource: t.epoch for t in victim.ownership.tenures}
            name = victim.view.own.instance
            await set_faults(address, cut_off=(name,))
            others = [i for i in fleet if i is not victim]
            await wait_until(lambda: count_valid([victim]) == 0)
            await wait_until(lambda: count_valid(others) == len(RESOURCES))
            for instance in others:
                for begun in instance.ownership.tenures:
                    assert begun.epoch > held.get(begun.resource, 0)

    asyncio.run(scenario())
