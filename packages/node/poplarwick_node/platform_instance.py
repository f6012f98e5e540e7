"""Composition root of an instance on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

from aiohttp import web_response

from poplarwick_adapter import dialect
from poplarwick_adapter import engine_client
from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_adapter import store
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import crash_probe
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import log_events as coordination_events
from poplarwick_coordination import placement_client
from poplarwick_coordination import placement_service
from poplarwick_coordination import placer_role
from poplarwick_coordination import quarantine_keeper
from poplarwick_coordination import registration
from poplarwick_coordination import store_followers
from poplarwick_coordination import tenure
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import ended_endpoints
from poplarwick_forwarding import frontend
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import request_runner
from poplarwick_forwarding import reservations
from poplarwick_forwarding import upstream
from poplarwick_node import catalogue_metrics
from poplarwick_node import delay_guard
from poplarwick_node import log_events
from poplarwick_node import metrics_server
from poplarwick_node import page_server
from poplarwick_node import settings_follower
from poplarwick_node import stop_schedule
from poplarwick_peers import transport
from poplarwick_placement import organisation_shares
from poplarwick_platform import feed
from poplarwick_platform import kv
from poplarwick_platform import mirror
from poplarwick_reach import endpoint_reach
from poplarwick_reach import relay_server

MONITOR_PERIOD_S = 0.25
"""Period of the check for freezes, for an unavailable store and for lapsed
endpoints."""

TASK_RESTART_DELAY_S = 0.5
"""Delay before a failed task is restarted; limits the rate of its log
events."""

HANDOVER_TIMEOUT_S = 0.5
"""Time limit for the next placer to connect, which takes a few network round
trips."""

WITHDRAWAL_TIMEOUT_S = 0.5
"""Longest time for which the end waits until the store has removed this
instance's entry; a few network round trips. The placer removes it otherwise."""

WITHDRAWAL_SHARE = 0.5
"""Part of the time for releases of memory that is left to the removal of the
entry if they are slow."""

FREEZE_THRESHOLD_S = 0.5
"""Lateness of the periodic check that counts as a freeze; far above the delay
caused by a busy event loop."""


class PlatformInstance:
    """One instance: a frontend, and the placer while it holds the tenure.

    Args:
        instance_deployment: Deployment of the instance; its bounds are
            replaced when the settings change.
        read_deployment: Reads the settings file again; None if the settings
            never change.
    """

    def __init__(
        self,
        instance_deployment: deployment.Deployment,
        read_deployment: Callable[[], deployment.Deployment] | None = None,
    ) -> None:
        self.deployment = instance_deployment
        self.mirror = mirror.Mirror()
        self.catalogue = catalogue.Catalogue(
            self.mirror, entry_codec.decode_entry
        )
        self.settings = settings_follower.SettingsFollower(
            instance_deployment,
            read_deployment or (lambda: instance_deployment),
            self.catalogue.refresh,
        )
        self.buffers = buffer_budget.BufferBudget(
            buffer_budget.make_limits(instance_deployment.memory_bytes)
        )
        self._is_leaving = False
        self._stop_signal: stop_schedule.StopSignal | None = None
        self._lateness = stop_schedule.LoopLateness(MONITOR_PERIOD_S)
        self._graceful_stop = graceful_stop.GracefulStop()
        self._placer_role: placer_role.PlacerRole | None = None

    def list_largest_users(
        self,
    ) -> Sequence[organisation_shares.OrganisationUsage]:
        """Returns the organisations that exceed their shares most.

        None unless this instance runs the placer.
        """
        role = self._placer_role
        return () if role is None else role.list_largest_users()

    def record_stop_signal(self) -> None:
        """Records that the platform's grace period begins.

        The signal may have arrived while the process did not run.
        """
        if self._stop_signal is None:
            self._stop_signal = self._lateness.locate_signal(clock.now_s())

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set, then shuts down gracefully."""
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
        instance_deployment = self.deployment
        await enter(
            metrics_server.serve_metrics(instance_deployment.metrics_address)
        )
        client = await enter(
            store.StoreClient(instance_deployment.store_address)
        )
        self.store_client = client
        self.feed = feed.Feed(
            client,
            self.mirror,
            self._handle_store_reachability,
            self._needs_store,
            lambda: store_followers.needs_changes_at_once(
                instance_deployment.instance,
                self.catalogue.members,
                self.placement_client,
                is_placer=self.tenure.epoch is not None,
            ),
        )
        self.tenure = tenure.Tenure(
            client,
            self.mirror,
            keys.PLACER,
            instance_deployment.instance,
            lambda: self.catalogue.members,
            instance_deployment.lease_ttl_min_s,
            self._read_takeover_state,
        )
        self.placement_client = placement_client.PlacementClient(
            self.catalogue,
            self.mirror,
            instance_deployment,
            self.tenure.observe_epoch,
            lambda: self.feed.receives_store_updates,
            self.tenure.accept_handover,
        )
        channels = await enter(transport.ChannelPool())
        notices = self.notices = endpoint_notices.EndpointNotices(
            self.catalogue,
            self.placement_client.report_leaving,
            self.placement_client.report_limit,
        )
        reach = self.reach = endpoint_reach.EndpointReach(
            instance_deployment, self.catalogue
        )
        self.relay_server = await enter(
            relay_server.RelayServer(
                instance_deployment.relay_address,
                self.catalogue,
                lambda: reach.is_cut_off,
                reach.record_failed,
                reach.record_reached,
                self.buffers.limits.buffer_bytes,
            )
        )
        engines = await enter(
            engine_client.PlatformEngineClient(
                reach, notices.record_from_address
            )
        )
        report_reader = await enter(
            engine_client.ReportReader(reach, notices.record_from_address)
        )
        probe = crash_probe.CrashProbe(
            report_reader,
            self.catalogue,
            self.placement_client.record_report,
            self.placement_client.record_connection,
            is_paused=notices.is_paused,
        )
        self.placement_client.on_possible_crash(probe.probe)
        stack.callback(probe.stop)
        role = placer_role.PlacerRole(
            instance_deployment.instance,
            self.catalogue,
            self.mirror,
            instance_deployment,
            channels.open,
            self.placement_client,
            report_reader,
            lambda: self.feed.receives_store_updates,
            self,
            notices,
        )
        self._placer_role = role
        self.tenure.on_change(role.set_epoch)
        await enter(
            transport.PeerServer(
                instance_deployment.peer_address,
                (placement_service.PlacementService(self.placement_client),),
            )
        )
        platform_dialect = dialect.PlatformDialect()
        self._reservations = reservations.Reservations(
            engines, lambda: instance_deployment.bounds
        )
        upstream_client = await enter(
            upstream.Upstream(
                platform_dialect, reach, self.buffers.limits.buffer_bytes
            )
        )
        runner = request_runner.RequestRunner(
            self.placement_client,
            upstream_client,
            platform_dialect,
            self._reservations,
            notices,
            ended_endpoints.EndedEndpoints(
                self.catalogue,
                reach.refuses_connections,
                lambda: instance_deployment.bounds,
            ),
            self.catalogue.quarantines,
            self._graceful_stop,
        )
        self.frontend = await enter(
            frontend.Frontend(
                instance_deployment.caller_address,
                lambda: self.catalogue.routing,
                platform_dialect,
                runner,
                self.buffers,
                self._graceful_stop,
                self._list_unsent_relayed,
            )
        )
        self.catalogue.add_listener(self.frontend.handle_configuration)
        await enter(
            page_server.PageServer(
                instance_deployment.readiness_address,
                dialect.READY_PATH,
                lambda: web_response.Response(
                    status=200 if self._is_ready() else 503
                ),
            )
        )
        self.delay_guard = delay_guard.DelayGuard(
            instance_deployment,
            self.catalogue,
            self.placement_client,
            self,
            self.frontend.set_relieved,
        )
        self._registration = registration.Registration(
            client,
            self.mirror,
            self.catalogue,
            instance_deployment.instance,
            instance_deployment.peer_address,
            keys.MEMBER_PREFIX + instance_deployment.instance,
            entry_codec.encode_member(
                instance_deployment.peer_address,
                instance_deployment.strength,
                instance_deployment.domain,
            ),
        )
        self._start_task(stack, self.feed.run)
        self._start_task(stack, self.tenure.run)
        self._start_task(stack, self.placement_client.run)
        self._start_task(stack, reach.run)
        self._start_task(stack, role.run)
        self._start_task(stack, self._registration.run)
        self._start_task(stack, self._make_quarantine_keeper(client).run)
        self._start_task(stack, self.settings.run)
        if self.delay_guard.is_needed:
            self._start_task(stack, self.delay_guard.run)
        self._start_task(stack, self._monitor)

    def _make_quarantine_keeper(
        self, client: kv.KvClient
    ) -> quarantine_keeper.QuarantineKeeper:
        return quarantine_keeper.QuarantineKeeper(
            client,
            self.mirror,
            self.catalogue,
            lambda quarantine: keys.QUARANTINE_PREFIX + quarantine,
            entry_codec.encode_quarantine,
            entry_codec.decode_entry,
            lambda: self.tenure.epoch is not None,
        )

    def _start_task(
        self,
        stack: contextlib.AsyncExitStack,
        run_component: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        task = asyncio.create_task(_run_with_restarts(run_component))
        stack.callback(task.cancel)

    async def step_down(self) -> None:
        """Resigns as placer and does not campaign for a while."""
        await self.tenure.step_down()

    @property
    def is_placer(self) -> bool:
        """Whether this instance holds the tenure."""
        return self.tenure.epoch is not None

    async def hand_over_to_stronger(self) -> None:
        """Hands the tenure over to a more powerful instance, if there is one.

        The tenure is kept if none takes it.
        """
        role = self._placer_role
        if role is None or not role.hand_over(to_stronger=True):
            return
        if await self.tenure.wait_until_ended(HANDOVER_TIMEOUT_S):
            # Does not campaign again at once.
            await self.tenure.step_down()
        else:
            logs.log(log_events.HandoverUnanswered())

    async def remove_member(self, instance: ids.InstanceId) -> None:
        """Removes the store entry of an instance that no longer runs.

        An entry that its next process has written meanwhile stays.

        Raises:
            kv.KvError: The store does not answer.
        """
        key = keys.MEMBER_PREFIX + instance
        entry = self.mirror.get(key)
        if entry is None or self.mirror.is_carried(key):
            return
        result = await self.store_client.commit(
            (kv.KeyUnchanged(key, entry.mod_revision),),
            (kv.Delete(key),),
            kv.Purpose.HOUSEKEEPING,
        )
        if isinstance(result, kv.Committed):
            logs.log(coordination_events.MemberForgotten(peer=instance))

    def _read_takeover_state(self) -> tenure.TakeoverState:
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

    def _handle_store_reachability(self, reachable: bool) -> None:
        del reachable
        self.catalogue.record_store_outage()

    def _is_ready(self) -> bool:
        return (
            not self._is_leaving
            and not self.delay_guard.is_relieved
            and self.catalogue.routing is not None
            and bool(self.catalogue.endpoints)
        )

    async def _monitor(self) -> None:
        while True:
            lateness_s = self._lateness.record_check(clock.now_s())
            if lateness_s > FREEZE_THRESHOLD_S:
                logs.log(log_events.FreezeNoticed(frozen_s=lateness_s))
            if self.feed.is_store_unavailable:
                self.catalogue.record_store_outage()
            self.mirror.settle()
            self.catalogue.remove_lapsed_endpoints()
            await asyncio.sleep(MONITOR_PERIOD_S)

    async def _leave(self) -> None:
        self.record_stop_signal()
        stop_signal = self._stop_signal
        assert stop_signal is not None
        logs.write_through()
        now_s = clock.now_s()
        schedule = stop_schedule.make_schedule(
            stop_signal,
            now_s,
            self.deployment.bounds.grace_s,
            self._lateness.worst_s,
        )
        logs.log(
            log_events.Stopping(
                in_progress=self.frontend.in_progress,
                handled_after_s=now_s - stop_signal.earliest_at_s,
                ends_in_s=schedule.ends_at_s - now_s,
                cuts_in_s=schedule.cuts_at_s - now_s,
            )
        )
        self._is_leaving = True
        self.frontend.is_leaving = True
        self.placement_client.is_leaving = True
        self.relay_server.is_leaving = True
        self.frontend.refuse_from(schedule.refuses_from_s)
        self._graceful_stop.begin(
            schedule.refuses_from_s, schedule.ends_at_s, schedule.cuts_at_s
        )
        # A store that does not respond must not delay the end.
        resigning = asyncio.create_task(self._resign())
        await asyncio.sleep(schedule.listens_until_s - clock.now_s())
        await self.frontend.accept_waiting()
        self.frontend.stop_listening()
        await asyncio.gather(
            self._finish_requests(schedule), self._finish_relayed(schedule)
        )
        # Requests that are cut off release memory of engines.
        await self.frontend.close_connections(schedule.closes_until_s)
        await self._finish_releases_and_withdraw(schedule.releases_until_s)
        resigning.cancel()

    async def _finish_requests(
        self, schedule: stop_schedule.StopSchedule
    ) -> None:
        """Waits for the requests in progress until they are cut off."""
        wait_until_idle = self.frontend.wait_until_idle
        if await wait_until_idle(schedule.prepares_at_s - clock.now_s()):
            return
        # Requests still have their time.
        with _log_faults():
            self.frontend.prepare_for_end()
        if await wait_until_idle(schedule.cuts_at_s - clock.now_s()):
            return
        assert self._stop_signal is not None
        logs.log(
            log_events.StopCutsRequests(
                in_progress=self.frontend.in_progress,
                after_s=clock.now_s() - self._stop_signal.earliest_at_s,
            )
        )
        await wait_until_idle(graceful_stop.END_TIMEOUT_S)

    async def _finish_relayed(
        self, schedule: stop_schedule.StopSchedule
    ) -> None:
        """Waits for the connections that are relayed until they are cut."""
        # The requests of callers end in order whatever becomes of them.
        with _log_faults():
            await self._end_relayed(schedule)

    async def _end_relayed(self, schedule: stop_schedule.StopSchedule) -> None:
        relays = self.relay_server
        if await relays.wait_until_idle(schedule.prepares_at_s - clock.now_s()):
            return
        # Connections still have their time.
        with _log_faults():
            self.frontend.hand_over_unsent()
        if await relays.wait_until_idle(schedule.cuts_at_s - clock.now_s()):
            return
        await relays.end_connections(
            self.frontend.hand_over_unsent, graceful_stop.CATCH_UP_S
        )
        await relays.wait_until_idle(schedule.closes_until_s - clock.now_s())

    async def _finish_releases_and_withdraw(self, until_s: float) -> None:
        """Waits for releases of memory, then leaves the members.

        Releases may pass through a relay, which needs the entry. Those that
        are slow go on beside the withdrawal, so that it has time too.

        Args:
            until_s: Monotonic time at which both end.
        """
        left_s = until_s - clock.now_s()
        withdrawal_s = min(WITHDRAWAL_TIMEOUT_S, WITHDRAWAL_SHARE * left_s)
        draining = asyncio.create_task(self._drain_reservations(until_s))
        await asyncio.wait((draining,), timeout=max(left_s - withdrawal_s, 0.0))
        await asyncio.gather(draining, self._withdraw(until_s))

    def _list_unsent_relayed(self) -> list[asyncio.Transport]:
        # What callers have not read is handed over whatever becomes of it.
        with _log_faults():
            return self.relay_server.list_unsent()
        return []

    async def _drain_reservations(self, until_s: float) -> None:
        """Waits for releases of memory until a monotonic time."""
        try:
            async with asyncio.timeout(until_s - clock.now_s()):
                await self._reservations.drain()
        except TimeoutError:
            logs.log(log_events.ReleasesUnfinished())

    async def _withdraw(self, until_s: float) -> None:
        """Removes this instance from the members.

        Nothing may begin afterwards that counts on others knowing it: limits
        are divided among the members, and only members are relayed.

        Args:
            until_s: Monotonic time at which the attempt ends.
        """
        timeout_s = min(WITHDRAWAL_TIMEOUT_S, until_s - clock.now_s())
        try:
            async with asyncio.timeout(timeout_s):
                await self._registration.withdraw()
        except TimeoutError as error:
            logs.log(
                coordination_events.RegistrationNotWithdrawn(reason=repr(error))
            )

    async def _resign(self) -> None:
        """Hands the tenure over, or gives it up."""
        try:
            await self._hand_over()
            await self.tenure.resign()
        except Exception as error:
            # The lease of the tenure expires.
            logs.log(log_events.TaskFailed(reason=repr(error)))

    async def _hand_over(self) -> None:
        role = self._placer_role
        if self.tenure.epoch is None or role is None or not role.hand_over():
            return
        if not await self.tenure.wait_until_ended(HANDOVER_TIMEOUT_S):
            logs.log(log_events.HandoverUnanswered())


async def run(
    instance_deployment: deployment.Deployment,
    read_deployment: Callable[[], deployment.Deployment],
) -> None:
    """Runs an instance until the process receives SIGTERM or SIGINT.

    SIGHUP reloads the settings.

    Args:
        instance_deployment: Deployment of the instance.
        read_deployment: Reads the settings file again.
    """
    instance = PlatformInstance(instance_deployment, read_deployment)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop(*_: object) -> None:
        # Runs between two steps of a callback that takes long, in which the
        # event loop does not see signals.
        instance.record_stop_signal()
        if not loop.is_closed():
            loop.call_soon_threadsafe(stop.set)

    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, request_stop)
    loop.add_signal_handler(signal.SIGHUP, instance.settings.request_reload)
    catalogue_metrics.add_gauges(instance.catalogue)
    catalogue_metrics.add_buffer_gauge(lambda: instance.buffers.used_bytes)
    catalogue_metrics.add_usage_gauge(instance.list_largest_users)
    await instance.run(stop)


@contextlib.contextmanager
def _log_faults() -> Iterator[None]:
    """Logs an error that must not end a stop."""
    try:
        yield
    except Exception as error:
        logs.log(log_events.TaskFailed(reason=repr(error)))


async def _run_with_restarts(
    run_component: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Runs a component until cancelled; restarts it when it ends."""
    while True:
        try:
            await run_component()
        except Exception as error:
            logs.log(log_events.TaskFailed(reason=repr(error)))
        await asyncio.sleep(TASK_RESTART_DELAY_S)
