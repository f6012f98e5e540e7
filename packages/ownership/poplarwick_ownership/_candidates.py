"""Which instances can own the resources of a region, and whose turn it is."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import ids
from poplarwick_ownership import _records
from poplarwick_ownership import _roster
from poplarwick_ownership import _stability
from poplarwick_ownership import _view
from poplarwick_ownership import ranking
from poplarwick_ownership import tenure
from poplarwick_peers import membership

FALLBACK_S = 3.0
_CAN_OWN = (membership.MemberState.ALIVE, membership.MemberState.SUSPECT)


class Candidates:
    """Instances that can own resources of this instance's region.

    Attributes:
        roster: Instances whose confirmation counts in an outage.
        excluded: Instances that operators took out of service.

    Args:
        members: The membership of this instance.
        view: Records and living leases.
        read_clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        members: membership.Membership,
        view: _view.OwnerView,
        read_clock: Callable[[], float],
    ) -> None:
        self.roster = _roster.Roster(members.own.instance)
        self.excluded: frozenset[ids.InstanceId] = frozenset()
        self._members = members
        self._view = view
        self._read_clock = read_clock
        self._stability = _stability.Stability()
        self._instances: list[ids.InstanceId] = []
        self._vacant_s: dict[tenure.Resource, float] = {}

    @property
    def has_vacant(self) -> bool:
        """Whether a resource is known to have no owner."""
        return bool(self._vacant_s)

    def refresh(self) -> bool:
        """Finds the candidates of now; returns whether they have changed.

        Candidates hold a living lease, so they can write claims, and have
        not come and gone lately. This instance is always one, unless
        operators took it out of service.
        """
        now_s = self._read_clock()
        region = self._list_region()
        present = {m.instance for m in region if m.state in _CAN_OWN}
        present &= self._view.holders
        self._stability.observe(present, now_s)
        settled = {
            instance
            for instance in present
            if self._stability.is_settled(instance, now_s)
        }
        before = self._instances
        own = self._members.own.instance
        self._instances = sorted((settled | {own}) - self.excluded)
        return self._instances != before

    def refresh_roster(self, resources: Iterable[tenure.Resource]) -> None:
        """Takes over who may take part in a majority.

        Args:
            resources: All resources of the region.
        """
        region = self._list_region()
        leaving = membership.MemberState.LEAVING
        self.roster.observe(
            {m.instance for m in region} | self._list_recorded(resources),
            {m.instance for m in region if m.state is leaving},
            self._read_clock(),
        )

    @property
    def is_own_excluded(self) -> bool:
        """Whether operators took this instance out of service."""
        return self._members.own.instance in self.excluded

    def is_best(self, resource: tenure.Resource) -> bool:
        """Returns whether this instance should own a resource."""
        return not self.is_own_excluded and self._find_rank(resource) == 0

    def is_turn(self, resource: tenure.Resource) -> bool:
        """Returns whether this instance should claim a vacant resource.

        Lower-ranked instances step in one after the other, should the better
        ones fail to claim. An instance that starts first looks who is there.
        """
        if self.is_own_excluded:
            return False
        now_s = self._read_clock()
        if self._stability.is_starting(now_s):
            self._vacant_s.setdefault(resource, now_s)
            return False
        vacant_s = self._vacant_s.setdefault(resource, now_s)
        return now_s - vacant_s >= self._find_rank(resource) * FALLBACK_S

    def note_held(self, resource: tenure.Resource) -> None:
        """Records that a resource has an owner."""
        self._vacant_s.pop(resource, None)

    def forget_all_but(self, resources: set[tenure.Resource]) -> None:
        """Drops what is remembered of other resources."""
        for resource in set(self._vacant_s) - resources:
            del self._vacant_s[resource]

    def _list_region(self) -> list[membership.Member]:
        region = self._members.own.region
        return [m for m in self._members.members if m.region == region]

    def _find_rank(self, resource: tenure.Resource) -> int:
        ranked = ranking.rank_owners(resource, self._instances)
        return ranked.index(self._members.own.instance)

    def _list_recorded(
        self, resources: Iterable[tenure.Resource]
    ) -> set[ids.InstanceId]:
        """Returns the last holders of the region's resources."""
        records = (
            self._view.find_owner(_records.make_owner_key(resource))
            for resource in resources
        )
        return {
            known.record.instance
            for known in records
            if known is not None and known.record.lease != _records.NO_LEASE
        }
