"""Selection of the instance that should own or claim a resource."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import ids
from poplarwick_ownership import _flap_damping
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _records
from poplarwick_ownership import _voters
from poplarwick_ownership import ranking
from poplarwick_ownership import tenure
from poplarwick_peers import membership

FALLBACK_DELAY_S = 3.0
_ELIGIBLE_STATES = (
    membership.MemberState.ALIVE,
    membership.MemberState.SUSPECT,
)


class Candidates:
    """Instances that are eligible to own resources of the local region.

    Attributes:
        voters: Instances whose confirmation counts during an outage.
        excluded: Instances that operators took out of service.

    Args:
        members: The membership of this instance.
        view: Owner records and live leases.
        read_clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        members: membership.Membership,
        view: _owner_view.OwnerView,
        read_clock: Callable[[], float],
    ) -> None:
        self.voters = _voters.Voters(members.own.instance)
        self.excluded: frozenset[ids.InstanceId] = frozenset()
        self._members = members
        self._view = view
        self._read_clock = read_clock
        self._flap_damping = _flap_damping.FlapDamping()
        self._instances: list[ids.InstanceId] = []
        self._vacant_since_s: dict[tenure.Resource, float] = {}

    @property
    def has_vacant(self) -> bool:
        """Whether a resource has no owner in the local view."""
        return bool(self._vacant_since_s)

    def refresh(self) -> bool:
        """Recomputes the candidates.

        Candidates hold a live lease, so that they can write claims, and have
        not flapped recently. This instance is always a candidate, unless
        operators took it out of service.

        Returns:
            Whether the candidates have changed.
        """
        now_s = self._read_clock()
        region = self._list_region_members()
        present = {m.instance for m in region if m.state in _ELIGIBLE_STATES}
        present &= self._view.holders
        self._flap_damping.observe(present, now_s)
        stable = {
            instance
            for instance in present
            if self._flap_damping.is_stable(instance, now_s)
        }
        previous = self._instances
        own = self._members.own.instance
        self._instances = sorted((stable | {own}) - self.excluded)
        return self._instances != previous

    def refresh_voters(self, resources: Iterable[tenure.Resource]) -> None:
        """Updates the voters.

        Args:
            resources: All resources of the region.
        """
        region = self._list_region_members()
        leaving = membership.MemberState.LEAVING
        self.voters.observe(
            {m.instance for m in region} | self._list_last_holders(resources),
            {m.instance for m in region if m.state is leaving},
            self._read_clock(),
        )

    @property
    def is_local_excluded(self) -> bool:
        """Whether operators took this instance out of service."""
        return self._members.own.instance in self.excluded

    def is_preferred(self, resource: tenure.Resource) -> bool:
        """Returns whether this instance should own a resource."""
        return not self.is_local_excluded and self._find_rank(resource) == 0

    def should_claim(self, resource: tenure.Resource) -> bool:
        """Returns whether this instance should claim a vacant resource.

        If higher-ranked instances do not claim it, each lower-ranked instance
        follows `FALLBACK_DELAY_S` after the one before. An instance that is
        starting does not claim until it has observed the others.
        """
        if self.is_local_excluded:
            return False
        now_s = self._read_clock()
        if self._flap_damping.is_starting(now_s):
            self._vacant_since_s.setdefault(resource, now_s)
            return False
        vacant_since_s = self._vacant_since_s.setdefault(resource, now_s)
        return (
            now_s - vacant_since_s
            >= self._find_rank(resource) * FALLBACK_DELAY_S
        )

    def record_owned(self, resource: tenure.Resource) -> None:
        """Records that a resource has an owner."""
        self._vacant_since_s.pop(resource, None)

    def retain(self, resources: set[tenure.Resource]) -> None:
        """Discards the state of all other resources."""
        for resource in set(self._vacant_since_s) - resources:
            del self._vacant_since_s[resource]

    def _list_region_members(self) -> list[membership.Member]:
        region = self._members.own.region
        return [m for m in self._members.members if m.region == region]

    def _find_rank(self, resource: tenure.Resource) -> int:
        ranked = ranking.rank_owners(resource, self._instances)
        return ranked.index(self._members.own.instance)

    def _list_last_holders(
        self, resources: Iterable[tenure.Resource]
    ) -> set[ids.InstanceId]:
        """Returns the holders in the records that were not released."""
        records = (
            self._view.find_owner(_records.make_owner_key(resource))
            for resource in resources
        )
        return {
            stored.record.instance
            for stored in records
            if stored is not None and stored.record.lease != _records.NO_LEASE
        }
