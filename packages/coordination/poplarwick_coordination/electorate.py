"""Counts the instances of which a placer has to reach a majority.

Load pattern: several instances end in order at once, as in a release or when a
fleet becomes smaller, and the others go on. An instance that has announced its
end never again follows a placer as a voter, whichever one it is connected to,
so leaving it out cannot give two placers a majority each. One that vanished
without a word may run on the other side of a cut, and counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from poplarwick_core import ids
from poplarwick_platform import kv


class Electorate:
    """Tells who counts for the majority of one placer.

    Args:
        fleet_starts_until_s: Monotonic time until which other instances may
            still be starting.
    """

    def __init__(self, fleet_starts_until_s: float) -> None:
        self._fleet_starts_until_s = fleet_starts_until_s
        self._has_started: set[ids.InstanceId] = set()
        self._refuses: set[ids.InstanceId] = set()
        self._leaving: set[ids.InstanceId] = set()
        self._members: dict[ids.InstanceId, kv.Revision] = {}

    def update_members(
        self, members: Mapping[ids.InstanceId, kv.Revision]
    ) -> None:
        """Takes over a change of the members, at once.

        What is known of an instance that has registered is about the process
        before it, also if the removal of its entry was learned with that.

        Args:
            members: Revision of the entry of each member.
        """
        if members != self._members:
            for instance, revision in members.items():
                if revision != self._members.get(instance):
                    self.forget(instance)
            self._members = dict(members)

    def record_connected(self, instance: ids.InstanceId) -> None:
        """Records that an instance has accepted a connection."""
        self._has_started.add(instance)
        self._refuses.discard(instance)

    def record_refused(self, instance: ids.InstanceId) -> None:
        """Records that no process listens at the address of an instance."""
        self._refuses.add(instance)

    def record_unreachable(self, instance: ids.InstanceId) -> None:
        """Records that the network does not reach an instance."""
        self._refuses.discard(instance)

    def record_heartbeat(
        self, instance: ids.InstanceId, *, is_leaving: bool
    ) -> None:
        """Records whether an instance announces its end."""
        if is_leaving:
            self._leaving.add(instance)
        else:
            # A new process under the same name.
            self._leaving.discard(instance)

    def forget(self, instance: ids.InstanceId) -> None:
        """Forgets whether an instance leaves or its host refuses."""
        self._refuses.discard(instance)
        self._leaving.discard(instance)

    def has_ended(self, instance: ids.InstanceId) -> bool:
        """Returns whether an instance has announced its end and is gone.

        While the network reaches its host, a process that was started under
        the same name would be noticed.
        """
        return instance in self._leaving and instance in self._refuses

    def has_majority(
        self,
        others: Iterable[ids.InstanceId],
        former: Iterable[ids.InstanceId],
        served: AbstractSet[ids.InstanceId],
        now_s: float,
    ) -> bool:
        """Returns whether a placer reaches at least half of the other voters.

        While a fleet starts, those that have refused all connections count as
        reached: the network reaches them, and they run no requests.

        Args:
            others: Members except the placer's own instance.
            former: Former members that may have come back unnoticed. One whose
                host refuses connections has not.
            served: Instances that are connected to the placer.
            now_s: Monotonic time.
        """
        reached = set(served)
        if now_s < self._fleet_starts_until_s:
            reached |= self._refuses - self._has_started
        voters = [
            i
            for i in (*others, *(f for f in former if f not in self._refuses))
            if not self._is_excluded(i, served)
        ]
        return 2 * sum(i in reached for i in voters) >= len(voters)

    def _is_excluded(
        self, instance: ids.InstanceId, served: AbstractSet[ids.InstanceId]
    ) -> bool:
        return instance in self._leaving and (
            instance in served or instance in self._refuses
        )
