"""One running instance: what it tells and how it leaves."""

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
    """The running parts of one instance.

    Attributes:
        is_leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        checked: settings.Settings,
        documents: follower.Follower,
        members: heartbeats.HeartbeatMembership,
        local: dispatcher.Dispatcher,
        owner: leases.LeaseOwnership,
        callers: _web.WebServer,
        fleet: _fleet.FleetView,
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._began_s = clock.now_s()
        self._was_settled = False
        self._settings = checked
        self._documents = documents
        self._members = members
        self._local = local
        self._owner = owner
        self._callers = callers

    def read_view(self) -> document.View | None:
        """Returns the configuration in force."""
        return self._documents.view

    def read_readiness(self) -> str | None:
        """Returns why this instance does not serve, or None."""
        view = self._documents.view
        if self.is_leaving:
            return "the instance is leaving"
        refusal = self.read_refusal()
        if refusal is not None:
            return refusal
        if view is not None and self._is_out(view):
            return "operators took the instance out of service"
        if not self._is_settled():
            return "endpoints are finding their owners"
        return None

    def _is_settled(self) -> bool:
        """Whether endpoints have owners, or none was found in time."""
        if not self._was_settled:
            waited_s = clock.now_s() - self._began_s
            resources = _resources.list_endpoints(self.read_view())
            self._was_settled = waited_s > OWNERS_TIMEOUT_S or all(
                self._owner.find_owner(resource) for resource in resources
            )
        return self._was_settled

    def read_refusal(self) -> str | None:
        """Returns why this instance admits no request, or None."""
        if self._documents.view is None:
            return "no configuration is known yet"
        if self._documents.isolated_s > ISOLATION_LIMIT_S:
            return "cut off from the key-value service and all instances"
        return None

    def _is_out(self, view: document.View) -> bool:
        return self._settings.instance in view.document.instances_out

    def read_fleet(self) -> tuple[messages.InstanceMessage, ...]:
        """Returns what is known about all instances."""
        return self._fleet.describe(self._members, self._owner)

    async def leave(self) -> None:
        """Ends all work without cutting off a request.

        Readiness goes off first; once the balancer has noticed, what the
        instance owns is handed over and requests in progress finish.
        """
        self.is_leaving = True
        logs.log_event("leaving")
        self._members.announce_leaving()
        await asyncio.sleep(self._settings.timing.balancer_delay_s)
        await self._callers.stop_listening()
        self._local.drain()
        await self._owner.release_all()
        await self._callers.wait_idle()
