"""Which long prompts go last, and a day's burst of giant prompts replayed."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_placement import triage

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
"""Arrivals and prompt tokens of the first long turn of a quiet day."""

GIANT_TOKENS = 112_000
GIANTS_A_DAY = 25
QUIET_TARGET = 0.85
"""The users' target for a quiet day."""

SEEDS = range(4)
ENGINES = 16
LOW_RANK = frozenset({278_541, 271_894, 400_317, 80_730})


def make_job(key, due_s, takes_s, rank=0, value=1.0):
    return triage.Job(key, due_s, takes_s, rank, value)


def test_nothing_goes_last_where_all_can_be_on_time():
    jobs = [make_job(n, due_s=1.0 + n, takes_s=1.0) for n in range(4)]
    assert triage.choose_last(jobs, 0.0) == set()


def test_the_prompt_that_gives_least_for_its_time_goes_last():
    jobs = [
        make_job("giant", 2.0, 1.5, value=1.5),
        make_job("small", 2.0, 0.5),
        make_job("other", 2.0, 0.5),
    ]
    assert triage.choose_last(jobs, 0.0) == {"giant"}


def test_the_lower_rank_goes_last_even_if_it_gives_more():
    jobs = [
        make_job("first", 1.0, 1.0, rank=0, value=0.1),
        make_job("second", 1.0, 1.0, rank=1, value=9.0),
    ]
    assert triage.choose_last(jobs, 0.0) == {"second"}


def test_a_lower_rank_that_is_due_first_keeps_its_turn_where_both_fit():
    jobs = [make_job("a", 1.0, 1.0, rank=1), make_job("b", 2.0, 1.0, rank=0)]
    assert triage.choose_last(jobs, 0.0) == set()


@given(
    st.lists(st.tuples(st.floats(0.1, 9.0), st.floats(0.1, 3.0)), max_size=12),
    st.floats(0.0, 3.0),
)
def test_those_that_do_not_go_last_are_all_on_time(pairs, free_at_s):
    jobs = [
        make_job(number, due_s, takes_s, rank=number % 3)
        for number, (due_s, takes_s) in enumerate(pairs)
    ]
    last = triage.choose_last(jobs, free_at_s)
    ends_s = free_at_s
    for job in sorted(jobs, key=lambda job: job.due_s):
        if job.key not in last:
            ends_s += job.takes_s
            assert ends_s <= job.due_s + 1e-6


def play_burst(low_rank, seed):
    """Plays the burst; returns the giants that were late."""
    world = engines.Simulation(engines.make_scheduler(seed=seed), ENGINES)
    jobs = []
    for at_s, tokens in BURST:
        is_giant = tokens > GIANT_TOKENS
        kind = traffic.DOSSIER if is_giant else traffic.CONTRACT
        wanted = traffic.make_request(
            kind,
            at_s,
            tokens,
            int(kind.events),
            f"r{tokens}",
            priority=1 if tokens in low_rank else 0,
        )
        jobs.append(world.arrive(at_s, wanted))
    traffic.add_traffic(world, traffic.LABEL, 0.37, (0.0, 11.5), seed)
    world.run(40.0)
    return [
        job.wanted.prompt_tokens
        for job in jobs
        if job.wanted.prompt_tokens > GIANT_TOKENS and not job.is_on_time
    ]


@pytest.mark.parametrize("low_rank", [frozenset(), LOW_RANK])
def test_a_burst_of_giants_leaves_the_day_within_its_target(low_rank):
    # The burst is the only time of that day at which giants are late.
    late = [len(play_burst(low_rank, seed)) for seed in SEEDS]
    assert sum(late) / len(late) <= (1 - QUIET_TARGET) * GIANTS_A_DAY
