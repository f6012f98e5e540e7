"""Quantiles of the samples of the last half minute or so.

Load pattern: values that spread over orders of magnitude and whose distribution
shifts within a minute. Samples are counted in two consecutive windows, and a
whole window is forgotten at a time.
"""

from __future__ import annotations

from collections.abc import Collection

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

    def calculate(
        self, quantiles: Collection[float], now_s: float
    ) -> list[float]:
        """Returns quantiles of the recent values; 0 without any.

        All of them take a single pass over the counters.

        Args:
            quantiles: The quantiles, from 0 to 1.
            now_s: Monotonic time.
        """
        self._forget(now_s)
        merged = self._current
        if self._previous is not None:
            merged = _make_histogram()
            merged.add(self._previous)
            merged.add(self._current)
        percentiles = [100 * quantile for quantile in quantiles]
        highest = merged.get_percentile_to_value_dict(percentiles)
        return [
            self._find_middle(merged, highest.get(percentile, 0))
            for percentile in percentiles
        ]

    def _find_middle(
        self, counted: histogram.HdrHistogram, highest: int
    ) -> float:
        """Returns the unbiased middle of the bucket with a highest value."""
        lowest = counted.get_lowest_equivalent_value(highest)
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
