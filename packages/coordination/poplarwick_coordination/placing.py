"""Runs the placer while this instance holds the tenure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from grpclib import client

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import broker
from poplarwick_coordination import log_events
from poplarwick_coordination import placer
from poplarwick_coordination import reports
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import mirror

LOCAL_BEAT_S = 0.2
"""Period at which the own broker hears of the own placer."""


class PlacingRole:
    """Starts and ends the placer as the tenure changes.

    Args:
        instance: This instance.
        known: What is routed where.
        copy: Mirror of the store.
        bounds: Bounds of the deployment.
        open_channel: Opens a connection to another instance.
        broker_: Broker of this instance.
        reader: Reads engines' reports.
        hears_store: Tells whether changes come in from the store now.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        known: catalogue.Catalogue,
        copy: mirror.Mirror,
        bounds: deployment.Bounds,
        open_channel: Callable[[str], client.Channel],
        broker_: broker.Broker,
        reader: reports.Reader,
        hears_store: Callable[[], bool],
    ) -> None:
        self._hears_store = hears_store
        self._reader = reader
        self._instance = instance
        self._catalogue = known
        self._mirror = copy
        self._bounds = bounds
        self._open_channel = open_channel
        self._broker = broker_
        self._epoch: ids.Epoch | None = None
        self._changed = asyncio.Event()

    def set_epoch(self, epoch: ids.Epoch | None) -> None:
        """Notes that the tenure was taken or lost."""
        self._epoch = epoch
        self._changed.set()

    async def run(self) -> None:
        """Runs the placer whenever there is a tenure, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._epoch is not None:
                await self._place(self._epoch)

    async def _place(self, epoch: ids.Epoch) -> None:
        own = placer.Placer(
            self._instance,
            self._catalogue,
            self._mirror,
            self._bounds,
            self._open_channel,
            epoch,
            self._reader,
            self._hears_store,
        )
        serving = asyncio.create_task(own.run())
        link, session = self._link(own, epoch)
        try:
            while self._epoch == epoch and not serving.done():
                link.heard_at_s = clock.now_s()
                own.handle(session, self._broker.make_beat())
                await asyncio.sleep(LOCAL_BEAT_S)
        finally:
            serving.cancel()
            await asyncio.wait((serving,))
            own.stop()
            if not serving.cancelled() and serving.exception() is not None:
                logs.log(
                    log_events.PlacerFailed(reason=repr(serving.exception()))
                )
            self._broker.detach(link, "tenure_ended")

    def _link(
        self, own: placer.Placer, epoch: ids.Epoch
    ) -> tuple[broker.Link, placer.Session]:
        sessions: list[placer.Session] = []

        def send(message: placement_pb2.EntryMessage) -> None:
            # Acting at once would reenter the broker in the middle of a step.
            loop.call_soon(own.handle, sessions[0], message)

        def receive(message: placement_pb2.PlacerMessage) -> None:
            self._broker.handle(link, message)

        loop = asyncio.get_running_loop()
        link = broker.Link(self._instance, epoch, send, clock.now_s())
        sessions.append(own.open_session(self._instance, receive))
        self._broker.attach(link)
        return link, sessions[0]
