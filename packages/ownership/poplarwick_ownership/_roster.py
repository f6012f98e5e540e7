"""Instances of a region that may take part in a majority."""

from __future__ import annotations

from poplarwick_core import ids

ROSTER_MEMORY_S = 60.0


class Roster:
    """Instances of the own region that may take part in a majority.

    Args:
        own: This instance.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own = own
        self._seen_s: dict[ids.InstanceId, float] = {own: 0.0}

    @property
    def instances(self) -> frozenset[ids.InstanceId]:
        """The instances, this one included."""
        return frozenset(self._seen_s)

    @property
    def majority(self) -> int:
        """Smallest number of instances that is a majority."""
        return len(self._seen_s) // 2 + 1

    @property
    def blocking(self) -> int:
        """Smallest number of instances without which there is no majority."""
        return len(self._seen_s) - self.majority + 1

    def observe(
        self,
        known: set[ids.InstanceId],
        leaving: set[ids.InstanceId],
        now_s: float,
    ) -> None:
        """Takes over what the service has told.

        Args:
            known: Members of the region and holders of its resources.
            leaving: Instances that end in a planned way.
            now_s: Monotonic time.
        """
        for instance in known | {self._own}:
            self._seen_s[instance] = now_s
        for instance, seen_s in list(self._seen_s.items()):
            is_old = now_s - seen_s > ROSTER_MEMORY_S
            if instance != self._own and (is_old or instance in leaving):
                del self._seen_s[instance]
