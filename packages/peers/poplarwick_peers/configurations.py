"""Passes versions of the document and held marks between instances."""

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


class Source(Protocol):
    """Answers calls of other instances."""

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns this instance's state."""
        ...

    async def receive_marks(self, data: bytes) -> None:
        """Holds marks and passes them on.

        Raises:
            errors.PoplarwickError: The bytes are not marks.
        """
        ...


class ConfigurationService(configuration_grpc.ConfigurationServiceBase):
    """Serves this instance's versions and takes marks to hold.

    Args:
        source: Answers the calls.
    """

    def __init__(self, source: Source) -> None:
        self._source = source

    async def FetchSnapshot(  # noqa: N802
        self,
        stream: server.Stream[
            configuration_pb2.FetchSnapshotRequest,
            configuration_pb2.FetchSnapshotReply,
        ],
    ) -> None:
        """Returns the state of this instance."""
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
        """Holds marks that are not stored yet."""
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
    """Calls the configuration service of other instances.

    Args:
        members: View of the other instances.
        channels: Connections to them.
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
        """Returns the other instances that are believed to live."""
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
        """Asks another instance for its state.

        Raises:
            transport.PeerError: It did not answer.
        """
        request = configuration_pb2.FetchSnapshotRequest(
            newer_than=newer_than,
            known_sections=[bytes.fromhex(d) for d in known_sections],
            wait_s=wait_s,
        )
        stub = configuration_grpc.ConfigurationServiceStub(self._open(peer))
        try:
            reply = await stub.FetchSnapshot(
                request, timeout=wait_s + CALL_TIMEOUT_S
            )
        except transport.CALL_ERRORS as error:
            raise _make_error(peer, error) from error
        return bytes(reply.snapshot)

    async def send_marks(self, peer: ids.InstanceId, marks: bytes) -> None:
        """Has another instance hold marks that are not stored yet.

        Raises:
            transport.PeerError: It did not answer.
        """
        request = configuration_pb2.HoldMarksRequest(marks=marks)
        stub = configuration_grpc.ConfigurationServiceStub(self._open(peer))
        try:
            await stub.HoldMarks(request, timeout=CALL_TIMEOUT_S)
        except transport.CALL_ERRORS as error:
            raise _make_error(peer, error) from error

    def _open(self, peer: ids.InstanceId) -> client.Channel:
        member = self._members.find(peer)
        if member is None:
            raise transport.PeerError(
                f"{peer} is not known", may_have_run=False
            )
        return self._channels.get(member.address)


def _make_error(
    peer: ids.InstanceId, error: BaseException
) -> transport.PeerError:
    reason = str(error) or type(error).__name__
    return transport.PeerError(f"{peer}: {reason}", may_have_run=True)
