"""Members in one process, connected by links that tests can cut."""

from __future__ import annotations

import asyncio
import contextlib

from grpclib import client
from grpclib import server

from poplarwick_core import ids
from poplarwick_peers import heartbeats
from poplarwick_peers import membership
from poplarwick_platform import instances

TIMEOUT_S = 30
PERIOD_S = 0.1


class Links:
    """Cut links and paused instances."""

    def __init__(self) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.paused: dict[str, asyncio.Event] = {}

    async def wait_for_link(self, source: str, address: str) -> None:
        if source in self.paused:
            await self.paused[source].wait()
        if (source, address) in self.cut:
            await asyncio.Event().wait()


class CuttableChannel(client.Channel):
    """Channel that does not connect while its link is cut."""

    def __init__(self, links: Links, source: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port))
        self._link = (links, source, address)

    async def __connect__(self):
        links, source, address = self._link
        await links.wait_for_link(source, address)
        return await super().__connect__()


class PausableService(heartbeats.HeartbeatService):
    """Service that does not answer while its instance is paused or dead."""

    def __init__(self, view, links: Links) -> None:
        super().__init__(view)
        self._links = links
        self.is_dead = False

    async def Ping(self, stream):  # noqa: N802
        await self._links.wait_for_link(self._view.own.instance, "")
        if self.is_dead:
            raise ConnectionAbortedError
        await super().Ping(stream)


class Node:
    """One member with its server."""

    def __init__(self, view, service, peer_server, stack) -> None:
        self.view = view
        self.service = service
        self.server = peer_server
        self.stack = stack


class Fleet:
    """Members that discover each other through a shared list."""

    def __init__(self) -> None:
        self.links = Links()
        self.listed: dict[str, instances.ListedInstance] = {}
        self.nodes: dict[str, Node] = {}

    async def read(self):
        return tuple(self.listed.values())

    async def start(self, name: str, address: str = "127.0.0.1:0") -> Node:
        host, _, port = address.rpartition(":")
        stack = contextlib.AsyncExitStack()
        handlers: list = []
        peer_server = server.Server(handlers)
        own = heartbeats.make_member(name, address, "d-1", "r-1")
        view = heartbeats.HeartbeatMembership(
            own,
            self,
            PERIOD_S,
            lambda target: CuttableChannel(self.links, name, target),
        )
        service = PausableService(view, self.links)
        peer_server._mapping.update(service.__mapping__())
        await peer_server.start(host, int(port))
        port = peer_server._server.sockets[0].getsockname()[1]
        view._member_table.own = own = heartbeats.make_member(
            name, f"127.0.0.1:{port}", "d-1", "r-1"
        )
        view._member_table.set_own_state(membership.MemberState.ALIVE)
        self.listed[name] = instances.ListedInstance(
            ids.InstanceId(name), own.address, own.domain, own.region
        )
        await stack.enter_async_context(view)
        node = Node(view, service, peer_server, stack)
        self.nodes[name] = node
        return node

    async def kill(self, name: str) -> None:
        """Stops an instance without notice; it remains in the list."""
        node = self.nodes.pop(name)
        node.service.is_dead = True
        node.server.close()
        await node.stack.aclose()

    def pause(self, name: str) -> None:
        self.links.paused[name] = asyncio.Event()

    def resume(self, name: str) -> None:
        self.links.paused.pop(name).set()

    def cut(self, source: str, target: str) -> None:
        address = self.nodes[target].view.own.address
        self.links.cut.add((source, address))

    async def wait_for_state(self, name: str, state, observers=None) -> None:
        """Waits until all observers see an instance in a state.

        Args:
            name: The instance.
            state: Expected state.
            observers: Names of the observers; None means all others.
        """
        await wait_until(
            lambda: all(
                find_state(node.view, name) is state
                for other, node in self.nodes.items()
                if other != name and (observers is None or other in observers)
            )
        )

    async def wait_for_full_view(self) -> None:
        """Waits until every member has a complete view."""
        await wait_until(
            lambda: all(
                len(node.view.members) == len(self.nodes)
                for node in self.nodes.values()
            )
        )


def find_state(view, name: str):
    found = view.find(ids.InstanceId(name))
    return found.state if found else membership.MemberState.DEAD


async def wait_until(condition) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(count: int):
    fleet = Fleet()
    try:
        for number in range(count):
            await fleet.start(f"i-{number}")
        await fleet.wait_for_full_view()
        yield fleet
    finally:
        for name in list(fleet.nodes):
            await fleet.kill(name)
