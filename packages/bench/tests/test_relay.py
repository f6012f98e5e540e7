"""Tests for load through the baseline relays with real processes."""

import asyncio

import msgspec
import pytest

from poplarwick_bench import load_generator
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import testbed
from poplarwick_bench import trial
from poplarwick_bench import workload

SMALL = scenario.Scenario(
    kind="lengths",
    summary="",
    instances=1,
    engines=2,
    time_scale=100.0,
    duration_s=0.3,
    load=0.2,
    classes=(
        workload.LengthClass(
            weight=1, low_tokens=1_000, high_tokens=5_000, output_tokens=8
        ),
    ),
)
BASELINES = [p for p in scenario.Policy if p is not scenario.Policy.CURRENT]


@pytest.mark.parametrize("policy", BASELINES)
def test_every_call_through_a_baseline_completes(policy):
    async def run():
        trial_ = trial.Trial(SMALL, policy, 1, shows_progress=False)
        plan = system.make_plan(SMALL)
        async with system.open_system(plan, policy) as target:
            arrivals = trial_.make_arrivals()
            records = await trial_.make_load_generator(target).run(
                arrivals, 5.0
            )
        assert arrivals
        assert len(metrics.select_complete(records)) == len(arrivals)

    asyncio.run(run())


def test_refused_calls_are_retried_until_the_load_ends():
    async def run():
        spec = msgspec.structs.replace(SMALL, memory_tokens=100)
        policy = scenario.Policy.ROUND_ROBIN
        trial_ = trial.Trial(spec, policy, 1, shows_progress=False)
        retry = load_generator.RetryPolicy(
            retries_past_deadline=True, backoff_scale=0.1
        )
        async with system.open_system(system.make_plan(spec), policy) as target:
            arrivals = trial_.make_arrivals()[:2]
            records = await trial_.make_load_generator(target, retry).run(
                arrivals, 0.5
            )
        assert len(records) > len(arrivals)
        assert not metrics.select_complete(records)

    asyncio.run(run())


def test_call_without_a_response_is_retried_when_unknown_is_final():
    async def run():
        retry = load_generator.RetryPolicy(
            retries_past_deadline=True, retries_unknown=False
        )
        arrivals = [workload.Arrival("a", 0.0, "labels", 1, 1, 0.2)]
        async with testbed.Testbed() as testbed_:
            (unused_address,) = testbed.find_free_addresses(1)
            generator = load_generator.LoadGenerator(
                testbed_.session, [unused_address], trial.make_call, retry=retry
            )
            records = await generator.run(arrivals, 1.0)
        assert len(records) > 1
        assert all(record.outcome is None for record in records)

    asyncio.run(run())
