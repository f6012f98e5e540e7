"""Exchange of configuration snapshots and drain marks between instances."""

from __future__ import annotations

from typing import Protocol

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server

from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import configuration_grpc
from poplarwick_peers.wire import configuration_pb2

CALL_TIMEOUT_S = 5.0
MAX_WAIT_S = 10.0


class ConfigurationSource(Protocol):
    """Handles configuration calls from other instances."""

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns the serialized configuration state of this instance.

        Args:
            newer_than: Version that the caller has. The call waits for a
                newer one.
            known_sections: Hex digests of the sections that the caller has.
            wait_s: Maximum wait for a newer version.
        """
        ...

    async def receive_marks(self, data: bytes) -> None:
        """Holds drain marks and forwards them.

        Raises:
            errors.PoplarwickError: The data does not decode to drain marks.
        """
        ...


class ConfigurationService(configuration_grpc.ConfigurationServiceBase):
    """gRPC service for configuration snapshots and drain marks.

    Args:
        source: Handles the calls.
    """

    def __init__(self, source: ConfigurationSource) -> None:
        self._source = source

    async def FetchSnapshot(  # noqa: N802
        self,
        stream: server.Stream[
            configuration_pb2.FetchSnapshotRequest,
            configuration_pb2.FetchSnapshotReply,
        ],
    ) -> None:
        """Returns the configuration state of this instance."""
        request = await stream.recv_message()
        assert request is not None
        data = await self._source.make_snapshot(
            request.newer_than,
            tuple(digest.hex() for digest in request.known_sections),
            min(request.wait_s, MAX_WAIT_S),
        )
        reply = configuration_pb2.FetchSnapshotReply(snapshot=data)
        await stream.send_message(reply)

    async def HoldMarks(  # noqa: N802
        self,
        stream: server.Stream[
            configuration_pb2.HoldMarksRequest,
            configuration_pb2.HoldMarksReply,
        ],
    ) -> None:
        """Holds drain marks that are not stored yet."""
        request = await stream.recv_message()
        assert request is not None
        try:
            await self._source.receive_marks(request.marks)
        except errors.PoplarwickError as error:
            raise exceptions.GRPCError(
                const.Status.INVALID_ARGUMENT, str(error)
            ) from error
        await stream.send_message(configuration_pb2.HoldMarksReply())


class ConfigurationExchange:
    """Client of the configuration service of other instances.

    Args:
        members: Membership view of this instance.
        channels: gRPC channels to the other instances.
    """

    def __init__(
        self, members: membership.Membership, channels: transport.ChannelPool
    ) -> None:
        self._members = members
        self._channels = channels

    @property
    def own(self) -> ids.InstanceId:
        """This instance."""
        return self._members.own.instance

    def list_peers(self) -> tuple[ids.InstanceId, ...]:
        """Returns the other instances that are not dead."""
        return tuple(
            member.instance
            for member in self._members.members
            if member.instance != self.own
            and member.state is not membership.MemberState.DEAD
        )

    async def fetch_snapshot(
        self,
        peer: ids.InstanceId,
        *,
        newer_than: int,
        known_sections: tuple[str, ...],
        wait_s: float,
    ) -> bytes:
        """Fetches the configuration state of another instance.

        Args:
            peer: The instance to call.
            newer_than: Version known here; the peer waits for a newer one.
            known_sections: Hex digests of the sections known here.
            wait_s: Maximum time that the peer waits.

        Raises:
            transport.PeerError: The call failed.
        """
        request = configuration_pb2.FetchSnapshotRequest(
            newer_than=newer_than,
            known_sections=[bytes.fromhex(d) for d in known_sections],
            wait_s=wait_s,
        )
        stub = configuration_grpc.ConfigurationServiceStub(
            self._get_channel(peer)
        )
        try:
            reply = await stub.FetchSnapshot(
                request, timeout=wait_s + CALL_TIMEOUT_S
            )
        except transport.CALL_ERRORS as error:
            raise _make_error(peer, error) from error
        return bytes(reply.snapshot)

    async def send_marks(self, peer: ids.InstanceId, marks: bytes) -> None:
        """Sends drain marks that are not stored yet to another instance.

        Raises:
            transport.PeerError: The call failed.
        """
        request = configuration_pb2.HoldMarksRequest(marks=marks)
        stub = configuration_grpc.ConfigurationServiceStub(
            self._get_channel(peer)
        )
        try:
            await stub.HoldMarks(request, timeout=CALL_TIMEOUT_S)
        except transport.CALL_ERRORS as error:
            raise _make_error(peer, error) from error

    def _get_channel(self, peer: ids.InstanceId) -> client.Channel:
        member = self._members.find(peer)
        if member is None:
            raise transport.PeerError(
                f"instance {peer} is unknown or dead", may_have_run=False
            )
        return self._channels.get(member.address)


def _make_error(
    peer: ids.InstanceId, error: BaseException
) -> transport.PeerError:
    reason = str(error) or type(error).__name__
    return transport.PeerError(f"{peer}: {reason}", may_have_run=True)
