"""Decides which instances that have fallen behind may turn callers away.

Load pattern: many weak instances of a failure domain fall behind at once. Their
callers would overload the others, so that no more than a quarter of the
instances of a domain are relieved at a time, the first to ask first. The placer
decides, because it hears from all instances. Without a placer, or with one of
an older version, no instance is relieved, and requests are served as before.

Performs no I/O.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from poplarwick_core import ids

DOMAIN_DIVISOR = 4
"""One in so many instances of a failure domain is relieved at most."""

GRANT_TTL_S = 2.0
"""Time for which an instance is relieved after it last heard that it is; eight
heartbeats. A new placer waits as long, until the grants of its predecessor have
ended."""


class ReliefGrants:
    """Relieves the instances of a fleet.

    Args:
        began_at_s: Monotonic time at which this placer began.
    """

    def __init__(self, began_at_s: float) -> None:
        self._began_at_s = began_at_s
        self._asked_at_s: dict[ids.InstanceId, float] = {}
        self._granted_at_s: dict[ids.InstanceId, float] = {}

    def review(
        self,
        asking: AbstractSet[ids.InstanceId],
        domains: Mapping[ids.InstanceId, ids.DomainId],
        now_s: float,
    ) -> frozenset[ids.InstanceId]:
        """Returns the instances that are relieved.

        Args:
            asking: Connected instances that ask to be relieved.
            domains: Failure domains of all known instances.
            now_s: Monotonic time.
        """
        for instance in list(self._asked_at_s):
            if instance not in asking:
                del self._asked_at_s[instance]
        for instance in asking:
            self._asked_at_s.setdefault(instance, now_s)
        self._granted_at_s = {
            instance: at_s
            for instance, at_s in self._granted_at_s.items()
            # One that was lost may still act on its grant.
            if instance in asking or now_s < at_s + GRANT_TTL_S
        }
        if now_s < self._began_at_s + GRANT_TTL_S:
            return frozenset()
        sizes = collections.Counter(domains.values())
        taken = collections.Counter(
            domains[instance]
            for instance in self._granted_at_s
            if instance in domains
        )
        for instance in sorted(
            self._asked_at_s, key=self._asked_at_s.__getitem__
        ):
            domain = domains.get(instance)
            if instance in self._granted_at_s or domain is None:
                continue
            if taken[domain] < sizes[domain] // DOMAIN_DIVISOR:
                taken[domain] += 1
                self._granted_at_s[instance] = now_s
        relieved = frozenset(asking & self._granted_at_s.keys())
        for instance in relieved:
            self._granted_at_s[instance] = now_s
        return relieved
