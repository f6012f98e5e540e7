"""Quantiles of the samples of the last half minute or so.

Load pattern: values that spread over orders of magnitude and whose distribution
shifts within a minute. Samples are counted in two consecutive windows, and a
whole window is forgotten at a time.
"""

from __future__ import annotations

from hdrh import histogram

WINDOW_S = 20.0
"""Length of a window. After a shift, the last older sample is forgotten within
two windows, which is less than the minute that is required."""

MAX_COUNT = 60_000
"""Samples of a window that are counted; its counters have 16 bits."""

LOWEST_STEPS = 8
HIGHEST_STEPS = 1 << 17
"""Bounds of the counted values, in units; others count as these."""

SIGNIFICANT_DIGITS = 1
"""Precision of the histograms: a bucket is 6% wide."""

COUNTER_BYTES = 2


class RecentQuantiles:
    """Histogram of recent values.

    Args:
        unit: Difference of two values that is told apart; values up to
            `HIGHEST_STEPS` units are.
        now_s: Monotonic time.
    """

    __slots__ = ("_began_s", "_current", "_previous", "_unit")

    def __init__(self, unit: float, now_s: float) -> None:
        self._unit = unit
        self._current = _make_histogram()
        self._previous: histogram.HdrHistogram | None = None
        self._began_s = now_s

    def record(self, value: float, now_s: float) -> None:
        """Counts a value."""
        self._forget(now_s)
        if self._current.total_count < MAX_COUNT:
            steps = round(value / self._unit)
            self._current.record_value(
                min(max(steps, LOWEST_STEPS), HIGHEST_STEPS - 1)
            )

    def count(self, now_s: float) -> int:
        """Returns the number of recent values."""
        self._forget(now_s)
        count = int(self._current.total_count)
        if self._previous is not None:
            count += int(self._previous.total_count)
        return count

    def calculate(self, quantile: float, now_s: float) -> float:
        """Returns a quantile of the recent values; 0 without any.

        Args:
            quantile: The quantile, from 0 to 1.
            now_s: Monotonic time.
        """
        self._forget(now_s)
        merged = self._current
        if self._previous is not None:
            merged = _make_histogram()
            merged.add(self._previous)
            merged.add(self._current)
        # The highest value of a bucket is returned; its middle is unbiased.
        highest = merged.get_value_at_percentile(100 * quantile)
        lowest = merged.get_lowest_equivalent_value(highest)
        return float(highest + lowest) / 2 * self._unit

    def _forget(self, now_s: float) -> None:
        age_s = now_s - self._began_s
        if age_s < WINDOW_S:
            return
        self._previous = None
        if self._current.total_count:
            if age_s < 2 * WINDOW_S:
                self._previous = self._current
            self._current = _make_histogram()
        self._began_s = now_s - age_s % WINDOW_S


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_STEPS,
        HIGHEST_STEPS,
        SIGNIFICANT_DIGITS,
        word_size=COUNTER_BYTES,
    )
