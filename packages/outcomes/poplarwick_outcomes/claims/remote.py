"""gRPC client for shards that another instance owns."""

from __future__ import annotations

from grpclib import client

from poplarwick_outcomes.claims import _wire
from poplarwick_outcomes.claims import client as clients
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies
from poplarwick_peers import transport
from poplarwick_peers.wire import claim_grpc
from poplarwick_peers.wire import claim_pb2

CHANGE_TIMEOUT_S = 5.0
CLAIM_MARGIN_S = 1.0


class RemotePeer:
    """Calls the claim service of another instance.

    Args:
        channel: gRPC channel to the instance.
    """

    def __init__(self, channel: client.Channel) -> None:
        self._stub = claim_grpc.ClaimServiceStub(channel)

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Requests a claim; see `ShardPeer.claim`."""
        request = claim_pb2.ClaimRequest(
            attempt=_wire.encode_attempt(attempt), timeout_s=timeout_s
        )
        limit_s = timeout_s + CLAIM_MARGIN_S
        try:
            message = await self._stub.Claim(request, timeout=limit_s)
        except transport.CALL_ERRORS as error:
            raise clients.PeerError(str(error)) from error
        return _wire.decode_claim_reply(message)

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records the result of a granted claim; see `ShardPeer.resolve`."""
        request = claim_pb2.ResolveRequest(
            attempt=_wire.encode_attempt(attempt)
        )
        if answer is not None:
            request.answer.CopyFrom(_wire.encode_answer(answer))
        try:
            message = await self._stub.Resolve(
                request, timeout=CHANGE_TIMEOUT_S
            )
        except transport.CALL_ERRORS as error:
            raise clients.PeerError(str(error)) from error
        return _wire.decode_change_reply(message.result)

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Releases an unused claim; see `ShardPeer.release`."""
        request = claim_pb2.ReleaseRequest(
            attempt=_wire.encode_attempt(attempt)
        )
        try:
            message = await self._stub.Release(
                request, timeout=CHANGE_TIMEOUT_S
            )
        except transport.CALL_ERRORS as error:
            raise clients.PeerError(str(error)) from error
        return _wire.decode_change_reply(message.result)
