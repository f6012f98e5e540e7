"""Tests of load through the baseline relays with real processes."""

import asyncio

import msgspec
import pytest

from poplarwick_bench import figures
from poplarwick_bench import load
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
def test_every_call_through_a_baseline_gets_its_own_answer(policy):
    async def run():
        own = trial.Trial(SMALL, policy, 1, shows_progress=False)
        plan = system.make_plan(SMALL)
        async with system.open_system(plan, policy) as target:
            arrivals = own.make_arrivals()
            records = await own.make_load(target).run(arrivals, 5.0)
        assert arrivals
        assert len(figures.find_whole(records)) == len(arrivals)

    asyncio.run(run())


def test_refused_calls_are_sent_again_until_the_load_ends():
    async def run():
        spec = msgspec.structs.replace(SMALL, memory_tokens=100)
        policy = scenario.Policy.ROUND_ROBIN
        own = trial.Trial(spec, policy, 1, shows_progress=False)
        retry = load.RetryPolicy(never_gives_up=True, pause_scale=0.1)
        async with system.open_system(system.make_plan(spec), policy) as target:
            arrivals = own.make_arrivals()[:2]
            records = await own.make_load(target, retry).run(arrivals, 0.5)
        assert len(records) > len(arrivals)
        assert not figures.find_whole(records)

    asyncio.run(run())


def test_call_without_an_answer_is_sent_again_though_unknown_is_final():
    async def run():
        retry = load.RetryPolicy(never_gives_up=True, retries_unknown=False)
        arrivals = [workload.Arrival("a", 0.0, "labels", 1, 1, 0.2)]
        async with testbed.Testbed() as testbed_:
            (nobody,) = testbed.find_free_addresses(1)
            sending = load.Load(
                testbed_.session, [nobody], trial.make_call, retry=retry
            )
            records = await sending.run(arrivals, 1.0)
        assert len(records) > 1
        assert all(record.outcome is None for record in records)

    asyncio.run(run())
