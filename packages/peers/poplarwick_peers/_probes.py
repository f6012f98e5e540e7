"""Direct pings and indirect probes over gRPC."""

from __future__ import annotations

import asyncio

import grpclib
from grpclib import exceptions

from poplarwick_peers import _channel_cache
from poplarwick_peers import membership
from poplarwick_peers.wire import heartbeat_grpc
from poplarwick_peers.wire import heartbeat_pb2

_CALL_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
)


class Prober:
    """Sends pings and indirect probes.

    Args:
        channels: gRPC channels to the peers.
        timeout_s: Maximum time that a helper spends on reaching the target.
    """

    def __init__(
        self, channels: _channel_cache.ChannelCache, timeout_s: float
    ) -> None:
        self._channels = channels
        self._timeout_s = timeout_s

    async def ping(
        self,
        address: str,
        request: heartbeat_pb2.PingRequest,
        timeout_s: float,
    ) -> heartbeat_pb2.PingReply | None:
        """Returns the reply to a ping, or None on an error or timeout."""
        channel = self._channels.get(address)
        stub = heartbeat_grpc.HeartbeatServiceStub(channel)
        try:
            async with asyncio.timeout(timeout_s):
                return await stub.Ping(request)
        except _CALL_ERRORS:
            self._channels.drop(address, channel)
            return None

    async def probe_through(
        self,
        helpers: list[membership.Member],
        target: membership.Member,
        timeout_s: float,
    ) -> bool:
        """Returns whether any helper reached the target."""
        if not helpers:
            return False
        probes = [
            asyncio.create_task(self._probe(helper, target, timeout_s))
            for helper in helpers
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for task in probes:
                task.cancel()

    async def _probe(
        self,
        helper: membership.Member,
        target: membership.Member,
        timeout_s: float,
    ) -> bool:
        channel = self._channels.get(helper.address)
        request = heartbeat_pb2.ProbeRequest(
            instance=target.instance,
            address=target.address,
            timeout_s=min(timeout_s, self._timeout_s),
        )
        try:
            async with asyncio.timeout(timeout_s):
                reply = await heartbeat_grpc.HeartbeatServiceStub(
                    channel
                ).Probe(request)
        except _CALL_ERRORS:
            self._channels.drop(helper.address, channel)
            return False
        return bool(reply.is_reached)
