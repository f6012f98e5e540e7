"""What one instance believes about all the others.

States spread by gossip. A statement wins over an older one if its incarnation
is higher, or at the same incarnation if its state is worse (SWIM, Das et al.,
DSN 2002).
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterator

import xxhash

from poplarwick_core import ids
from poplarwick_peers import membership

RETRANSMIT_FACTOR = 3
_BADNESS = {
    membership.MemberState.ALIVE: 0,
    membership.MemberState.SUSPECT: 1,
    membership.MemberState.LEAVING: 2,
    membership.MemberState.DEAD: 3,
}
_State = membership.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of belief about one instance.

    Attributes:
        before: Earlier belief, or None if the instance was unknown.
        after: Belief from now on.
    """

    before: membership.Member | None
    after: membership.Member


class Roster:
    """Table of all known instances, dead ones included.

    Args:
        own: The instance that holds the table.
        report: Called after each change.
    """

    def __init__(
        self,
        own: membership.Member,
        report: Callable[[MemberChange], None],
    ) -> None:
        self.own = own
        self._report = report
        self._members = {own.instance: own}
        self._gossip: dict[ids.InstanceId, int] = {own.instance: 0}
        self._digest = compute_digest(own)
        self._rotation: Iterator[ids.InstanceId] = iter(())

    @property
    def digest(self) -> int:
        """Equal at two instances that hold the same members for alive."""
        return self._digest

    @property
    def size(self) -> int:
        """Number of known instances, dead ones included."""
        return len(self._members)

    def list_members(self) -> tuple[membership.Member, ...]:
        """Returns all members that are not dead, this instance included."""
        return tuple(
            m for m in self._members.values() if m.state is not _State.DEAD
        )

    def list_dead(self) -> tuple[membership.Member, ...]:
        """Returns the members that are dead."""
        return tuple(
            m for m in self._members.values() if m.state is _State.DEAD
        )

    def find(self, instance: ids.InstanceId) -> membership.Member | None:
        """Returns an instance, dead or not, or None if it is unknown."""
        return self._members.get(instance)

    def merge(self, told: membership.Member) -> bool:
        """Takes over a statement if it is newer; returns whether it was.

        A statement against this instance itself is refuted with a higher
        incarnation.
        """
        if told.instance == self.own.instance:
            return self._refute(told)
        known = self._members.get(told.instance)
        if known is None and told.state is _State.DEAD:
            return False
        if known is not None and not is_newer(told, known):
            return False
        self._replace(told)
        return True

    def set_own_state(self, state: membership.MemberState) -> None:
        """Changes the state of this instance and spreads it."""
        self._replace_own(self.own.incarnation + 1, state)

    def forget(self, instance: ids.InstanceId) -> None:
        """Drops a dead instance from the table."""
        known = self._members.get(instance)
        if known is not None and known.state is _State.DEAD:
            del self._members[instance]
            self._gossip.pop(instance, None)

    def pick_gossip(
        self, limit: int, *, is_peer_different: bool
    ) -> list[membership.Member]:
        """Returns statements to send along, the least often sent first.

        Args:
            limit: Most statements to return.
            is_peer_different: Whether the receiver's digest differs, so that
                members without news are sent in rotation too.
        """
        picked = sorted(self._gossip, key=self._gossip.__getitem__)[:limit]
        most = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))
        for instance in picked:
            self._gossip[instance] += 1
            if self._gossip[instance] >= most:
                del self._gossip[instance]
        if is_peer_different:
            picked += self._rotate(limit - len(picked), set(picked))
        return [self._members[instance] for instance in picked]

    def _rotate(
        self, limit: int, excluded: set[ids.InstanceId]
    ) -> list[ids.InstanceId]:
        picked: list[ids.InstanceId] = []
        has_restarted = False
        while len(picked) < limit:
            instance = next(self._rotation, None)
            if instance is None:
                if has_restarted:
                    break
                has_restarted = True
                self._rotation = iter(tuple(self._members))
            elif instance in self._members and instance not in excluded:
                excluded.add(instance)
                picked.append(instance)
        return picked

    def _refute(self, told: membership.Member) -> bool:
        own = self.own
        is_against = told.incarnation > own.incarnation or (
            told.incarnation == own.incarnation
            and _BADNESS[told.state] > _BADNESS[own.state]
        )
        if is_against:
            self._replace_own(told.incarnation + 1, own.state)
        return is_against

    def _replace_own(
        self, incarnation: int, state: membership.MemberState
    ) -> None:
        self.own = dataclasses.replace(
            self.own, incarnation=incarnation, state=state
        )
        self._replace(self.own)

    def _replace(self, member: membership.Member) -> None:
        before = self._members.get(member.instance)
        if before is not None:
            self._digest ^= compute_digest(before)
        self._digest ^= compute_digest(member)
        self._members[member.instance] = member
        self._gossip[member.instance] = 0
        self._report(MemberChange(before, member))


def is_newer(told: membership.Member, known: membership.Member) -> bool:
    """Returns whether a statement replaces what is known."""
    if told.incarnation != known.incarnation:
        return told.incarnation > known.incarnation
    return _BADNESS[told.state] > _BADNESS[known.state]


def compute_digest(member: membership.Member) -> int:
    """Returns this member's part of the digest of a view.

    Dead members do not count, for they are forgotten at different times.
    """
    if member.state is _State.DEAD:
        return 0
    is_leaving = member.state is _State.LEAVING
    text = f"{member.instance}\0{member.incarnation}\0{is_leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
