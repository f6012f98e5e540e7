"""Learns how long work takes under load."""

from __future__ import annotations

SMOOTHING = 0.05
MIN_PACE = 1.0
MAX_PACE = 4.0


class Pace:
    """Ratio of the measured to the estimated time of whole answers.

    Attributes:
        ratio: Smoothed ratio, at least 1.
    """

    def __init__(self) -> None:
        self.ratio = MIN_PACE

    def note(self, measured_s: float, estimated_s: float) -> None:
        """Counts one whole answer."""
        if estimated_s <= 0:
            return
        sample = min(max(measured_s / estimated_s, MIN_PACE), MAX_PACE)
        self.ratio += (sample - self.ratio) * SMOOTHING

    def stretch(self, estimated_s: float) -> float:
        """Returns the time that work of an estimated time takes now."""
        return estimated_s * self.ratio
