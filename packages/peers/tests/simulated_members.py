"""Simulation of many members over a lossy network, on virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import random

from poplarwick_core import ids
from poplarwick_peers import heartbeats
from poplarwick_peers import membership
from poplarwick_platform import instances

DELAY_S = (0.0005, 0.0015)


class Network:
    """Simulated network with packet loss, cut links and dead members."""

    def __init__(self, seed: int, loss: float) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.views: dict[str, heartbeats.HeartbeatMembership] = {}
        self.dead: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.removed: list[tuple[str, str]] = []
        self.pings = 0
        self.bytes = 0
        self.listed: tuple[instances.ListedInstance, ...] = ()

    async def read(self):
        return self.listed

    async def deliver(self, message) -> bool:
        """Delays a message and returns whether it is delivered."""
        self.bytes += message.ByteSize()
        await asyncio.sleep(self.random.uniform(*DELAY_S))
        return self.random.random() >= self.loss


class Prober:
    """Replacement for the gRPC prober of one member."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    async def ping(self, address, request, timeout_s):
        network = self._network
        network.pings += 1
        is_link_up = address not in network.dead
        is_link_up = is_link_up and (self._name, address) not in network.cut
        if await network.deliver(request) and is_link_up:
            reply = network.views[address].answer_ping(request)
            if await network.deliver(reply) and self._name not in network.dead:
                return reply
        await asyncio.sleep(timeout_s)
        return None

    async def probe_through(self, helpers, target, timeout_s):
        return any(
            await asyncio.gather(
                *(self._probe(h, target, timeout_s) for h in helpers)
            )
        )

    async def _probe(self, helper, target, timeout_s):
        network = self._network
        if helper.address in network.dead:
            await asyncio.sleep(timeout_s)
            return False
        view = network.views[helper.address]
        request = view.make_ping(target.instance)
        if not await network.deliver(request):
            await asyncio.sleep(timeout_s)
            return False
        reply = await view._prober.ping(target.address, request, timeout_s)
        return reply is not None and (
            reply.responder.instance == target.instance
        )


@contextlib.asynccontextmanager
async def running(seed: int, loss: float, count: int):
    """Runs members that discover each other from the list."""
    network = Network(seed, loss)
    random.seed(seed)
    names = [f"i-{number}" for number in range(count)]
    network.listed = tuple(
        instances.ListedInstance(
            ids.InstanceId(n), n, ids.DomainId("d"), ids.RegionId("r")
        )
        for n in names
    )
    for name in names:
        add_member(network, name, name)
    async with contextlib.AsyncExitStack() as stack:
        for view in network.views.values():
            await stack.enter_async_context(view)
        yield network


def add_member(network: Network, name: str, address: str):
    """Creates a member at an address without starting it."""
    own = heartbeats.make_member(name, address, "d", "r")
    view = heartbeats.HeartbeatMembership(own, network)
    view._prober = Prober(network, name)
    view.add_listener(
        lambda change, name=name: record_removal(network, name, change)
    )
    network.views[address] = view
    return view


def record_removal(network: Network, observer: str, change) -> None:
    is_removal = change.after.state is membership.MemberState.DEAD
    if is_removal and observer not in network.dead:
        network.removed.append((observer, change.after.instance))


async def detect_death(network: Network, name: str, bound_s: float) -> float:
    """Kills one member and returns the detection time of all others."""
    loop = asyncio.get_running_loop()
    network.dead.add(name)
    died_s = loop.time()
    while any(
        view.find(ids.InstanceId(name))
        for other, view in network.views.items()
        if other not in network.dead
    ):
        assert loop.time() - died_s < bound_s, f"{name} is still a member"
        await asyncio.sleep(0.05)
    return loop.time() - died_s
