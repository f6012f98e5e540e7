"""Conversion between members and their protobuf messages."""

from __future__ import annotations

from poplarwick_core import ids
from poplarwick_peers import membership
from poplarwick_peers.wire import heartbeat_pb2

_TO_WIRE = {
    membership.MemberState.ALIVE: heartbeat_pb2.MEMBER_ALIVE,
    membership.MemberState.SUSPECT: heartbeat_pb2.MEMBER_SUSPECT,
    membership.MemberState.LEAVING: heartbeat_pb2.MEMBER_LEAVING,
    membership.MemberState.DEAD: heartbeat_pb2.MEMBER_DEAD,
}
_FROM_WIRE = {wire: state for state, wire in _TO_WIRE.items()}


def encode_member(
    member: membership.Member, accuser: str = ""
) -> heartbeat_pb2.Member:
    """Returns the protobuf message of a member."""
    return heartbeat_pb2.Member(
        instance=member.instance,
        address=member.address,
        domain=member.domain,
        region=member.region,
        incarnation=member.incarnation,
        state=_TO_WIRE[member.state],
        accuser=accuser,
    )


def decode_member(message: heartbeat_pb2.Member) -> membership.Member | None:
    """Returns the member, or None if its state or id is not valid here."""
    state = _FROM_WIRE.get(message.state)
    if state is None or not message.instance:
        return None
    return membership.Member(
        instance=ids.InstanceId(message.instance),
        address=message.address,
        domain=ids.DomainId(message.domain),
        region=ids.RegionId(message.region),
        incarnation=message.incarnation,
        state=state,
    )
