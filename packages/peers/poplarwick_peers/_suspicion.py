"""Suspicion timeouts of the failure detector.

A suspected instance has until the timeout to refute the suspicion. The timeout
shrinks as more instances confirm that they cannot reach it, and grows while
this instance itself appears unhealthy (Lifeguard, Dadgar et al., 2018).
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_peers import membership

CONFIRMATIONS_FOR_MIN_TIMEOUT = 2
MAX_FAILURE_SCORE = 4


class LocalHealth:
    """Estimates whether observed failures are caused by this instance."""

    def __init__(self) -> None:
        self._failure_score = 0

    @property
    def multiplier(self) -> float:
        """Timeout multiplier: 1 if healthy, up to 3."""
        return 1.0 + self._failure_score / 2

    def record_failure(self) -> None:
        """Records a sign that this instance may be the faulty one."""
        self._failure_score = min(self._failure_score + 1, MAX_FAILURE_SCORE)

    def record_success(self) -> None:
        """Records a probe that was answered in time."""
        self._failure_score = max(self._failure_score - 1, 0)


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Suspicion against one instance.

    Attributes:
        member: The member as it was when the suspicion started.
        started_s: Monotonic time at which the suspicion started.
        min_timeout_s: Timeout after enough confirmations by others.
        max_timeout_s: Timeout without confirmations by others.
        accusers: Instances that could not reach the member.
    """

    member: membership.Member
    started_s: float
    min_timeout_s: float
    max_timeout_s: float
    accusers: set[ids.InstanceId]

    @property
    def deadline_s(self) -> float:
        """Monotonic time at which the instance is declared dead.

        The formula is from section IV.B of the Lifeguard paper.
        """
        confirmations = max(0, len(self.accusers) - 1)
        fraction = math.log(confirmations + 1) / math.log(
            CONFIRMATIONS_FOR_MIN_TIMEOUT + 1
        )
        timeout_s = self.max_timeout_s - (
            self.max_timeout_s - self.min_timeout_s
        ) * min(1.0, fraction)
        return self.started_s + timeout_s


class Suspicions:
    """All suspicions that this instance holds.

    Args:
        health: Health of this instance.
        min_timeout_s: Shortest suspicion timeout, at multiplier 1.
        max_timeout_s: Longest suspicion timeout, at multiplier 1.
        find: Returns the current member table entry of an instance.
    """

    def __init__(
        self,
        health: LocalHealth,
        min_timeout_s: float,
        max_timeout_s: float,
        find: Callable[[ids.InstanceId], membership.Member | None],
    ) -> None:
        self._health = health
        self._min_timeout_s = min_timeout_s
        self._max_timeout_s = max_timeout_s
        self._find = find
        self._suspicions: dict[ids.InstanceId, Suspicion] = {}

    def accuse(
        self, member: membership.Member, accuser: ids.InstanceId
    ) -> None:
        """Starts a suspicion or adds a confirmation to it."""
        suspicion = self._suspicions.get(member.instance)
        if suspicion and suspicion.member.incarnation == member.incarnation:
            suspicion.accusers.add(accuser)
            return
        self._suspicions[member.instance] = Suspicion(
            member=member,
            started_s=clock.now_s(),
            min_timeout_s=self._min_timeout_s * self._health.multiplier,
            max_timeout_s=self._max_timeout_s * self._health.multiplier,
            accusers={accuser},
        )

    def clear(self, instance: ids.InstanceId) -> None:
        """Ends a suspicion."""
        self._suspicions.pop(instance, None)

    def find_accuser(self, instance: ids.InstanceId) -> str:
        """Returns one accuser to include in gossip, or an empty string."""
        suspicion = self._suspicions.get(instance)
        return min(suspicion.accusers) if suspicion else ""

    def restart_timers(self) -> None:
        """Restarts all suspicion timeouts, after this instance was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_s = clock.now_s()

    def pop_expired(self) -> list[membership.Member]:
        """Removes and returns the members whose timeout has expired."""
        now_s = clock.now_s()
        expired: list[membership.Member] = []
        for instance, suspicion in list(self._suspicions.items()):
            current = self._find(instance)
            if (
                current is None
                or current.incarnation > suspicion.member.incarnation
                or current.state is membership.MemberState.DEAD
            ):
                del self._suspicions[instance]
            elif suspicion.deadline_s <= now_s:
                del self._suspicions[instance]
                expired.append(current)
        return expired
