"""Replays the load of the worst days on the decision code.

The mix turns over every 9.5 seconds: long prompts in place of short ones, then
short ones in place of long ones, at the rates of the users' sheets.
"""

from __future__ import annotations

import pytest

from poplarwick_bench.replay import traffic

QUIET_WORTH = 0.85
"""The users' target for a quiet day."""


def replay(seed, *, is_global=True, scale=0.82):
    return traffic.replay_changing_mix(seed, is_global=is_global, scale=scale)


def credit(jobs):
    """Returns the share of all value that was served on time."""
    every = [job for found in jobs.values() for job in found]
    value = sum(job.wanted.value for job in every)
    return sum(j.wanted.value for j in every if j.is_on_time) / value


@pytest.mark.parametrize("seed", range(5))
def test_short_and_long_are_on_time_while_the_mix_turns_over(seed):
    jobs = replay(seed)
    for name in traffic.KINDS:
        assert traffic.share_on_time(jobs[name]) >= QUIET_WORTH, name


def test_packing_serves_more_on_time_than_spreading():
    seeds = range(5)
    packed = sum(credit(replay(seed)) for seed in seeds)
    spread = sum(credit(replay(seed, is_global=False)) for seed in seeds)
    assert packed > spread


def test_no_request_is_left_waiting_when_the_load_is_over():
    jobs = replay(1, scale=1.3)
    for found in jobs.values():
        for job in found:
            assert job.refused or job.ended_s is not None


def test_the_largest_prompts_are_served_as_often_as_the_rest():
    jobs = [job for seed in range(5) for job in replay(seed)["dossier"]]
    jobs.sort(key=lambda job: job.wanted.prompt_tokens)
    largest = jobs[-len(jobs) // 10 :]
    served = [j for j in largest if j.ended_s <= j.wanted.deadline_at_s]
    assert len(served) == len(largest)
