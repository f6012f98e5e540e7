"""Connects the fleet-wide limits to the other instances."""

from __future__ import annotations

from poplarwick_core import ids
from poplarwick_dispatch import limits
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import limit_grpc
from poplarwick_peers.wire import limit_pb2

CALL_TIMEOUT_S = 1.0


class LimitClient:
    """Calls the limit managers of other instances.

    Args:
        members: Membership of the fleet.
        channels: Connections to other instances.
    """

    def __init__(
        self, members: membership.Membership, channels: transport.ChannelPool
    ) -> None:
        self._members = members
        self._channels = channels

    def list_members(self) -> tuple[ids.InstanceId, ...]:
        """Returns the instances of this region; each runs a limit manager."""
        region = self._members.own.region
        return tuple(
            member.instance
            for member in self._members.members
            if member.region == region
        )

    async def call(
        self, instance: ids.InstanceId, request: limit_pb2.LeaseRequest
    ) -> limit_pb2.LeaseReply | None:
        """Leases shares from another instance; returns None on any failure."""
        member = self._members.find(instance)
        if member is None:
            return None
        stub = limit_grpc.LimitServiceStub(self._channels.get(member.address))
        try:
            return await stub.Lease(request, timeout=CALL_TIMEOUT_S)
        except transport.CALL_ERRORS:
            return None


def make_limit_manager(
    instance: ids.InstanceId, client: LimitClient
) -> limits.LimitManager:
    """Returns the manager of the limits that this instance accounts for."""
    return limits.LimitManager(instance, client.list_members)


def make_limiter(
    instance: ids.InstanceId, client: LimitClient, manager: limits.LimitManager
) -> limits.Limiter:
    """Returns the limiter for this instance's callers."""
    return limits.Limiter(
        instance,
        call=client.call,
        manager=manager,
        list_members=client.list_members,
    )
