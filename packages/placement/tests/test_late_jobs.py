"""Tests which long prompts are deferred, and replays a day's burst of them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_placement import late_jobs

BURST = (
    (0.47, 278_067),
    (2.37, 417_017),
    (2.57, 278_541),
    (2.67, 271_894),
    (2.77, 45_084),
    (2.87, 275_109),
    (3.18, 400_317),
    (3.37, 80_730),
    (3.57, 56_110),
    (3.97, 62_313),
    (4.47, 262_376),
    (4.68, 329_823),
    (5.37, 55_695),
    (5.57, 250_341),
    (5.67, 68_872),
    (6.97, 117_720),
    (7.97, 44_162),
    (9.07, 60_508),
    (9.27, 135_244),
)
"""Arrival times in seconds and prompt tokens in the first phase of long prompts
of a quiet day."""

VERY_LONG_TOKENS = 112_000
VERY_LONG_PER_DAY = 25
QUIET_TARGET = 0.85
"""The users' target for a quiet day."""

SEEDS = range(4)
ENGINES = 16
LOW_PRIORITY = frozenset({278_541, 271_894, 400_317, 80_730})


def make_job(key, due_s, duration_s, priority=0, weight=1.0):
    return late_jobs.Job(key, due_s, duration_s, priority, weight)


def test_defers_nothing_if_all_can_be_on_time():
    jobs = [make_job(n, due_s=1.0 + n, duration_s=1.0) for n in range(4)]
    assert late_jobs.choose_deferred(jobs, 0.0) == set()


def test_defers_prompt_with_least_weight_for_its_duration():
    jobs = [
        make_job("very long", 2.0, 1.5, weight=1.5),
        make_job("small", 2.0, 0.5),
        make_job("other", 2.0, 0.5),
    ]
    assert late_jobs.choose_deferred(jobs, 0.0) == {"very long"}


def test_defers_lower_priority_even_if_its_weight_is_higher():
    jobs = [
        make_job("first", 1.0, 1.0, priority=0, weight=0.1),
        make_job("second", 1.0, 1.0, priority=1, weight=9.0),
    ]
    assert late_jobs.choose_deferred(jobs, 0.0) == {"second"}


def test_keeps_lower_priority_if_both_can_be_on_time():
    jobs = [
        make_job("a", 1.0, 1.0, priority=1),
        make_job("b", 2.0, 1.0, priority=0),
    ]
    assert late_jobs.choose_deferred(jobs, 0.0) == set()


@given(
    st.lists(st.tuples(st.floats(0.1, 9.0), st.floats(0.1, 3.0)), max_size=12),
    st.floats(0.0, 3.0),
)
def test_all_jobs_that_are_not_deferred_are_on_time(pairs, free_at_s):
    jobs = [
        make_job(number, due_s, duration_s, priority=number % 3)
        for number, (due_s, duration_s) in enumerate(pairs)
    ]
    deferred = late_jobs.choose_deferred(jobs, free_at_s)
    end_s = free_at_s
    for job in sorted(jobs, key=lambda job: job.due_s):
        if job.key not in deferred:
            end_s += job.duration_s
            assert end_s <= job.due_s + 1e-6


def replay_burst(low_priority, seed):
    """Replays the burst; returns the very long prompts that were late."""
    simulation = engines.Simulation(engines.make_scheduler(seed=seed), ENGINES)
    jobs = []
    for arrival_s, tokens in BURST:
        is_very_long = tokens > VERY_LONG_TOKENS
        kind = traffic.DOSSIER if is_very_long else traffic.CONTRACT
        request = traffic.make_request(
            kind,
            arrival_s,
            tokens,
            int(kind.events),
            f"r{tokens}",
            priority=1 if tokens in low_priority else 0,
        )
        jobs.append(simulation.add_request(arrival_s, request))
    traffic.add_traffic(simulation, traffic.LABEL, 0.37, (0.0, 11.5), seed)
    simulation.run(40.0)
    return [
        job.request.prompt_tokens
        for job in jobs
        if job.request.prompt_tokens > VERY_LONG_TOKENS and not job.is_on_time
    ]


@pytest.mark.parametrize("low_priority", [frozenset(), LOW_PRIORITY])
def test_burst_of_very_long_prompts_keeps_day_within_target(low_priority):
    # Very long prompts are late at no other time of that day.
    late = [len(replay_burst(low_priority, seed)) for seed in SEEDS]
    assert sum(late) / len(late) <= (1 - QUIET_TARGET) * VERY_LONG_PER_DAY
