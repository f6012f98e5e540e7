"""Agreement between instances while the key-value service is unavailable.

A holder continues past the expiry of its lease only while a majority of its
region confirms that the service is unavailable to them as well. A claim that
follows an unplanned end takes effect only after so many other instances have
acknowledged it that no such majority can exist any longer.
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
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _records
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import ownership_grpc
from poplarwick_peers.wire import ownership_pb2
from poplarwick_platform import kv

CALL_TIMEOUT_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Response of one instance to a confirmation request.

    Attributes:
        is_service_unavailable: Whether the key-value service is unavailable
            to the voter.
        is_superseded: Whether the voter has seen the end of the lease or a
            newer epoch of a tenure.
    """

    is_service_unavailable: bool
    is_superseded: bool


class OwnershipClient(Protocol):
    """Client of the ownership service; None and False mean no response."""

    async def confirm(
        self,
        member: membership.Member,
        lease: kv.LeaseId,
        tenures: tuple[tenure.Tenure, ...],
    ) -> Vote | None:
        """Asks whether this instance may continue past its lease."""
        ...

    async def announce(
        self,
        member: membership.Member,
        resources: dict[tenure.Resource, ids.Epoch],
    ) -> bool:
        """Announces claims and returns whether they were acknowledged."""
        ...


class GrpcOwnershipClient:
    """Implements `OwnershipClient` over gRPC.

    Args:
        instance: Id of this instance.
        find_channel: Returns the gRPC channel to an address.
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
        """Asks whether this instance may continue past its lease."""
        epochs = {t.resource: t.epoch for t in tenures}
        request = ownership_pb2.ConfirmRequest(
            instance=self._instance,
            lease=lease,
            tenures=_encode_tenures(epochs),
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await self._connect(member).Confirm(request)
        except transport.CALL_ERRORS:
            return None
        return Vote(reply.is_service_unavailable, reply.is_superseded)

    async def announce(
        self,
        member: membership.Member,
        resources: dict[tenure.Resource, ids.Epoch],
    ) -> bool:
        """Announces claims and returns whether they were acknowledged."""
        request = ownership_pb2.AnnounceRequest(
            tenures=_encode_tenures(resources)
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
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
    """gRPC service for confirmation requests and claim announcements.

    Args:
        view: Owner records as seen by this instance.
        is_service_unavailable: Returns whether the key-value service is
            unavailable to this instance.
    """

    def __init__(
        self,
        view: _owner_view.OwnerView,
        is_service_unavailable: Callable[[], bool],
    ) -> None:
        self._view = view
        self._is_service_unavailable = is_service_unavailable
        self._announced: dict[str, int] = {}

    def vote(self, lease: kv.LeaseId, epochs: dict[str, int]) -> Vote:
        """Votes on whether a holder may continue past its lease.

        Args:
            lease: Lease of the holder.
            epochs: Epochs of the holder's tenures by record key.
        """
        is_superseded = self._view.is_lease_ended(lease) or any(
            self._find_newest_epoch(key) > epoch
            for key, epoch in epochs.items()
        )
        is_unavailable = self._view.is_loaded and self._is_service_unavailable()
        return Vote(is_unavailable, is_superseded)

    def record_claims(self, claimed: dict[str, int]) -> None:
        """Records announced claims that the view may not contain yet.

        Args:
            claimed: Epochs of the claims by record key.
        """
        for key, epoch in claimed.items():
            self._announced[key] = max(epoch, self._announced.get(key, 0))

    async def Confirm(  # noqa: N802
        self,
        stream: server.Stream[
            ownership_pb2.ConfirmRequest, ownership_pb2.ConfirmReply
        ],
    ) -> None:
        """Votes on whether a holder may continue past its lease."""
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
        """Records claims that follow unplanned ends."""
        request = await stream.recv_message()
        if request is None:
            return
        self.record_claims(_decode_tenures(request.tenures))
        await stream.send_message(ownership_pb2.AnnounceReply())

    def _find_newest_epoch(self, key: str) -> int:
        stored = self._view.find_owner(key)
        newest_epoch = int(stored.revision) if stored else 0
        return max(newest_epoch, self._announced.get(key, 0))


def _encode_tenures(
    epochs: dict[tenure.Resource, ids.Epoch],
) -> list[ownership_pb2.Tenure]:
    return [
        ownership_pb2.Tenure(
            kind=resource.kind.value, resource=resource.id, epoch=epoch
        )
        for resource, epoch in epochs.items()
    ]


def _decode_tenures(
    messages: Iterable[ownership_pb2.Tenure],
) -> dict[str, int]:
    return {
        f"{_records.PREFIX}{message.kind}/{message.resource}": message.epoch
        for message in messages
    }
