"""Serves the stream by which a placer reaches this instance."""

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
    """Lets the broker follow the placers that call.

    Args:
        broker_: Broker of this instance.
    """

    def __init__(self, broker_: placement_client.PlacementClient) -> None:
        self._broker = broker_

    async def Serve(  # noqa: N802 (name of the generated method)
        self,
        stream: server.Stream[
            placement_pb2.PlacerMessage, placement_pb2.EntryMessage
        ],
    ) -> None:
        """Follows the calling placer until the stream ends."""
        first = await stream.recv_message()
        if first is None or first.WhichOneof("kind") != "opening":
            return
        outbox: message_streams.Outbox[placement_pb2.EntryMessage] = (
            message_streams.Outbox()
        )
        watchdog = message_streams.Watchdog()
        link = placement_client.PlacerConnection(
            first.opening.placer,
            first.opening.epoch,
            outbox.put,
            clock.now_s(),
        )
        if not self._broker.attach(link):
            return

        async def receive() -> None:
            async for message in stream:
                watchdog.note()
                self._broker.handle(link, message)

        async def beat() -> None:
            while self._broker.connection is link:
                outbox.put(self._broker.make_heartbeat())
                await asyncio.sleep(message_streams.HEARTBEAT_PERIOD_S)

        reason: object = "stream_ended"
        try:
            await message_streams.run_until_first_ends(
                receive(),
                outbox.send_all(stream.send_message),
                beat(),
                watchdog.wait_for_silence(lambda: outbox.is_overrun),
            )
        except Exception as error:
            reason = repr(error)
            raise
        finally:
            self._broker.detach(link, reason)
