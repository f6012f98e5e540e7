"""Runs the placer while this instance holds the tenure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from grpclib import client

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import log_events
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import reports
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import mirror

LOCAL_BEAT_S = 0.2
"""Period at which the own broker hears of the own placer."""


MAJORITY_POLL_S = 0.02
"""Period at which a new placer looks whether most instances are reached."""

ISOLATION_S = 1.2
"""Time with less than half of the instances after which a placer steps down;
longer than it takes to reach instances that start together."""

FORGET_S = 15.0
"""Time after which an instance that cannot be reached is forgotten; one that
was only cut off writes its entry anew."""


class Keep(Protocol):
    """What a placer does to the store."""

    async def step_down(self) -> None:
        """Ends the tenure for a while."""
        ...

    async def remove_member(self, instance: ids.InstanceId) -> None:
        """Removes the entry of an instance."""
        ...


class PlacerRole:
    """Starts and ends the placer as the tenure changes.

    Args:
        instance: This instance.
        known: What is routed where.
        copy: Mirror of the store.
        place: Where the instance runs.
        open_channel: Opens a connection to another instance.
        broker_: Broker of this instance.
        reader: Reads engines' reports.
        hears_store: Tells whether changes come in from the store now.
        keep: Ends the tenure and forgets instances in the store.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        known: catalogue.Catalogue,
        copy: mirror.Mirror,
        place: deployment.Deployment,
        open_channel: Callable[[str], client.Channel],
        broker_: placement_client.PlacementClient,
        reader: reports.Reader,
        hears_store: Callable[[], bool],
        keep: Keep,
    ) -> None:
        self._keep = keep
        self._placer: placer.Placer | None = None
        self._hears_store = hears_store
        self._reader = reader
        self._instance = instance
        self._catalogue = known
        self._mirror = copy
        self._deployment = place
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

    def hand_over(self) -> bool:
        """Lets another instance place; tells whether one was asked to."""
        return self._placer is not None and self._placer.hand_over()

    async def _place(self, epoch: ids.Epoch) -> None:
        own = self._placer = placer.Placer(
            self._instance,
            self._catalogue,
            self._mirror,
            self._deployment,
            self._open_channel,
            epoch,
            self._reader,
            self._hears_store,
        )
        serving = asyncio.create_task(own.run())
        try:
            await self._serve(own, epoch, serving)
        finally:
            self._placer = None
            serving.cancel()
            await asyncio.wait((serving,))
            own.stop()
            if not serving.cancelled() and serving.exception() is not None:
                logs.log(
                    log_events.PlacerFailed(reason=repr(serving.exception()))
                )

    async def _serve(
        self,
        own: placer.Placer,
        epoch: ids.Epoch,
        serving: asyncio.Task[None],
    ) -> None:
        """Serves while there is the tenure and most instances are reached.

        Requests of this instance are packed only then: packing without
        knowing the others' requests overruns endpoints.
        """
        linked: (
            tuple[placement_client.PlacerConnection, placer.Session] | None
        ) = None
        majority_at_s = clock.now_s()
        try:
            while self._epoch == epoch and not serving.done():
                now_s = clock.now_s()
                if own.has_majority:
                    majority_at_s = now_s
                    linked = linked or self._link(own, epoch)
                elif now_s - majority_at_s > ISOLATION_S:
                    logs.log(log_events.PlacerIsolated(epoch=epoch))
                    await self._keep.step_down()
                    return
                if linked is not None:
                    linked[0].heard_at_s = now_s
                    own.handle(linked[1], self._broker.make_heartbeat())
                for instance in own.find_unreachable(FORGET_S):
                    await self._keep.remove_member(instance)
                await asyncio.sleep(
                    LOCAL_BEAT_S if linked is not None else MAJORITY_POLL_S
                )
        finally:
            if linked is not None:
                self._broker.detach(linked[0], "tenure_ended")

    def _link(
        self, own: placer.Placer, epoch: ids.Epoch
    ) -> tuple[placement_client.PlacerConnection, placer.Session]:
        sessions: list[placer.Session] = []

        def send(message: placement_pb2.EntryMessage) -> None:
            # Acting at once would reenter the broker in the middle of a step.
            loop.call_soon(own.handle, sessions[0], message)

        def receive(message: placement_pb2.PlacerMessage) -> None:
            self._broker.handle(link, message)

        loop = asyncio.get_running_loop()
        link = placement_client.PlacerConnection(
            self._instance, epoch, send, clock.now_s()
        )
        sessions.append(own.open_session(self._instance, receive))
        self._broker.attach(link)
        return link, sessions[0]
