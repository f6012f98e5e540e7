"""Selection of the peers that an instance monitors.

Several rings order all instances by differently seeded hashes. An instance
monitors its successor in every ring. Each instance is therefore monitored by
a constant number of others, and an update reaches the whole fleet in a number
of hops that is logarithmic in its size.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import xxhash

from poplarwick_core import ids
from poplarwick_peers import membership

RING_COUNT = 3
HELPER_COUNT = 2


class Ring:
    """Position of one instance in the hash rings.

    Args:
        own: Id of the instance.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own = own
        self._positions: dict[ids.InstanceId, tuple[int, ...]] = {}

    def choose_targets(
        self, instances: Iterable[ids.InstanceId]
    ) -> set[ids.InstanceId]:
        """Returns the instances that this instance monitors."""
        others = [i for i in instances if i != self._own]
        self._positions = {
            instance: self._positions.get(instance)
            or _compute_positions(instance)
            for instance in [*others, self._own]
        }
        return {
            min(others, key=lambda i: self._distance(i, ring))
            for ring in range(RING_COUNT if others else 0)
        }

    def choose_helpers(
        self,
        members: tuple[membership.Member, ...],
        target: membership.Member,
    ) -> list[membership.Member]:
        """Returns random alive members for an indirect probe of a target."""
        excluded = (self._own, target.instance)
        alive = [
            member
            for member in members
            if member.state is membership.MemberState.ALIVE
            and member.instance not in excluded
        ]
        return random.sample(alive, min(HELPER_COUNT, len(alive)))

    def _distance(self, instance: ids.InstanceId, ring: int) -> int:
        start = self._positions[self._own][ring]
        return (self._positions[instance][ring] - start) % 2**64


def _compute_positions(instance: ids.InstanceId) -> tuple[int, ...]:
    name = instance.encode()
    return tuple(
        xxhash.xxh3_64_intdigest(name, seed=ring) for ring in range(RING_COUNT)
    )
