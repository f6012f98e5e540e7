"""Time that a suspected instance has to refute the suspicion.

The time shrinks as more instances confirm that they cannot reach it, and
grows with this instance's own trouble (Lifeguard, Dadgar et al., 2018).
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_peers import membership

CONFIRMATIONS_FOR_MINIMUM = 2
MAX_TROUBLE = 4


class LocalHealth:
    """How far this instance should doubt its own observations."""

    def __init__(self) -> None:
        self._trouble = 0

    @property
    def factor(self) -> float:
        """Multiplier of timeouts: 1 when healthy."""
        return 1.0 + self._trouble / 2

    def note_trouble(self) -> None:
        """Records a sign that the fault may lie with this instance."""
        self._trouble = min(self._trouble + 1, MAX_TROUBLE)

    def note_success(self) -> None:
        """Records a probe that was answered in time."""
        self._trouble = max(self._trouble - 1, 0)


@dataclasses.dataclass(slots=True)
class Suspicion:
    """One suspected instance.

    Attributes:
        member: The instance as it was when the suspicion began.
        started_s: Monotonic time of the beginning.
        min_s: Time to refute once enough others have confirmed.
        max_s: Time to refute while no one else has confirmed.
        accusers: Instances that could not reach it.
    """

    member: membership.Member
    started_s: float
    min_s: float
    max_s: float
    accusers: set[ids.InstanceId]

    @property
    def deadline_s(self) -> float:
        """Monotonic time at which the instance counts as dead.

        The formula is that of Lifeguard, section IV.B.
        """
        confirmations = max(0, len(self.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(
            CONFIRMATIONS_FOR_MINIMUM + 1
        )
        span_s = self.max_s - (self.max_s - self.min_s) * min(1.0, share)
        return self.started_s + span_s


class Suspicions:
    """All suspicions of this instance.

    Args:
        health: This instance's own health.
        min_s: Shortest time to refute.
        max_s: Longest time to refute at full health.
        find: Returns the current belief about an instance.
    """

    def __init__(
        self,
        health: LocalHealth,
        min_s: float,
        max_s: float,
        find: Callable[[ids.InstanceId], membership.Member | None],
    ) -> None:
        self._health = health
        self._min_s = min_s
        self._max_s = max_s
        self._find = find
        self._suspicions: dict[ids.InstanceId, Suspicion] = {}

    def accuse(
        self, member: membership.Member, accuser: ids.InstanceId
    ) -> None:
        """Starts or confirms a suspicion."""
        known = self._suspicions.get(member.instance)
        if known and known.member.incarnation == member.incarnation:
            known.accusers.add(accuser)
            return
        self._suspicions[member.instance] = Suspicion(
            member=member,
            started_s=clock.now_s(),
            min_s=self._min_s * self._health.factor,
            max_s=self._max_s * self._health.factor,
            accusers={accuser},
        )

    def clear(self, instance: ids.InstanceId) -> None:
        """Ends a suspicion."""
        self._suspicions.pop(instance, None)

    def find_accuser(self, instance: ids.InstanceId) -> str:
        """Returns one accuser to name in gossip, or an empty string."""
        known = self._suspicions.get(instance)
        return min(known.accusers) if known else ""

    def postpone(self) -> None:
        """Starts all suspicions anew, after this instance was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_s = clock.now_s()

    def take_expired(self) -> list[membership.Member]:
        """Removes and returns the instances whose time is over."""
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
