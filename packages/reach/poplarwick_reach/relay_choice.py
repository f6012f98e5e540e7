"""Chooses the instances that are asked to relay a connection.

Load pattern: most instances of a fleet are cut off from the endpoints, and each
of their requests needs one of the few that are not. Nobody knows which these
are before asking.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_core import ids

MAX_ASKED = 4
"""Instances that are asked for one connection, at most."""

AVOIDED_S = 1.0
"""Time for which an instance is asked last after it declined or was silent, and
at most one of these for each connection."""


class RelayChoice:
    """Remembers which instances have declined.

    Args:
        deployment_: Deployment of this instance.
        rng: Source of randomness; spreads connections over the instances.
    """

    def __init__(
        self, deployment_: deployment.Deployment, rng: random.Random
    ) -> None:
        self._deployment = deployment_
        self._rng = rng
        self._declined_at_s: dict[ids.InstanceId, float] = {}

    def record_declined(self, instance: ids.InstanceId, now_s: float) -> bool:
        """Records that an instance did not relay a connection.

        Returns:
            Whether it had not declined for a time.
        """
        is_new = not self._has_declined(instance, now_s)
        self._declined_at_s[instance] = now_s
        return is_new

    def record_relayed(self, instance: ids.InstanceId) -> None:
        """Records that an instance has relayed a connection."""
        self._declined_at_s.pop(instance, None)

    def choose(
        self,
        members: Mapping[ids.InstanceId, catalogue.MemberItem],
        now_s: float,
    ) -> list[catalogue.MemberItem]:
        """Returns the instances to ask, in this order.

        Those of the own failure domain come first, those that declined last; a
        request never leaves its region.

        Args:
            members: The known instances.
            now_s: Monotonic time.
        """
        for instance in self._declined_at_s.keys() - members.keys():
            del self._declined_at_s[instance]
        candidates = [
            member
            for member in members.values()
            if member.instance != self._deployment.instance
            and self._get_region(member) == self._deployment.region
        ]
        self._rng.shuffle(candidates)
        candidates.sort(
            key=lambda member: (
                self._has_declined(member.instance, now_s),
                member.domain != self._deployment.domain,
            )
        )
        promising = sum(
            not self._has_declined(member.instance, now_s)
            for member in candidates
        )
        return candidates[: min(promising + 1, MAX_ASKED)]

    def _has_declined(self, instance: ids.InstanceId, now_s: float) -> bool:
        declined_at_s = self._declined_at_s.get(instance, float("-inf"))
        return now_s - declined_at_s < AVOIDED_S

    def _get_region(self, member: catalogue.MemberItem) -> ids.RegionId | None:
        return self._deployment.regions_by_domain.get(member.domain)


def may_be_relayed(
    host: str,
    members: AbstractSet[str],
    address: str,
    endpoints: AbstractSet[str],
) -> bool:
    """Returns whether a connection may be relayed.

    Only other instances may ask, and only for endpoints.

    Args:
        host: Host that asks.
        members: Hosts of the known instances.
        address: Host and port that it asks for.
        endpoints: Addresses of the known endpoints.
    """
    return host in members and address in endpoints
