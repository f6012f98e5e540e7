"""Tests for seeded workloads, metrics and bounds."""

import hypothesis
import pytest
from hypothesis import strategies

from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import workload
from poplarwick_bench.experiments import cold
from poplarwick_standins import completions

CLASSES = (
    workload.LengthClass(weight=9, low_tokens=1_000, high_tokens=10_000),
    workload.LengthClass(weight=1, low_tokens=100_000, high_tokens=200_000),
)
LOAD = workload.Workload(
    classes=CLASSES,
    demand={"a": 3.0, "b": 1.0},
    rate_per_s=50.0,
    duration_s=20.0,
)


def test_arrivals_depend_only_on_the_seed():
    assert workload.make_arrivals(LOAD, 1) == workload.make_arrivals(LOAD, 1)
    assert workload.make_arrivals(LOAD, 1) != workload.make_arrivals(LOAD, 2)


def test_arrivals_match_rate_demand_and_mean_length():
    arrivals = workload.make_arrivals(LOAD, 1)
    assert len(arrivals) == pytest.approx(1_000, rel=0.15)
    share = sum(a.organisation == "a" for a in arrivals) / len(arrivals)
    assert share == pytest.approx(0.75, abs=0.06)
    mean = sum(a.prompt_tokens for a in arrivals) / len(arrivals)
    expected = workload.compute_mean_tokens(CLASSES)
    assert mean == pytest.approx(expected, rel=0.25)


def test_prompts_have_the_requested_size_and_are_unique():
    arrivals = workload.make_arrivals(LOAD, 1)[:20]
    prompts = {workload.make_prompt(arrival) for arrival in arrivals}
    assert len(prompts) == len(arrivals)
    for arrival in arrivals:
        prompt = workload.make_prompt(arrival)
        assert completions.estimate_tokens(prompt) == arrival.prompt_tokens


@hypothesis.given(
    strategies.lists(
        strategies.floats(min_value=0.001, max_value=100), min_size=1
    )
)
def test_percentiles_are_exact_to_the_significant_digits(values):
    maximum_s = metrics.compute_percentile_s(values, 100)
    assert maximum_s == pytest.approx(max(values), rel=0.01)


def test_cold_concurrency_limit_doubles_with_each_round():
    rounds_s = cold.compute_allowed_s([1.0] * 14, 2, rate_per_s=1_000.0)
    assert rounds_s == pytest.approx(3.0, abs=0.1)


@pytest.mark.parametrize(
    ("sense", "value", "holds"),
    [
        (scenario.Sense.AT_MOST, 1.0, True),
        (scenario.Sense.AT_MOST, 1.1, False),
        (scenario.Sense.AT_LEAST, 1.0, True),
        (scenario.Sense.AT_LEAST, 0.9, False),
        (scenario.Sense.AT_MOST, None, False),
    ],
)
def test_bound_fails_outside_the_limit_and_without_a_metric(
    sense, value, holds
):
    spec = scenario.Scenario(
        kind="path",
        summary="",
        bounds=(scenario.BoundSpec("f", 1.0, sense),),
    )
    reported = {} if value is None else {"f": value}
    result = scenario.make_result(spec, scenario.Policy.CURRENT, 1, reported)
    assert result.holds is holds


@pytest.mark.parametrize("name", scenario.list_scenarios())
def test_scenario_files_are_valid_and_have_bounds(name):
    assert scenario.read_scenario(name).bounds
