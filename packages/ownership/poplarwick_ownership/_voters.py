"""Voting members of a region."""

from __future__ import annotations

from poplarwick_core import ids

VOTER_RETENTION_S = 60.0


class Voters:
    """Instances of the local region that count towards a majority.

    Args:
        own: This instance.
    """

    def __init__(self, own: ids.InstanceId) -> None:
        self._own = own
        self._seen_s: dict[ids.InstanceId, float] = {own: 0.0}

    @property
    def instances(self) -> frozenset[ids.InstanceId]:
        """The voting instances, including this one."""
        return frozenset(self._seen_s)

    @property
    def majority(self) -> int:
        """Smallest number of instances that forms a majority."""
        return len(self._seen_s) // 2 + 1

    @property
    def blocking_minority(self) -> int:
        """Smallest number of instances that can block every majority."""
        return len(self._seen_s) - self.majority + 1

    def observe(
        self,
        current: set[ids.InstanceId],
        leaving: set[ids.InstanceId],
        now_s: float,
    ) -> None:
        """Updates the voters from the current members and holders.

        An instance that is no longer current remains a voter for
        `VOTER_RETENTION_S`, unless it is leaving.

        Args:
            current: Members of the region and holders of its resources.
            leaving: Instances that are shutting down as planned.
            now_s: Monotonic time.
        """
        for instance in current | {self._own}:
            self._seen_s[instance] = now_s
        for instance, seen_s in list(self._seen_s.items()):
            is_expired = now_s - seen_s > VOTER_RETENTION_S
            if instance != self._own and (is_expired or instance in leaving):
                del self._seen_s[instance]
