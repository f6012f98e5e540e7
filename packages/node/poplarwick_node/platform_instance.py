"""Builds and runs one instance on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from poplarwick_adapter import dialect
from poplarwick_adapter import engine_client
from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_adapter import store
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import log_events as coordination_events
from poplarwick_coordination import placement_client
from poplarwick_coordination import placement_service
from poplarwick_coordination import placer_role
from poplarwick_coordination import registration
from poplarwick_coordination import store_followers
from poplarwick_coordination import tenure
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_forwarding import frontend
from poplarwick_forwarding import request_runner
from poplarwick_forwarding import reservations
from poplarwick_forwarding import upstream
from poplarwick_node import _telemetry
from poplarwick_node import catalogue_metrics
from poplarwick_node import log_events
from poplarwick_node import metrics_server
from poplarwick_node import page_server
from poplarwick_node import settings_follower
from poplarwick_peers import transport
from poplarwick_platform import feed
from poplarwick_platform import kv
from poplarwick_platform import mirror

BALANCER_S = 2.6
"""Time from a readiness off until the balancer has noticed: two checks a
second apart, and the way."""

EXIT_MARGIN_S = 0.6
"""Time kept of the grace period for closing what is open."""

WATCH_PERIOD_S = 0.25
"""Period of the check for freezes and for the store's return."""

RESTART_PAUSE_S = 0.5
"""Pause before a part that ended by a fault runs again; bounds its log."""

HANDOVER_S = 0.5
"""Longest wait for the next placer to call; it does within some ways."""

FREEZE_S = 0.5
"""Delay of that check that counts as a freeze; far over what a busy loop
takes."""


class PlatformInstance:
    """One instance: an entry, and the placer while it holds the tenure.

    Args:
        place: Where it runs.
        read_place: Reads the settings again; None where they stay.
    """

    def __init__(
        self,
        place: deployment.Deployment,
        read_place: Callable[[], deployment.Deployment] | None = None,
    ) -> None:
        self.deployment = place
        self.mirror = mirror.Mirror()
        self.catalogue = catalogue.Catalogue(
            self.mirror, entry_codec.decode_entry
        )
        self.settings = settings_follower.SettingsFollower(
            place, read_place or (lambda: place), self.catalogue.refresh
        )
        self._is_leaving = False

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set, then leaves gracefully."""
        async with contextlib.AsyncExitStack() as stack:
            await self._build(stack)
            logs.log(
                log_events.Started(
                    callers=self.deployment.caller_address,
                    store=self.deployment.store_address,
                    domain=self.deployment.domain,
                )
            )
            await stop.wait()
            await self._leave()
        logs.log(log_events.Stopped())

    async def _build(self, stack: contextlib.AsyncExitStack) -> None:
        enter = stack.enter_async_context
        place = self.deployment
        await enter(metrics_server.serve_metrics(place.metrics_address))
        client = await enter(store.StoreClient(place.store_address))
        self.store_client = client
        self.feed = feed.Feed(
            client, self.mirror, self._note_reachable, self._needs_store
        )
        self.tenure = tenure.Tenure(
            client,
            self.mirror,
            keys.PLACER,
            place.instance,
            lambda: self.catalogue.members,
            place.lease_ttl_min_s,
            self._read_standing,
        )
        self.placement_client = placement_client.PlacementClient(
            self.catalogue,
            self.mirror,
            place,
            self.tenure.observe_epoch,
            lambda: self.feed.receives_store_updates,
            self.tenure.accept_handover,
        )
        channels = await enter(transport.ChannelPool())
        ordering = await enter(engine_client.PlatformEngineClient())
        placing_role = placer_role.PlacerRole(
            place.instance,
            self.catalogue,
            self.mirror,
            place,
            channels.open,
            self.placement_client,
            ordering,
            lambda: self.feed.receives_store_updates,
            self,
        )
        self._placing = placing_role
        self.tenure.on_change(placing_role.set_epoch)
        await enter(
            transport.PeerServer(
                place.peer_address,
                (placement_service.PlacementService(self.placement_client),),
            )
        )
        names = dialect.PlatformDialect()
        self._reservations = reservations.Reservations(
            ordering, lambda: place.bounds
        )
        sender = await enter(upstream.Upstream(names))
        runner = request_runner.RequestRunner(
            self.placement_client, sender, names, self._reservations
        )
        self.frontend = await enter(
            frontend.Frontend(
                place.caller_address,
                lambda: self.catalogue.routing,
                names,
                runner,
            )
        )
        await enter(
            page_server.PageServer(
                place.readiness_address,
                dialect.READY_PATH,
                lambda: web.Response(status=200 if self._is_ready() else 503),
            )
        )
        register = registration.Registration(
            client,
            self.catalogue,
            place.instance,
            place.peer_address,
            keys.MEMBER_PREFIX + place.instance,
            entry_codec.encode_member(place.peer_address, place.strength),
        )
        self._start(stack, self.feed.run)
        self._start(stack, self.tenure.run)
        self._start(stack, self.placement_client.run)
        self._start(stack, placing_role.run)
        self._start(stack, register.run)
        self._start(stack, self.settings.run)
        self._start(stack, self._watch)

    def _start(
        self,
        stack: contextlib.AsyncExitStack,
        run_part: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        task = asyncio.create_task(_keep_running(run_part))
        stack.callback(task.cancel)

    async def step_down(self) -> None:
        """Ends this instance's tenure for a while."""
        await self.tenure.step_down()

    async def remove_member(self, instance: ids.InstanceId) -> None:
        """Removes the entry of an instance that is gone."""
        key = keys.MEMBER_PREFIX + instance
        try:
            await self.store_client.commit(
                (), (kv.Delete(key),), kv.Purpose.HOUSEKEEPING
            )
        except kv.KvError as error:
            logs.log(coordination_events.TenureCallFailed(reason=str(error)))
            return
        logs.log(coordination_events.MemberForgotten(peer=instance))

    def _read_standing(self) -> tenure.TakeoverState:
        disconnected_s = None
        if self.placement_client.connection is None:
            disconnected_s = (
                clock.now_s() - self.placement_client.disconnected_since_s
            )
        return tenure.TakeoverState(
            self.feed.is_store_unavailable,
            disconnected_s,
            self.placement_client.last_epoch,
        )

    def _needs_store(self) -> bool:
        if not self.mirror.revision:
            return True
        return store_followers.should_follow_store(
            self.deployment.instance,
            self.catalogue.members,
            self.placement_client,
            is_placer=self.tenure.epoch is not None,
        )

    def _note_reachable(self, reachable: bool) -> None:
        del reachable
        self.catalogue.record_store_outage()

    def _is_ready(self) -> bool:
        return (
            not self._is_leaving
            and self.catalogue.routing is not None
            and bool(self.catalogue.endpoints)
        )

    async def _watch(self) -> None:
        before_s = clock.now_s()
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            now_s = clock.now_s()
            if now_s - before_s > WATCH_PERIOD_S + FREEZE_S:
                logs.log(log_events.FreezeNoticed(frozen_s=now_s - before_s))
            before_s = now_s
            if self.feed.is_store_unavailable:
                self.catalogue.record_store_outage()
            self.catalogue.remove_lapsed_endpoints()

    async def _leave(self) -> None:
        began_s = clock.now_s()
        logs.log(log_events.Stopping(in_progress=self.frontend.in_progress))
        self._is_leaving = True
        self.frontend.is_leaving = True
        self.placement_client.is_leaving = True
        await self._hand_over()
        await self.tenure.resign()
        await asyncio.sleep(BALANCER_S)
        self.frontend.stop_listening()
        ends_s = began_s + self.deployment.bounds.grace_s - EXIT_MARGIN_S
        if not await self.frontend.wait_until_idle(ends_s - clock.now_s()):
            logs.log(
                log_events.StopCutsRequests(
                    in_progress=self.frontend.in_progress
                )
            )
        await self._reservations.drain()

    async def _hand_over(self) -> None:
        if self.tenure.epoch is None or not self._placing.hand_over():
            return
        if not await self.tenure.wait_until_ended(HANDOVER_S):
            logs.log(log_events.HandoverUnanswered())


async def run(
    place: deployment.Deployment,
    read_place: Callable[[], deployment.Deployment],
) -> None:
    """Runs an instance until the process is told to stop.

    Args:
        place: Where it runs.
        read_place: Reads that again.
    """
    instance = PlatformInstance(place, read_place)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, instance.settings.note_signal)
    _telemetry.collect_metrics()
    catalogue_metrics.add_gauges(instance.catalogue)
    await instance.run(stop)


async def _keep_running(
    run_part: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Runs a part of the instance, again after a fault, until cancelled."""
    while True:
        try:
            await run_part()
        except Exception as error:
            logs.log(log_events.TaskFailed(reason=repr(error)))
        await asyncio.sleep(RESTART_PAUSE_S)
