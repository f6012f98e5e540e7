"""What an instance can tell operators about the whole fleet."""

from __future__ import annotations

import collections
from collections.abc import Callable

from poplarwick_administration import messages
from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_node import _resources
from poplarwick_ownership import leases
from poplarwick_peers import membership


class FleetView:
    """Collects membership, versions in force and owners of endpoints.

    Args:
        read_view: Returns the configuration in force here, or None.
    """

    def __init__(self, read_view: Callable[[], document.View | None]) -> None:
        self._read_view = read_view
        self._versions: dict[ids.InstanceId, int] = {}

    def read_version(self) -> int:
        """Returns the version in force here; 0 before the first one."""
        view = self._read_view()
        return view.version if view is not None else 0

    def hear_version(self, member: membership.Member, version: int) -> None:
        """Notes the version in force at another instance."""
        known = self._versions.get(member.instance, 0)
        self._versions[member.instance] = max(known, version)

    def forget(self, instance: ids.InstanceId) -> None:
        """Drops what is known about an instance that left."""
        self._versions.pop(instance, None)

    def describe(
        self, members: membership.Membership, owner: leases.LeaseOwnership
    ) -> tuple[messages.InstanceMessage, ...]:
        """Returns what is known about each instance."""
        endpoints = self._group_endpoints(owner)
        own = members.own.instance
        return tuple(
            messages.InstanceMessage(
                instance=member.instance,
                domain=member.domain,
                region=member.region,
                state=member.state.value,
                version=(
                    self.read_version()
                    if member.instance == own
                    else self._versions.get(member.instance)
                ),
                endpoints=tuple(sorted(endpoints[member.instance])),
            )
            for member in sorted(members.members, key=lambda m: m.instance)
        )

    def _group_endpoints(
        self, owner: leases.LeaseOwnership
    ) -> collections.defaultdict[ids.InstanceId, list[str]]:
        grouped = collections.defaultdict(list)
        for resource in _resources.list_endpoints(self._read_view()):
            instance = owner.find_owner(resource)
            if instance is not None:
                grouped[instance].append(resource.id)
        return grouped
