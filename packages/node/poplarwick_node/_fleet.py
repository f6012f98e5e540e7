"""An instance's view of the fleet, shown to operators."""

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
    """Combines membership, configuration versions and endpoint owners.

    Args:
        read_view: Returns the configuration in force at this instance, or
            None.
    """

    def __init__(self, read_view: Callable[[], document.View | None]) -> None:
        self._read_view = read_view
        self._versions: dict[ids.InstanceId, int] = {}

    def read_version(self) -> int:
        """Returns the version in force at this instance; 0 before the first."""
        view = self._read_view()
        return view.version if view is not None else 0

    def record_version(self, member: membership.Member, version: int) -> None:
        """Records the version in force at another instance."""
        previous = self._versions.get(member.instance, 0)
        self._versions[member.instance] = max(previous, version)

    def remove_instance(self, instance: ids.InstanceId) -> None:
        """Drops the recorded version of an instance that is dead."""
        self._versions.pop(instance, None)

    def describe(
        self, members: membership.Membership, owner: leases.LeaseOwnership
    ) -> tuple[messages.InstanceMessage, ...]:
        """Returns the state, version and owned endpoints of each instance."""
        endpoints = self._group_endpoints(owner)
        local = members.own.instance
        return tuple(
            messages.InstanceMessage(
                instance=member.instance,
                domain=member.domain,
                region=member.region,
                state=member.state.value,
                version=(
                    self.read_version()
                    if member.instance == local
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
