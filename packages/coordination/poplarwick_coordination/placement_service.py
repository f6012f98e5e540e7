"""Serves the gRPC stream that a placer opens to this instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from poplarwick_coordination import message_streams
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_peers.wire import placement_grpc
from poplarwick_peers.wire import placement_pb2

if TYPE_CHECKING:
    from grpclib import server


class PlacementService(placement_grpc.PlacementServiceBase):
    """Accepts streams from placers and attaches them to the placement client.

    Args:
        placement_client_: Placement client of this instance.
    """

    def __init__(
        self, placement_client_: placement_client.PlacementClient
    ) -> None:
        self._placement_client = placement_client_

    async def Serve(  # noqa: N802 (name of the generated method)
        self,
        stream: server.Stream[
            placement_pb2.PlacerMessage, placement_pb2.EntryMessage
        ],
    ) -> None:
        """Attaches the calling placer until the stream ends."""
        first_message = await stream.recv_message()
        if (
            first_message is None
            or first_message.WhichOneof("kind") != "opening"
        ):
            return
        outbox: message_streams.Outbox[placement_pb2.EntryMessage] = (
            message_streams.Outbox()
        )
        watchdog = message_streams.Watchdog()
        connection = placement_client.PlacerConnection(
            first_message.opening.placer,
            first_message.opening.epoch,
            outbox.put,
            clock.now_s(),
            protocol=first_message.opening.protocol,
        )
        if not self._placement_client.attach(connection):
            return

        receiver: message_streams.Receiver[placement_pb2.PlacerMessage] = (
            message_streams.Receiver(
                connection.placer,
                lambda message: self._placement_client.handle(
                    connection, message
                ),
            )
        )

        async def receive() -> None:
            async for message in stream:
                watchdog.record_message()
                receiver.receive(message)

        beat_period_s = first_message.opening.beat_period_s

        async def send_heartbeats() -> None:
            sent: placement_pb2.EntryMessage | None = None
            sent_at_s = 0.0
            while self._placement_client.connection is connection:
                heartbeat = self._placement_client.make_heartbeat()
                now_s = clock.now_s()
                if heartbeat != sent or now_s >= sent_at_s + beat_period_s:
                    outbox.put(heartbeat)
                    sent, sent_at_s = heartbeat, now_s
                await asyncio.sleep(message_streams.HEARTBEAT_PERIOD_S)

        reason: object = "stream_ended"
        try:
            await message_streams.run_until_first_ends(
                receive(),
                outbox.send_all(stream.send_message),
                send_heartbeats(),
                watchdog.wait_until_unresponsive(lambda: outbox.has_overflowed),
            )
        except Exception as error:
            reason = repr(error)
            raise
        finally:
            self._placement_client.detach(connection, reason)
