"""Decides whether an instance has fallen behind its own work.

Load pattern: an instance with a fraction of a core whose load exceeds its
processor time, so that the system lets it run for a part of each period only
and everything that it serves is late. Short bursts, which it works off by
itself, and a process that was suspended once do not count.

Performs no I/O.
"""

from __future__ import annotations

import collections

WEAK_CORES = 0.5
"""Processor time, in cores of the reference speed, below which an instance
monitors its delay, and takes longer to start than callers may wait."""

LAG_SHARE = 0.25
"""Fraction of the shortest target latency from which a lag of the event loop
counts. An answer passes the loop several times."""

WINDOW_S = 2.0
"""Time over which lags are added up."""

ENTER_SHARE = 0.4
"""Fraction of that time lost to lags above which the instance is behind. One
that uses up its quota early in each period loses all but its share of a core;
bursts lose less."""

LEAVE_SHARE = 0.1
"""Fraction below which it has caught up."""

HOLD_S = 4.0
"""Shortest time for which it stays behind. The load balancer takes 2.6 s to
notice either change."""

MAX_SAMPLE_S = 0.5
"""Largest lag that is counted at a time; longer ones are suspensions."""


class InstanceDelay:
    """Adds up the lags of an event loop."""

    def __init__(self) -> None:
        self.is_behind = False
        self._changed_at_s = 0.0
        self._lags: collections.deque[tuple[float, float]] = collections.deque()
        self._lost_s = 0.0

    @property
    def lost_share(self) -> float:
        """Fraction of the window that was lost to lags."""
        return self._lost_s / WINDOW_S

    def record_sample(
        self, lag_s: float, shortest_target_s: float, now_s: float
    ) -> bool:
        """Records by how much a timer was late.

        Args:
            lag_s: Time by which it was late.
            shortest_target_s: Shortest target latency of all routes.
            now_s: Monotonic time.

        Returns:
            Whether `is_behind` has changed.
        """
        if lag_s > LAG_SHARE * shortest_target_s:
            counted_s = min(lag_s, MAX_SAMPLE_S)
            self._lags.append((now_s, counted_s))
            self._lost_s += counted_s
        while self._lags and self._lags[0][0] <= now_s - WINDOW_S:
            self._lost_s -= self._lags.popleft()[1]
        if not self._lags:
            # Corrects the rounding errors of the sum.
            self._lost_s = 0.0
        if self.is_behind:
            is_behind = (
                self.lost_share > LEAVE_SHARE
                or now_s < self._changed_at_s + HOLD_S
            )
        else:
            is_behind = self.lost_share > ENTER_SHARE
        if is_behind == self.is_behind:
            return False
        self.is_behind = is_behind
        self._changed_at_s = now_s
        return True
