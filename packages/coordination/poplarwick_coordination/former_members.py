"""Remembers the members whose entries the store has lost lately.

Load pattern: instances are stopped, a cut separates some of the others from
them and from the store, and they come back on the far side. Whoever does not
hear the store does not learn that they have registered again.
"""

from __future__ import annotations

from poplarwick_catalogue import catalogue
from poplarwick_core import clock
from poplarwick_core import ids

RETENTION_S = 15.0
"""Time for which a former member is remembered; a restart takes less. The entry
of an instance that vanished is kept as long before it is removed."""


class FormerMembers:
    """The instances that are no longer members, for a while.

    Args:
        catalogue_: Routing configuration, endpoints and members.
    """

    def __init__(self, catalogue_: catalogue.Catalogue) -> None:
        self._catalogue = catalogue_
        self._members = dict(catalogue_.members)
        self._removed: dict[
            ids.InstanceId, tuple[catalogue.MemberItem, float]
        ] = {}
        catalogue_.add_listener(self._compare)

    def list_recent(
        self, now_s: float
    ) -> dict[ids.InstanceId, catalogue.MemberItem]:
        """Returns the last entries of instances removed lately.

        Args:
            now_s: Monotonic time.
        """
        for instance, (_, removed_at_s) in list(self._removed.items()):
            if now_s - removed_at_s > RETENTION_S:
                del self._removed[instance]
        return {instance: item for instance, (item, _) in self._removed.items()}

    def _compare(self) -> None:
        members = self._catalogue.members
        if members == self._members:
            return
        now_s = clock.now_s()
        for instance in self._members.keys() - members.keys():
            self._removed[instance] = (self._members[instance], now_s)
        for instance in self._removed.keys() & members.keys():
            del self._removed[instance]
        self._members = dict(members)
