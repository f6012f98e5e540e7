"""Damping of instances that come and go."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from poplarwick_core import ids

START_S = 1.5
SETTLE_S = 2.0
MAX_SETTLE_S = 60.0
FORGIVE_S = 120.0


@dataclasses.dataclass(slots=True)
class _Presence:
    """What is remembered about one instance."""

    since_s: float
    last_seen_s: float
    returns: int = 0
    is_present: bool = True


class Stability:
    """Tells which instances have been present for long enough.

    The time doubles with each return after an absence and is forgiven after
    a long presence. Those seen while this instance starts count at once, so
    that instances which start together agree on who owns what.

    Attributes:
        began_s: Time of the first observation, or None before it.
    """

    def __init__(self) -> None:
        self.began_s: float | None = None
        self._presences: dict[ids.InstanceId, _Presence] = {}

    def is_starting(self, now_s: float) -> bool:
        """Returns whether this instance has observed too little to judge."""
        return self.began_s is None or now_s - self.began_s < START_S

    def observe(self, present: Iterable[ids.InstanceId], now_s: float) -> None:
        """Records which instances are present now."""
        if self.began_s is None:
            self.began_s = now_s
        current = set(present)
        for instance in current:
            self._note_present(instance, now_s)
        for instance, presence in list(self._presences.items()):
            if instance in current:
                continue
            presence.is_present = False
            if now_s - presence.last_seen_s > FORGIVE_S:
                del self._presences[instance]

    def is_settled(self, instance: ids.InstanceId, now_s: float) -> bool:
        """Returns whether an instance has been present for long enough."""
        presence = self._presences.get(instance)
        if presence is None or not presence.is_present:
            return False
        needed_s = min(SETTLE_S * 2.0**presence.returns, MAX_SETTLE_S)
        return now_s - presence.since_s >= needed_s

    def _note_present(self, instance: ids.InstanceId, now_s: float) -> None:
        presence = self._presences.get(instance)
        if presence is None:
            since_s = now_s - SETTLE_S if self.is_starting(now_s) else now_s
            self._presences[instance] = _Presence(since_s, now_s)
            return
        if not presence.is_present:
            presence.is_present = True
            presence.since_s = now_s
            presence.returns += 1
        elif now_s - presence.since_s > FORGIVE_S:
            presence.returns = 0
        presence.last_seen_s = now_s
