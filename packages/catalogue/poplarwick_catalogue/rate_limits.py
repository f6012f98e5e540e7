"""Rates of requests that endpoints in need take from all instances together."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_catalogue import log_events
from poplarwick_catalogue import types
from poplarwick_core import clock
from poplarwick_core import logs

LIFT_DELAY_S = 1.0
"""Time since an endpoint last named its limit from which an answer without one
lifts it. Answers on several connections may overtake each other."""

MAX_LIMITS = 4_096
"""Starts of endpoints whose limits are remembered."""


class RateLimits:
    """Keeps the limits that starts of endpoints have named."""

    def __init__(self) -> None:
        self._limits: dict[types.EndpointStart, float] = {}
        self._named_at_s: dict[types.EndpointStart, float] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def known(self) -> dict[types.EndpointStart, float]:
        """Requests a second by start."""
        return dict(self._limits)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def get(self, start: types.EndpointStart) -> float | None:
        """Returns the requests a second of a start; None without a limit."""
        return self._limits.get(start)

    def record(self, start: types.EndpointStart, per_s: float) -> bool:
        """Records a limit of a start; returns whether it is new."""
        self._named_at_s[start] = clock.now_s()
        if self._limits.get(start) == per_s:
            return False
        self._limits[start] = per_s
        while len(self._limits) > MAX_LIMITS:
            oldest = next(iter(self._limits))
            del self._limits[oldest]
            self._named_at_s.pop(oldest, None)
        self._notify(start, per_s)
        return True

    def record_answer_without(self, start: types.EndpointStart) -> bool:
        """Records an answer to a request in which a start named no limit.

        Returns:
            Whether that lifts its limit.
        """
        named_at_s = self._named_at_s.get(start)
        if named_at_s is None or clock.now_s() - named_at_s <= LIFT_DELAY_S:
            return False
        self.lift(start)
        return True

    def lift(self, start: types.EndpointStart) -> None:
        """Lifts the limit of a start."""
        if self._limits.pop(start, None) is not None:
            del self._named_at_s[start]
            self._notify(start, None)

    def _notify(self, start: types.EndpointStart, per_s: float | None) -> None:
        logs.log(
            log_events.EndpointLimited(
                endpoint=start.endpoint, limit_per_s=per_s
            )
        )
        for listener in tuple(self._listeners):
            listener()
