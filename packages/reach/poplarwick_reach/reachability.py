"""Decides whether this instance is cut off from all endpoints.

Load pattern: an instance loses its links to all endpoints for seconds, while
callers and the other instances reach it. Or single endpoints crash, or a
failure domain loses power; then most endpoints are still reached.
"""

from __future__ import annotations

import enum

CUT_EVIDENCE = 3
"""Endpoints that must fail one after the other. Fewer if fewer are known."""

HEAL_EVIDENCE = 2
"""Endpoints that must then be reached."""


class Change(enum.Enum):
    """What an observation changed.

    Attributes:
        SUSPECTED: The first endpoint failed since one was reached.
        CUT_OFF: The instance counts as cut off from now on.
        HEALED: It reaches endpoints again.
    """

    SUSPECTED = "suspected"
    CUT_OFF = "cut_off"
    HEALED = "healed"


class Reachability:
    """Weighs the outcomes of direct connections to endpoints."""

    def __init__(self) -> None:
        self.is_cut_off = False
        self.changed_at_s = 0.0
        self._failed: set[str] = set()
        self._reached: set[str] = set()
        self._first_failed_at_s = float("-inf")

    @property
    def failed(self) -> frozenset[str]:
        """Addresses that failed since one was reached."""
        return frozenset(self._failed)

    def record_failed(
        self, address: str, known_endpoints: int, now_s: float
    ) -> Change | None:
        """Records an endpoint that could not be reached.

        Args:
            address: Host and port of the endpoint.
            known_endpoints: Number of known endpoints.
            now_s: Monotonic time.

        Returns:
            What this changed; None if nothing.
        """
        self._reached.clear()
        is_first = not self._failed
        if is_first:
            self._first_failed_at_s = now_s
        self._failed.add(address)
        needed = max(min(CUT_EVIDENCE, known_endpoints), 1)
        if self.is_cut_off:
            return None
        if len(self._failed) >= needed:
            self.is_cut_off = True
            self.changed_at_s = now_s
            return Change.CUT_OFF
        return Change.SUSPECTED if is_first else None

    def record_reached(
        self,
        address: str,
        known_endpoints: int,
        opened_at_s: float,
        now_s: float,
    ) -> Change | None:
        """Records an endpoint that was reached.

        Connections that are older than the first failure prove nothing: those
        that are open may live on while new ones fail.

        Args:
            address: Host and port of the endpoint.
            known_endpoints: Number of known endpoints.
            opened_at_s: Monotonic time at which the connection was begun.
            now_s: Monotonic time.

        Returns:
            What this changed; None if nothing.
        """
        if self._failed and opened_at_s < self._first_failed_at_s:
            return None
        if not self.is_cut_off:
            self._failed.clear()
            return None
        self._reached.add(address)
        if len(self._reached) < max(min(HEAL_EVIDENCE, known_endpoints), 1):
            return None
        self.is_cut_off = False
        self.changed_at_s = now_s
        self._failed.clear()
        self._reached.clear()
        return Change.HEALED
