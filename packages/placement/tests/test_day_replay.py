"""Replays the load of the hardest days against the scheduler.

The traffic mix changes every 9.5 seconds: long prompts replace short ones, then
short ones replace long ones, at the rates of the users' requirements.
"""

from __future__ import annotations

import pytest

from poplarwick_bench.replay import traffic

QUIET_TARGET = 0.85
"""The users' target for a quiet day."""


def replay(seed, *, is_global=True, scale=0.82):
    return traffic.replay_changing_mix(seed, is_global=is_global, scale=scale)


def calculate_on_time_share(jobs):
    """Returns the share of the total weight that was served on time."""
    all_jobs = [job for kind_jobs in jobs.values() for job in kind_jobs]
    total_weight = sum(job.request.weight for job in all_jobs)
    return (
        sum(j.request.weight for j in all_jobs if j.is_on_time) / total_weight
    )


@pytest.mark.parametrize("seed", range(5))
def test_meets_target_while_traffic_mix_changes(seed):
    jobs = replay(seed)
    for name in traffic.KINDS:
        assert traffic.share_on_time(jobs[name]) >= QUIET_TARGET, name


def test_packing_achieves_more_goodput_than_spreading():
    seeds = range(5)
    packed = sum(calculate_on_time_share(replay(seed)) for seed in seeds)
    spread = sum(
        calculate_on_time_share(replay(seed, is_global=False)) for seed in seeds
    )
    assert packed > spread


def test_no_request_stays_queued_after_load_ends():
    jobs = replay(1, scale=1.3)
    for kind_jobs in jobs.values():
        for job in kind_jobs:
            assert job.is_refused or job.ended_s is not None


def test_all_of_the_largest_prompts_are_served():
    jobs = [job for seed in range(5) for job in replay(seed)["dossier"]]
    jobs.sort(key=lambda job: job.request.prompt_tokens)
    largest = jobs[-len(jobs) // 10 :]
    served = [j for j in largest if j.ended_s <= j.request.deadline_at_s]
    assert len(served) == len(largest)
