"""Runs the placer while this instance holds the tenure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from grpclib import client

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import former_members
from poplarwick_coordination import log_events
from poplarwick_coordination import message_streams
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import reports
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import organisation_shares
from poplarwick_platform import mirror

LOCAL_HEARTBEAT_PERIOD_S = 0.2
"""Interval between heartbeats from the placement client of the placer's own
instance."""

MAJORITY_POLL_PERIOD_S = 0.02
"""Interval at which a new placer checks whether it reaches a majority."""

ISOLATION_S = 1.2
"""Time without a majority after which a placer steps down. It is longer than
connecting to instances that start at the same time takes."""

FLEET_START_S = 5.0
"""Time after its own start in which an instance expects others to start too.
After a power loss the weakest ones take some seconds longer than the others."""

RESTART_DELAY_S = 0.2
"""Delay before a placer that has failed is started again."""

MEMBER_REMOVAL_S = 15.0
"""Time after which an unreachable instance is removed from the members. An
instance that was only partitioned writes its entry again."""

REMOVAL_PERIOD_S = 0.5
"""Interval at which the placer removes the entries of ended instances."""

REMOVAL_RETRY_MIN_S = 2.0
REMOVAL_RETRY_MAX_S = 5.0
"""Bounds of the delay after a removal that failed, drawn at random."""


class ClusterControl(Protocol):
    """Changes that the placer makes to cluster state in the store."""

    async def step_down(self) -> None:
        """Gives up the tenure temporarily."""
        ...

    async def remove_member(self, instance: ids.InstanceId) -> None:
        """Removes the member entry of an instance as it is known here.

        An entry that was written anew meanwhile stays.

        Raises:
            kv.KvError: The store does not answer; try again later.
        """
        ...


class PlacerRole:
    """Starts and stops the placer as the tenure changes.

    Args:
        instance: This instance.
        catalogue_: Routing configuration, endpoints and members.
        store_mirror: Local copy of the store.
        deployment_: Deployment of this instance.
        open_channel: Opens a channel to the address of an instance.
        placement_client_: Placement client of this instance.
        reader: Reads the reports of engines.
        receives_store_updates: Returns whether this instance receives updates
            from the store.
        control: Gives up the tenure and removes members in the store.
        notices: What endpoints have asked of this instance.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        catalogue_: catalogue.Catalogue,
        store_mirror: mirror.Mirror,
        deployment_: deployment.Deployment,
        open_channel: Callable[[str], client.Channel],
        placement_client_: placement_client.PlacementClient,
        reader: reports.Reader,
        receives_store_updates: Callable[[], bool],
        control: ClusterControl,
        notices: endpoint_notices.EndpointNotices,
    ) -> None:
        self._fleet_starts_until_s = clock.now_s() + FLEET_START_S
        self._former_members = former_members.FormerMembers(catalogue_)
        self._notices = notices
        self._control = control
        self._placer: placer.Placer | None = None
        self._receives_store_updates = receives_store_updates
        self._reader = reader
        self._instance = instance
        self._catalogue = catalogue_
        self._mirror = store_mirror
        self._deployment = deployment_
        self._open_channel = open_channel
        self._placement_client = placement_client_
        self._epoch: ids.Epoch | None = None
        self._changed = asyncio.Event()

    def set_epoch(self, epoch: ids.Epoch | None) -> None:
        """Sets the epoch of the tenure held; None while there is none."""
        self._epoch = epoch
        self._changed.set()

    async def run(self) -> None:
        """Runs the placer during each tenure, until cancelled."""
        # If an error ended an earlier run, the tenure is still held.
        self._changed.set()
        while True:
            await self._changed.wait()
            self._changed.clear()
            epoch = self._epoch
            if epoch is None:
                continue
            await self._run_placer(epoch)
            if self._epoch == epoch:
                # The placer has failed. The tenure is still held, so no other
                # instance takes over.
                await asyncio.sleep(RESTART_DELAY_S)
                self._changed.set()

    def hand_over(self, *, to_stronger: bool = False) -> bool:
        """Asks another instance to take the tenure over.

        Args:
            to_stronger: Whether only a more powerful instance is asked.

        Returns:
            Whether there was an instance to ask.
        """
        return self._placer is not None and self._placer.hand_over(
            above_strength=self._deployment.strength if to_stronger else 0.0
        )

    def list_largest_users(
        self,
    ) -> Sequence[organisation_shares.OrganisationUsage]:
        """Returns the organisations that exceed their shares most.

        None unless this instance runs the placer.
        """
        return () if self._placer is None else self._placer.list_largest_users()

    async def _run_placer(self, epoch: ids.Epoch) -> None:
        local_placer = self._placer = placer.Placer(
            self._instance,
            self._catalogue,
            self._mirror,
            self._deployment,
            self._open_channel,
            epoch,
            self._reader,
            self._receives_store_updates,
            self._notices,
            self._fleet_starts_until_s,
            self._former_members,
        )
        placer_task = asyncio.create_task(local_placer.run())
        # Calls to a slow store must not delay the supervision.
        removal_task = asyncio.create_task(self._run_removals(local_placer))
        try:
            await self._supervise(local_placer, epoch, placer_task)
        finally:
            self._placer = None
            removal_task.cancel()
            placer_task.cancel()
            await asyncio.wait((placer_task,))
            local_placer.stop()
            if (
                not placer_task.cancelled()
                and placer_task.exception() is not None
            ):
                logs.log(
                    log_events.PlacerFailed(
                        reason=repr(placer_task.exception())
                    )
                )

    async def _supervise(
        self,
        local_placer: placer.Placer,
        epoch: ids.Epoch,
        placer_task: asyncio.Task[None],
    ) -> None:
        """Supervises the placer until the tenure ends or the majority is lost.

        The placement client of this instance is attached only once the placer
        reaches a majority. Bin packing without knowledge of the requests of
        other instances would overload endpoints.
        """
        attached: (
            tuple[placement_client.PlacerConnection, placer.Session] | None
        ) = None
        last_majority_at_s = clock.now_s()
        try:
            while self._epoch == epoch and not placer_task.done():
                now_s = clock.now_s()
                if local_placer.has_majority:
                    last_majority_at_s = now_s
                    attached = attached or self._attach(local_placer, epoch)
                elif now_s - last_majority_at_s > ISOLATION_S:
                    logs.log(log_events.PlacerIsolated(epoch=epoch))
                    await self._control.step_down()
                    return
                if attached is not None:
                    attached[0].last_received_at_s = now_s
                    local_placer.handle(
                        attached[1], self._placement_client.make_heartbeat()
                    )
                await asyncio.sleep(
                    LOCAL_HEARTBEAT_PERIOD_S
                    if attached is not None
                    else MAJORITY_POLL_PERIOD_S
                )
        finally:
            if attached is not None:
                self._placement_client.detach(attached[0], "tenure_ended")

    async def _run_removals(self, local_placer: placer.Placer) -> None:
        """Removes the entries of ended instances until cancelled."""
        while True:
            pause_s = REMOVAL_PERIOD_S
            try:
                await self._remove_ended_members(local_placer)
            except Exception as error:
                logs.log(log_events.MemberNotForgotten(reason=repr(error)))
                pause_s = random.uniform(
                    REMOVAL_RETRY_MIN_S, REMOVAL_RETRY_MAX_S
                )
            await asyncio.sleep(pause_s)

    async def _remove_ended_members(self, local_placer: placer.Placer) -> None:
        # Without its updates, entries may be newer than they are known here.
        if self._receives_store_updates():
            for instance in local_placer.find_ended(MEMBER_REMOVAL_S):
                # It may have come back during the calls before.
                if instance in local_placer.find_ended(MEMBER_REMOVAL_S):
                    await self._control.remove_member(instance)

    def _attach(
        self, local_placer: placer.Placer, epoch: ids.Epoch
    ) -> tuple[placement_client.PlacerConnection, placer.Session]:
        sessions: list[placer.Session] = []

        def send(message: placement_pb2.EntryMessage) -> None:
            # Handling the message synchronously would re-enter the placement
            # client in the middle of an operation.
            loop.call_soon(
                message_streams.handle_message,
                self._instance,
                message,
                lambda received: local_placer.handle(sessions[0], received),
            )

        def receive(message: placement_pb2.PlacerMessage) -> None:
            self._placement_client.handle(connection, message)

        loop = asyncio.get_running_loop()
        connection = placement_client.PlacerConnection(
            self._instance,
            epoch,
            send,
            clock.now_s(),
            protocol=message_streams.PROTOCOL_VERSION,
        )
        sessions.append(local_placer.open_session(self._instance, receive))
        self._placement_client.attach(connection)
        return connection, sessions[0]
