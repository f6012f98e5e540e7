"""Compares quantiles with those that the histogram finds one at a time."""

from __future__ import annotations

import random

import pytest
from hdrh import histogram

from poplarwick_placement import recent_quantiles

QUANTILES = (0.9, 0.5, 0.99, 0.0, 0.8, 1.0, 0.5)


@pytest.mark.parametrize("seed", range(20))
def test_quantiles_of_one_pass_are_those_of_single_ones(seed):
    rng = random.Random(seed)
    quantiles = recent_quantiles.RecentQuantiles(1, 0.0)
    reference = histogram.HdrHistogram(
        recent_quantiles.LOWEST_STEPS,
        recent_quantiles.HIGHEST_STEPS,
        recent_quantiles.SIGNIFICANT_DIGITS,
    )
    # With 200 samples both windows are in use.
    for number in range(rng.choice((1, 8, 200))):
        value = round(rng.lognormvariate(6, 2))
        quantiles.record(value, number * 0.15)
        reference.record_value(
            min(
                max(value, recent_quantiles.LOWEST_STEPS),
                recent_quantiles.HIGHEST_STEPS - 1,
            )
        )
    expected = []
    for quantile in QUANTILES:
        highest = reference.get_value_at_percentile(100 * quantile)
        lowest = reference.get_lowest_equivalent_value(highest)
        expected.append((highest + lowest) / 2)
    assert quantiles.calculate(QUANTILES, 30.0) == expected


def test_quantiles_without_samples_are_zero():
    quantiles = recent_quantiles.RecentQuantiles(1, 0.0)
    assert quantiles.calculate((0.5, 0.9), 1.0) == [0.0, 0.0]
