"""Choice of the peers that an instance watches.

Each of a few rings orders all instances by a differently seeded hash; an
instance watches its successor in every ring. So each instance is watched by
a few, whatever their number, and news crosses the fleet in a number of steps
that grows with its logarithm.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import xxhash

from poplarwick_core import ids
from poplarwick_peers import membership

RINGS = 3
HELPERS = 2


class Ring:
    """Position of one instance in the rings.

    Args:
        own: The instance.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own = own
        self._positions: dict[ids.InstanceId, tuple[int, ...]] = {}

    def choose_targets(
        self, instances: Iterable[ids.InstanceId]
    ) -> set[ids.InstanceId]:
        """Returns the instances that this one watches."""
        others = [i for i in instances if i != self._own]
        self._positions = {
            instance: self._positions.get(instance) or _hash(instance)
            for instance in [*others, self._own]
        }
        return {
            min(others, key=lambda i: self._distance(i, ring))
            for ring in range(RINGS if others else 0)
        }

    def choose_helpers(
        self,
        members: tuple[membership.Member, ...],
        target: membership.Member,
    ) -> list[membership.Member]:
        """Returns a few live members to probe a target through."""
        excluded = (self._own, target.instance)
        alive = [
            member
            for member in members
            if member.state is membership.MemberState.ALIVE
            and member.instance not in excluded
        ]
        return random.sample(alive, min(HELPERS, len(alive)))

    def _distance(self, instance: ids.InstanceId, ring: int) -> int:
        start = self._positions[self._own][ring]
        return (self._positions[instance][ring] - start) % 2**64


def _hash(instance: ids.InstanceId) -> tuple[int, ...]:
    name = instance.encode()
    return tuple(
        xxhash.xxh3_64_intdigest(name, seed=ring) for ring in range(RINGS)
    )
