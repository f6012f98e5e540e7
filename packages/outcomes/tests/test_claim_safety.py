"""Randomized tests that a call runs at most once under seeded faults."""

import collections

import claim_cluster
import pytest
import virtual_loop
from kv_fake import Faults

SEEDS = range(60)
FAULT_PROBABILITIES = {
    "rpc_request_lost": 0.05,
    "rpc_reply_lost": 0.1,
    "stale_view": 0.2,
    "no_room": 0.1,
    "entry_crash_before_run": 0.03,
    "entry_crash_after_run": 0.05,
    "entry_paused": 0.1,
    "run_result_lost": 0.05,
}


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_run_at_most_once_and_not_run_is_truthful(seed):
    faults = Faults(request_lost=0.1, reply_lost=0.15, delayed=0.1, refused=0.1)
    cluster, final_results = virtual_loop.run(
        claim_cluster.run_scenario(
            seed,
            FAULT_PROBABILITIES,
            faults,
            callers=40,
            takeovers=8,
            outages=3,
        )
    )
    assert cluster.check() == []
    assert len(cluster.runs) > 0
    for result, key in zip(final_results, range(40), strict=True):
        has_run = bool(cluster.runs[key.to_bytes(16)])
        assert result != claim_cluster.NOT_RUN
        assert has_run or result == claim_cluster.UNKNOWN


def test_scenario_produces_all_outcomes():
    outcomes = collections.Counter()
    for seed in range(5):
        faults = Faults(request_lost=0.1, reply_lost=0.15, delayed=0.1)
        cluster, _ = virtual_loop.run(
            claim_cluster.run_scenario(
                seed,
                FAULT_PROBABILITIES,
                faults,
                callers=40,
                takeovers=8,
                outages=3,
            )
        )
        outcomes += cluster.outcomes
    assert outcomes["answer"] > 0
    assert outcomes[claim_cluster.NOT_RUN] > 0
    assert outcomes[claim_cluster.UNKNOWN] > 0


@pytest.mark.parametrize("seed", range(30))
def test_calls_run_at_most_once_while_most_writes_are_in_doubt(seed):
    faults = Faults(request_lost=0.25, reply_lost=0.1, delayed=0.5)
    cluster, _ = virtual_loop.run(
        claim_cluster.run_scenario(
            seed,
            FAULT_PROBABILITIES,
            faults,
            callers=40,
            takeovers=3,
            outages=0,
        )
    )
    assert cluster.check() == []
