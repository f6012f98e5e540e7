"""Flap damping of instances."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from poplarwick_core import ids

STARTUP_S = 1.5
STABLE_AFTER_S = 2.0
MAX_STABLE_AFTER_S = 60.0
FLAP_RESET_S = 120.0


@dataclasses.dataclass(slots=True)
class _Presence:
    """Presence history of one instance."""

    present_since_s: float
    last_seen_s: float
    flap_count: int = 0
    is_present: bool = True


class FlapDamping:
    """Determines which instances have been present long enough to be stable.

    The required time doubles with each return after an absence and is reset
    after a long presence. Instances that are observed during the startup of
    this instance are stable immediately, so that instances that start together
    agree on the owners.

    Attributes:
        first_observed_s: Time of the first observation, or None before it.
    """

    def __init__(self) -> None:
        self.first_observed_s: float | None = None
        self._presences: dict[ids.InstanceId, _Presence] = {}

    def is_starting(self, now_s: float) -> bool:
        """Returns whether the startup period of observation is not over."""
        return (
            self.first_observed_s is None
            or now_s - self.first_observed_s < STARTUP_S
        )

    def observe(self, present: Iterable[ids.InstanceId], now_s: float) -> None:
        """Records the instances that are present now."""
        if self.first_observed_s is None:
            self.first_observed_s = now_s
        current = set(present)
        for instance in current:
            self._record_present(instance, now_s)
        for instance, presence in list(self._presences.items()):
            if instance in current:
                continue
            presence.is_present = False
            if now_s - presence.last_seen_s > FLAP_RESET_S:
                del self._presences[instance]

    def is_stable(self, instance: ids.InstanceId, now_s: float) -> bool:
        """Returns whether an instance has been present long enough."""
        presence = self._presences.get(instance)
        if presence is None or not presence.is_present:
            return False
        required_s = min(
            STABLE_AFTER_S * 2.0**presence.flap_count, MAX_STABLE_AFTER_S
        )
        return now_s - presence.present_since_s >= required_s

    def _record_present(self, instance: ids.InstanceId, now_s: float) -> None:
        presence = self._presences.get(instance)
        if presence is None:
            present_since_s = (
                now_s - STABLE_AFTER_S if self.is_starting(now_s) else now_s
            )
            self._presences[instance] = _Presence(present_since_s, now_s)
            return
        if not presence.is_present:
            presence.is_present = True
            presence.present_since_s = now_s
            presence.flap_count += 1
        elif now_s - presence.present_since_s > FLAP_RESET_S:
            presence.flap_count = 0
        presence.last_seen_s = now_s
