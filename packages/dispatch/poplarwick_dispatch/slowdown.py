"""Estimates how much load slows requests down."""

from __future__ import annotations

SMOOTHING = 0.05
MIN_RATIO = 1.0
MAX_RATIO = 4.0


class SlowdownEstimator:
    """Ratio of the measured to the estimated time of completed requests.

    Attributes:
        ratio: Smoothed ratio, at least 1.
    """

    def __init__(self) -> None:
        self.ratio = MIN_RATIO

    def record(self, measured_s: float, estimated_s: float) -> None:
        """Updates the ratio with one completed request."""
        if estimated_s <= 0:
            return
        sample = min(max(measured_s / estimated_s, MIN_RATIO), MAX_RATIO)
        self.ratio += (sample - self.ratio) * SMOOTHING

    def scale(self, estimated_s: float) -> float:
        """Returns an estimated time multiplied by the current ratio."""
        return estimated_s * self.ratio
