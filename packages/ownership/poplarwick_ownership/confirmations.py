"""Agreement between instances while the key-value service is unavailable.

A holder goes on past its lease only while a majority of its region confirms
that the service is unavailable to them too. An instance that claims after an
unplanned end begins only once it has told so many others that no such
majority can exist any more.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from grpclib import client
from grpclib import server

from poplarwick_core import ids
from poplarwick_ownership import _records
from poplarwick_ownership import _view
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import ownership_grpc
from poplarwick_peers.wire import ownership_pb2
from poplarwick_platform import kv

ROUND_TIMEOUT_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Answer of one instance to a holder that wants to go on.

    Attributes:
        is_service_unavailable: The service is unavailable to it too.
        is_superseded: It knows that the lease or a tenure has ended.
    """

    is_service_unavailable: bool
    is_superseded: bool


class OwnershipClient(Protocol):
    """Calls to other instances; None and False mean no answer."""

    async def confirm(
        self,
        member: membership.Member,
        lease: kv.LeaseId,
        tenures: tuple[tenure.Tenure, ...],
    ) -> Vote | None:
        """Asks whether this instance may go on past its lease."""
        ...

    async def announce(
        self,
        member: membership.Member,
        resources: dict[tenure.Resource, ids.Epoch],
    ) -> bool:
        """Tells about claims; returns whether they were heard."""
        ...


class GrpcOwnershipClient:
    """Implements `OwnershipClient` over gRPC.

    Args:
        instance: Id of this instance.
        find_channel: Returns the channel to an address.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        find_channel: Callable[[str], client.Channel],
    ) -> None:
        self._instance = instance
        self._find_channel = find_channel

    async def confirm(
        self,
        member: membership.Member,
        lease: kv.LeaseId,
        tenures: tuple[tenure.Tenure, ...],
    ) -> Vote | None:
        """Asks whether this instance may go on past its lease."""
        held = {t.resource: t.epoch for t in tenures}
        request = ownership_pb2.ConfirmRequest(
            instance=self._instance,
            lease=lease,
            tenures=_encode_tenures(held),
        )
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                reply = await self._connect(member).Confirm(request)
        except transport.CALL_ERRORS:
            return None
        return Vote(reply.is_service_unavailable, reply.is_superseded)

    async def announce(
        self,
        member: membership.Member,
        resources: dict[tenure.Resource, ids.Epoch],
    ) -> bool:
        """Tells about claims; returns whether they were heard."""
        request = ownership_pb2.AnnounceRequest(
            tenures=_encode_tenures(resources)
        )
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                await self._connect(member).Announce(request)
        except transport.CALL_ERRORS:
            return False
        return True

    def _connect(
        self, member: membership.Member
    ) -> ownership_grpc.OwnershipServiceStub:
        channel = self._find_channel(member.address)
        return ownership_grpc.OwnershipServiceStub(channel)


class OwnershipService(ownership_grpc.OwnershipServiceBase):
    """Answers other instances' questions about ownership.

    Args:
        view: Records as this instance knows them.
        is_unavailable: Returns whether the service is unavailable here.
    """

    def __init__(
        self, view: _view.OwnerView, is_unavailable: Callable[[], bool]
    ) -> None:
        self._view = view
        self._is_unavailable = is_unavailable
        self._announced: dict[str, int] = {}

    def vote(self, lease: kv.LeaseId, held: dict[str, int]) -> Vote:
        """Returns this instance's vote on tenures given by record key."""
        is_superseded = self._view.is_lease_ended(lease) or any(
            self._find_newest(key) > epoch for key, epoch in held.items()
        )
        can_tell = self._view.is_loaded and self._is_unavailable()
        return Vote(can_tell, is_superseded)

    def hear(self, claimed: dict[str, int]) -> None:
        """Remembers claims that the service may not have told yet."""
        for key, epoch in claimed.items():
            self._announced[key] = max(epoch, self._announced.get(key, 0))

    async def Confirm(  # noqa: N802
        self,
        stream: server.Stream[
            ownership_pb2.ConfirmRequest, ownership_pb2.ConfirmReply
        ],
    ) -> None:
        """Votes on a holder that wants to go on past its lease."""
        request = await stream.recv_message()
        if request is None:
            return
        vote = self.vote(
            kv.LeaseId(request.lease), _decode_tenures(request.tenures)
        )
        await stream.send_message(
            ownership_pb2.ConfirmReply(
                is_service_unavailable=vote.is_service_unavailable,
                is_superseded=vote.is_superseded,
            )
        )

    async def Announce(  # noqa: N802
        self,
        stream: server.Stream[
            ownership_pb2.AnnounceRequest, ownership_pb2.AnnounceReply
        ],
    ) -> None:
        """Hears about claims after unplanned ends."""
        request = await stream.recv_message()
        if request is None:
            return
        self.hear(_decode_tenures(request.tenures))
        await stream.send_message(ownership_pb2.AnnounceReply())

    def _find_newest(self, key: str) -> int:
        known = self._view.find_owner(key)
        newest = int(known.revision) if known else 0
        return max(newest, self._announced.get(key, 0))


def _encode_tenures(
    held: dict[tenure.Resource, ids.Epoch],
) -> list[ownership_pb2.Tenure]:
    return [
        ownership_pb2.Tenure(
            kind=resource.kind.value, resource=resource.id, epoch=epoch
        )
        for resource, epoch in held.items()
    ]


def _decode_tenures(
    wire: Iterable[ownership_pb2.Tenure],
) -> dict[str, int]:
    return {
        f"{_records.PREFIX}{told.kind}/{told.resource}": told.epoch
        for told in wire
    }
