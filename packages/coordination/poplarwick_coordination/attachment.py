"""Serves the stream by which a placer reaches this instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from poplarwick_coordination import broker
from poplarwick_coordination import links
from poplarwick_core import clock
from poplarwick_peers.wire import placement_grpc
from poplarwick_peers.wire import placement_pb2

if TYPE_CHECKING:
    from grpclib import server


class AttachmentService(placement_grpc.PlacementServiceBase):
    """Lets the broker follow the placers that call.

    Args:
        broker_: Broker of this instance.
    """

    def __init__(self, broker_: broker.Broker) -> None:
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
        outbox: links.Outbox[placement_pb2.EntryMessage] = links.Outbox()
        watchdog = links.Watchdog()
        link = broker.Link(
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
            while self._broker.link is link:
                outbox.put(self._broker.make_beat())
                await asyncio.sleep(links.BEAT_PERIOD_S)

        reason: object = "stream_ended"
        try:
            await links.run_until_first_ends(
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
