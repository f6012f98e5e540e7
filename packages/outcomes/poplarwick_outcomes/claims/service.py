"""gRPC service for the shards of claims that this instance owns."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from collections.abc import Sequence

from grpclib import server

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_outcomes.claims import _wire
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies
from poplarwick_outcomes.claims import shard as shards
from poplarwick_ownership import tenure as tenures
from poplarwick_peers.wire import claim_grpc
from poplarwick_peers.wire import claim_pb2
from poplarwick_platform import kv

MAX_CLAIM_TIMEOUT_S = 3_600.0


class ClaimService(claim_grpc.ClaimServiceBase):
    """Manages and serves the owned shards; implements `TenureListener`.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment, the first part of all keys.
        timing: Intervals and timeouts of the shards.
        wall_time_s: Returns the wall-clock time used for the age of keys.
    """

    def __init__(
        self,
        client: kv.KvClient,
        environment: str,
        timing: shards.Timing | None = None,
        wall_time_s: Callable[[], float] = clock.wall_time_s,
    ) -> None:
        self._client = client
        self._environment = environment
        self._timing = timing
        self._wall_time_s = wall_time_s
        self._shards: dict[int, shards.Shard] = {}
        # Shards are opened one at a time, so that only one of them probes the
        # key-value service during an outage.
        self._open_lock = asyncio.Lock()

    async def begin_tenure(self, tenure: tenures.Tenure) -> None:
        """Takes over a shard and starts to read it in the background."""
        if tenure.resource.kind is not tenures.ResourceKind.SHARD:
            return
        number = int(tenure.resource.id)
        await self._close_shard(number)
        journal = journals.Journal(
            self._client, self._environment, number, tenure.epoch
        )
        shard = shards.Shard(
            journal, tenure, self._timing, self._wall_time_s, self._open_lock
        )
        self._shards[number] = await shard.__aenter__()

    async def end_tenure(
        self, tenure: tenures.Tenure, *, is_planned: bool
    ) -> None:
        """Closes a shard; a planned end stores pending changes first."""
        if tenure.resource.kind is not tenures.ResourceKind.SHARD:
            return
        number = int(tenure.resource.id)
        shard = self._shards.get(number)
        if is_planned and shard is not None:
            await shard.drain()
        await self._close_shard(number)

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Grants a claim or returns the holder's result; see `Shard.claim`."""
        shard = self._shards.get(keys.find_shard(attempt.key))
        if shard is None:
            return replies.NotOwner()
        return await shard.claim(attempt, timeout_s)

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records the result of a granted claim; see `Shard.resolve`."""
        shard = self._shards.get(keys.find_shard(attempt.key))
        if shard is None:
            return replies.ChangeReply.NOT_OWNER
        return await shard.resolve(attempt, answer)

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Releases an unused claim; see `Shard.release`."""
        shard = self._shards.get(keys.find_shard(attempt.key))
        if shard is None:
            return replies.ChangeReply.NOT_OWNER
        return await shard.release(attempt)

    async def Claim(  # noqa: N802
        self,
        stream: server.Stream[claim_pb2.ClaimRequest, claim_pb2.ClaimReply],
    ) -> None:
        """Handles the `Claim` RPC."""
        request = await stream.recv_message()
        if request is None:
            return
        timeout_s = request.timeout_s
        if not math.isfinite(timeout_s):
            timeout_s = 0.0
        timeout_s = min(max(timeout_s, 0.0), MAX_CLAIM_TIMEOUT_S)
        reply = await self.claim(
            _wire.decode_attempt(request.attempt), timeout_s
        )
        await stream.send_message(_wire.encode_claim_reply(reply))

    async def Resolve(  # noqa: N802
        self,
        stream: server.Stream[claim_pb2.ResolveRequest, claim_pb2.ResolveReply],
    ) -> None:
        """Handles the `Resolve` RPC."""
        request = await stream.recv_message()
        if request is None:
            return
        answer = None
        if request.HasField("answer"):
            answer = _wire.decode_answer(request.answer)
        attempt = _wire.decode_attempt(request.attempt)
        result = _wire.encode_change_reply(await self.resolve(attempt, answer))
        await stream.send_message(claim_pb2.ResolveReply(result=result))

    async def Release(  # noqa: N802
        self,
        stream: server.Stream[claim_pb2.ReleaseRequest, claim_pb2.ReleaseReply],
    ) -> None:
        """Handles the `Release` RPC."""
        request = await stream.recv_message()
        if request is None:
            return
        attempt = _wire.decode_attempt(request.attempt)
        result = _wire.encode_change_reply(await self.release(attempt))
        await stream.send_message(claim_pb2.ReleaseReply(result=result))

    async def _close_shard(self, number: int) -> None:
        shard = self._shards.pop(number, None)
        if shard is not None:
            await shard.__aexit__(None, None, None)


def make_resources(
    regions: Sequence[ids.RegionId],
) -> tuple[tenures.Resource, ...]:
    """Returns all shards as ownership resources, spread over the regions.

    The resources are fenced: the key-value service rejects the writes of an
    earlier owner.

    Args:
        regions: Regions of the environment; shards are assigned round-robin.
    """
    return tuple(
        tenures.Resource(
            tenures.ResourceKind.SHARD,
            f"{number:02d}",
            regions[number % len(regions)],
            is_fenced=True,
        )
        for number in range(keys.SHARD_COUNT)
    )
