"""Connects the fleet-wide limits with the other instances."""

from __future__ import annotations

from poplarwick_core import ids
from poplarwick_dispatch import limits
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import limit_grpc
from poplarwick_peers.wire import limit_pb2

CALL_TIMEOUT_S = 1.0


class LimitPeers:
    """Reaches the accounts of limits that other instances keep.

    Args:
        members: View of the other instances.
        channels: Connections to them.
    """

    def __init__(
        self, members: membership.Membership, channels: transport.ChannelPool
    ) -> None:
        self._members = members
        self._channels = channels

    def list_members(self) -> tuple[ids.InstanceId, ...]:
        """Returns the instances of the region that keep accounts."""
        region = self._members.own.region
        return tuple(
            member.instance
            for member in self._members.members
            if member.region == region
        )

    async def call(
        self, instance: ids.InstanceId, request: limit_pb2.LeaseRequest
    ) -> limit_pb2.LeaseReply | None:
        """Asks another instance for shares; returns None on any failure."""
        member = self._members.find(instance)
        if member is None:
            return None
        stub = limit_grpc.LimitServiceStub(self._channels.get(member.address))
        try:
            return await stub.Lease(request, timeout=CALL_TIMEOUT_S)
        except transport.CALL_ERRORS:
            return None


def make_keeper(
    instance: ids.InstanceId, peers: LimitPeers
) -> limits.LimitManager:
    """Returns the accounts that this instance keeps for the others."""
    return limits.LimitManager(instance, peers.list_members)


def make_limiter(
    instance: ids.InstanceId, peers: LimitPeers, keeper: limits.LimitManager
) -> limits.Limiter:
    """Returns the limiter of this instance's callers."""
    return limits.Limiter(
        instance,
        call=peers.call,
        manager=keeper,
        list_members=peers.list_members,
    )
