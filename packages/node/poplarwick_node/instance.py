"""A running instance: its readiness, its view of the fleet, its shutdown."""

from __future__ import annotations

import asyncio

from poplarwick_administration import messages
from poplarwick_configuration import document
from poplarwick_configuration import follower
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_dispatch import dispatcher
from poplarwick_node import _fleet
from poplarwick_node import _resources
from poplarwick_node import _web
from poplarwick_node import settings
from poplarwick_ownership import leases
from poplarwick_peers import heartbeats

ISOLATION_LIMIT_S = 10.0
OWNERS_TIMEOUT_S = 5.0


class Instance:
    """The running components of one instance.

    Attributes:
        is_leaving: Whether a graceful shutdown has begun.
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
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._started_s = clock.now_s()
        self._were_owners_found = False
        self._settings = instance_settings
        self._documents = documents
        self._members = members
        self._local = local
        self._owner = owner
        self._callers = callers

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

    async def leave(self) -> None:
        """Shuts the instance down gracefully, without aborting requests.

        Readiness is turned off first. Once the load balancer has noticed, the
        owned resources are handed over and requests in progress finish.
        """
        self.is_leaving = True
        logs.log_event("leaving")
        self._members.announce_leaving()
        await asyncio.sleep(self._settings.timing.balancer_delay_s)
        await self._callers.stop_listening()
        self._local.drain()
        await self._owner.release_all()
        await self._callers.wait_idle()
