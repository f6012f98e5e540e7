"""Connects the claim shards to ownership and to the other instances."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_node import _resources
from poplarwick_outcomes.claims import client
from poplarwick_outcomes.claims import remote
from poplarwick_outcomes.claims import service
from poplarwick_ownership import leases
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_peers import transport


class TenureRouter:
    """Forwards the start and end of tenures to the listener of their kind.

    Args:
        endpoints: Listener for tenures of endpoints.
        shards: Listener for tenures of claim shards.
    """

    def __init__(
        self, endpoints: tenure.TenureListener, shards: tenure.TenureListener
    ) -> None:
        self._listeners = {
            tenure.ResourceKind.ENDPOINT: endpoints,
            tenure.ResourceKind.SHARD: shards,
        }

    async def begin_tenure(self, begun: tenure.Tenure) -> None:
        """Forwards the start of a tenure."""
        await self._listeners[begun.resource.kind].begin_tenure(begun)

    async def end_tenure(
        self, ended: tenure.Tenure, *, is_planned: bool
    ) -> None:
        """Forwards the end of a tenure."""
        listener = self._listeners[ended.resource.kind]
        await listener.end_tenure(ended, is_planned=is_planned)


def make_owner_finder(
    read_view: Callable[[], document.View | None],
    owner: leases.LeaseOwnership,
    members: membership.Membership,
    channels: transport.ChannelPool,
    local: service.ClaimService,
) -> client.FindOwner:
    """Returns a function that finds the owner of a claim shard.

    The function returns None if the owner is unknown or cannot be reached.
    """

    def find_owner(shard: int) -> client.ShardPeer | None:
        view = read_view()
        resources = _resources.list_shards(view) if view is not None else ()
        if shard >= len(resources):
            return None
        instance = owner.find_owner(resources[shard])
        if instance is None:
            return None
        if instance == members.own.instance:
            return local
        member = members.find(instance)
        if member is None:
            return None
        return remote.RemotePeer(channels.get(member.address))

    return find_owner
