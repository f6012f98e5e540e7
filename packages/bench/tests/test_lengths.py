"""Tests for the slowdown metrics of short requests."""

import pytest

from poplarwick_bench import caller
from poplarwick_bench.experiments import lengths
from poplarwick_core import outcome


def make_records(first_token_s):
    return [
        caller.AttemptRecord(
            name=f"call-{index}",
            organisation="o",
            due_s=0.0,
            sent_at_s=0.0,
            first_token_s=first_token_s,
            ended_s=first_token_s,
            outcome=outcome.Outcome.COMPLETE,
            is_complete=True,
            prompt_tokens=2_000,
        )
        for index in range(20)
    ]


def make_outcome(alone_s, mixed_s):
    return lengths.PolicyOutcome(make_records(mixed_s), make_records(alone_s))


def test_slowdown_is_the_ratio_of_mixed_to_alone():
    assert make_outcome(0.1, 0.4).slowdown == pytest.approx(4.0, rel=0.01)


def test_slow_system_without_long_requests_gains_no_advantage():
    baselines = [make_outcome(0.1, 7.0), make_outcome(0.1, 4.0)]
    results = lengths._compare(make_outcome(2.0, 2.2), baselines)
    slowdown = results["short_slowdown_over_best_alone"]
    assert slowdown == pytest.approx(22.0, rel=0.01)
    assert results["better_baseline_short_slowdown"] == pytest.approx(
        40.0, rel=0.01
    )
    excess = results["excess_over_baseline_excess"]
    assert excess == pytest.approx(21.0 / 39.0, rel=0.01)
