"""Table of member states that one instance maintains.

States are disseminated by gossip. An update overrides the current entry if its
incarnation is higher, or if its incarnation is equal and its state is more
severe (SWIM, Das et al., DSN 2002).
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
_STATE_SEVERITY = {
    membership.MemberState.ALIVE: 0,
    membership.MemberState.SUSPECT: 1,
    membership.MemberState.LEAVING: 2,
    membership.MemberState.DEAD: 3,
}
_State = membership.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A change to one entry of the member table.

    Attributes:
        before: Previous entry, or None if the instance was unknown.
        after: New entry.
    """

    before: membership.Member | None
    after: membership.Member


class MemberTable:
    """Table of all known instances, including dead ones.

    Args:
        own: The instance that maintains the table.
        on_change: Called after each change.
    """

    def __init__(
        self,
        own: membership.Member,
        on_change: Callable[[MemberChange], None],
    ) -> None:
        self.own = own
        self._on_change = on_change
        self._members = {own.instance: own}
        self._transmit_counts: dict[ids.InstanceId, int] = {own.instance: 0}
        self._digest = compute_digest(own)
        self._rotation: Iterator[ids.InstanceId] = iter(())

    @property
    def digest(self) -> int:
        """Hash of all members that are not dead.

        Two instances with equal views have equal digests.
        """
        return self._digest

    @property
    def size(self) -> int:
        """Number of known instances, including dead ones."""
        return len(self._members)

    def list_members(self) -> tuple[membership.Member, ...]:
        """Returns all members that are not dead, including this instance."""
        return tuple(
            m for m in self._members.values() if m.state is not _State.DEAD
        )

    def list_dead(self) -> tuple[membership.Member, ...]:
        """Returns all dead members."""
        return tuple(
            m for m in self._members.values() if m.state is _State.DEAD
        )

    def find(self, instance: ids.InstanceId) -> membership.Member | None:
        """Returns a member in any state, or None if it is unknown."""
        return self._members.get(instance)

    def merge(self, update: membership.Member) -> bool:
        """Applies an update if it is newer than the current entry.

        An update that reports this instance in a more severe state is refuted
        with a higher incarnation.

        Returns:
            Whether the table changed.
        """
        if update.instance == self.own.instance:
            return self._refute(update)
        current = self._members.get(update.instance)
        if current is None and update.state is _State.DEAD:
            return False
        if current is not None and not is_newer(update, current):
            return False
        self._replace(update)
        return True

    def set_own_state(self, state: membership.MemberState) -> None:
        """Changes the state of this instance and queues it for gossip."""
        self._replace_own(self.own.incarnation + 1, state)

    def forget(self, instance: ids.InstanceId) -> None:
        """Removes a dead instance from the table."""
        current = self._members.get(instance)
        if current is not None and current.state is _State.DEAD:
            del self._members[instance]
            self._transmit_counts.pop(instance, None)

    def pick_gossip(
        self, limit: int, *, is_peer_different: bool
    ) -> list[membership.Member]:
        """Returns entries to piggyback on a message, least-sent first.

        Args:
            limit: Maximum number of entries to return.
            is_peer_different: Whether the receiver's digest differs. If so,
                unchanged entries fill the remaining space in rotation.
        """
        picked = sorted(
            self._transmit_counts, key=self._transmit_counts.__getitem__
        )[:limit]
        max_transmits = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1)
        )
        for instance in picked:
            self._transmit_counts[instance] += 1
            if self._transmit_counts[instance] >= max_transmits:
                del self._transmit_counts[instance]
        if is_peer_different:
            picked += self._next_in_rotation(limit - len(picked), set(picked))
        return [self._members[instance] for instance in picked]

    def _next_in_rotation(
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

    def _refute(self, update: membership.Member) -> bool:
        own = self.own
        must_refute = update.incarnation > own.incarnation or (
            update.incarnation == own.incarnation
            and _STATE_SEVERITY[update.state] > _STATE_SEVERITY[own.state]
        )
        if must_refute:
            self._replace_own(update.incarnation + 1, own.state)
        return must_refute

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
        self._transmit_counts[member.instance] = 0
        self._on_change(MemberChange(before, member))


def is_newer(update: membership.Member, current: membership.Member) -> bool:
    """Returns whether an update overrides the current entry."""
    if update.incarnation != current.incarnation:
        return update.incarnation > current.incarnation
    return _STATE_SEVERITY[update.state] > _STATE_SEVERITY[current.state]


def compute_digest(member: membership.Member) -> int:
    """Returns the contribution of a member to the digest of a view.

    Dead members contribute 0 because instances remove them at different
    times.
    """
    if member.state is _State.DEAD:
        return 0
    is_leaving = member.state is _State.LEAVING
    text = f"{member.instance}\0{member.incarnation}\0{is_leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
