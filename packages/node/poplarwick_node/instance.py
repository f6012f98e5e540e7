"""A running instance: its readiness, its view of the fleet, its shutdown."""

from __future__ import annotations

import asyncio
import math

from poplarwick_administration import messages
from poplarwick_configuration import document
from poplarwick_configuration import follower
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_dispatch import dispatcher
from poplarwick_forwarding import graceful_stop
from poplarwick_node import _fleet
from poplarwick_node import _resources
from poplarwick_node import _web
from poplarwick_node import log_events
from poplarwick_node import settings
from poplarwick_node import stop_schedule
from poplarwick_ownership import leases
from poplarwick_peers import heartbeats

ISOLATION_LIMIT_S = 10.0
OWNERS_TIMEOUT_S = 5.0

RELEASE_TIMEOUT_S = 10.0
"""Longest wait for the handover of resources after the last request; their
leases expire by themselves."""

EXIT_TIME_S = 0.2
"""Part of the grace period in which the interpreter ends; in the product's own
mode it has more modules to clean up."""


class Instance:
    """The running components of one instance.

    Attributes:
        is_leaving: Whether a graceful shutdown has begun.
        exits_by_s: Monotonic time by which the components have to be closed;
            None for any.
    """

    def __init__(
        self,
        instance_settings: settings.Settings,
        documents: follower.Follower,
        members: heartbeats.HeartbeatMembership,
        local: dispatcher.Dispatcher,
        owner: leases.LeaseOwnership,
        callers: _web.WebServer,
        fleet: _fleet.FleetView,
        stop: graceful_stop.GracefulStop,
    ) -> None:
        self.is_leaving = False
        self.exits_by_s: float | None = None
        self._fleet = fleet
        self._started_s = clock.now_s()
        self._were_owners_found = False
        self._settings = instance_settings
        self._documents = documents
        self._members = members
        self._local = local
        self._owner = owner
        self._callers = callers
        self._graceful_stop = stop

    def read_view(self) -> document.View | None:
        """Returns the configuration in force, or None before the first one."""
        return self._documents.view

    def read_unready_reason(self) -> str | None:
        """Returns why this instance is not ready, or None if it is."""
        view = self._documents.view
        if self.is_leaving:
            return "the instance is leaving"
        reason = self.read_refusal_reason()
        if reason is not None:
            return reason
        if view is not None and self._is_taken_out(view):
            return "operators took the instance out of service"
        if not self._are_owners_found():
            return "not all endpoints have an owner yet"
        return None

    def _are_owners_found(self) -> bool:
        """Whether all endpoints have owners or the wait for them timed out."""
        if not self._were_owners_found:
            waited_s = clock.now_s() - self._started_s
            resources = _resources.list_endpoints(self.read_view())
            self._were_owners_found = waited_s > OWNERS_TIMEOUT_S or all(
                self._owner.find_owner(resource) for resource in resources
            )
        return self._were_owners_found

    def read_stop_reason(self) -> str | None:
        """Returns why this instance refuses further requests, or None."""
        return "the instance is stopping" if self._callers.is_closed else None

    def read_refusal_reason(self) -> str | None:
        """Returns why this instance refuses all requests, or None."""
        if self._documents.view is None:
            return "no configuration is known yet"
        if self._documents.isolated_s > ISOLATION_LIMIT_S:
            return "cannot reach the key-value service or any other instance"
        return None

    def _is_taken_out(self, view: document.View) -> bool:
        return self._settings.instance in view.document.instances_out

    def read_fleet(self) -> tuple[messages.InstanceMessage, ...]:
        """Returns the known state of all instances."""
        return self._fleet.describe(self._members, self._owner)

    async def leave(
        self, stop_signal: stop_schedule.StopSignal, lateness_s: float
    ) -> None:
        """Shuts the instance down gracefully, without aborting requests.

        Readiness is turned off first. Once the load balancer has noticed, the
        owned resources are handed over and requests in progress finish.
        Connections are closed after their next response.

        Args:
            stop_signal: When the signal arrived.
            lateness_s: Time by which the event loop runs late.
        """
        now_s = clock.now_s()
        schedule = self._make_schedule(stop_signal, now_s, lateness_s)
        logs.log(
            log_events.Stopping(
                in_progress=self._callers.in_progress,
                handled_after_s=now_s - stop_signal.earliest_at_s,
                ends_in_s=schedule.ends_at_s - now_s,
                cuts_in_s=schedule.cuts_at_s - now_s,
            )
        )
        self.is_leaving = True
        self._callers.is_leaving = True
        self._members.announce_leaving()
        if schedule.ends_at_s < math.inf:
            self.exits_by_s = schedule.killed_at_s
            self._graceful_stop.begin(
                schedule.refuses_from_s, schedule.ends_at_s, schedule.cuts_at_s
            )
        await asyncio.sleep(schedule.listens_until_s - clock.now_s())
        await self._callers.stop_listening()
        self._local.drain()
        # A key-value service that does not respond must not delay the end.
        releasing = asyncio.create_task(self._release_resources())
        if not await self._callers.wait_until_idle(
            schedule.cuts_at_s - clock.now_s()
        ):
            logs.log(
                log_events.StopCutsRequests(
                    in_progress=self._callers.in_progress,
                    after_s=clock.now_s() - stop_signal.earliest_at_s,
                )
            )
            # Answers of requests that end now are on their way.
            await self._callers.wait_until_idle(graceful_stop.END_TIMEOUT_S)
        await self._callers.close_connections(schedule.closes_until_s)
        until_s = min(
            schedule.releases_until_s, clock.now_s() + RELEASE_TIMEOUT_S
        )
        await asyncio.wait((releasing,), timeout=until_s - clock.now_s())
        releasing.cancel()

    def _make_schedule(
        self,
        stop_signal: stop_schedule.StopSignal,
        now_s: float,
        lateness_s: float,
    ) -> stop_schedule.StopSchedule:
        timing = self._settings.timing
        grace_s = math.inf if timing.grace_s is None else timing.grace_s
        schedule = stop_schedule.make_schedule(
            stop_signal, now_s, grace_s - EXIT_TIME_S, lateness_s
        )
        delay_s = timing.balancer_delay_s
        return schedule._replace(
            refuses_from_s=min(
                stop_signal.earliest_at_s + delay_s, schedule.ends_at_s
            ),
            listens_until_s=min(now_s + delay_s, schedule.ends_at_s),
        )

    async def _release_resources(self) -> None:
        """Hands over the owned resources."""
        try:
            await self._owner.release_all()
        except Exception as error:
            # Their leases expire.
            logs.log(log_events.TaskFailed(reason=repr(error)))
