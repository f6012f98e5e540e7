"""How long the silence of an endpoint is borne.

Load pattern: endpoints that die or hang without closing connections, while
their requests could still be on time, or at least whole, elsewhere.
"""

from __future__ import annotations

import asyncio

from poplarwick_core import clock

DOUBT_S = 0.25
"""Silence borne from an endpoint that others find silent too; an event comes
every pass of some fifty milliseconds."""


class Patience:
    """Limits the silence of one endpoint through a timer.

    Args:
        timer: Timer that ends the attempt.
        is_limited: Whether the request may move to another endpoint; if not,
            any silence is borne.
    """

    def __init__(self, timer: asyncio.Timeout, *, is_limited: bool) -> None:
        self._timer = timer
        self._is_limited = is_limited
        self._doubt_s: float | None = None

    def expect(self, within_s: float) -> None:
        """Expects something from the endpoint within a time."""
        if not self._is_limited:
            return
        if self._doubt_s is not None:
            within_s = min(within_s, self._doubt_s)
        self._timer.reschedule(clock.now_s() + within_s)

    def rest(self) -> None:
        """Expects nothing, while the caller is slow."""
        if self._is_limited:
            self._timer.reschedule(None)

    def note_doubt(self) -> None:
        """Notes that others find the endpoint silent too."""
        self._doubt_s = DOUBT_S
        if self._timer.when() is not None:
            self.expect(DOUBT_S)
