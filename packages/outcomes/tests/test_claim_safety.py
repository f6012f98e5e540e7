"""At most one run of a call under faults drawn from seeds."""

import collections

import claim_world
import pytest
import virtual_loop
from kv_fake import Faults

SEEDS = range(60)
ODDS = {
    "rpc_lost_before": 0.05,
    "rpc_lost_after": 0.1,
    "stale_view": 0.2,
    "no_room": 0.1,
    "entry_dies_before": 0.03,
    "entry_dies_after": 0.05,
    "entry_paused": 0.1,
    "run_lost": 0.05,
}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_call_runs_twice_and_no_refusal_is_false(seed):
    faults = Faults(lost_before=0.1, lost_after=0.15, late=0.1, refused=0.1)
    world, last = virtual_loop.run(
        claim_world.play(
            seed, ODDS, faults, callers=40, take_overs=8, outages=3
        )
    )
    assert world.check() == []
    assert len(world.runs) > 0
    for told, key in zip(last, range(40), strict=True):
        has_run = bool(world.runs[key.to_bytes(16)])
        assert told != claim_world.NOT_RUN
        assert has_run or told == claim_world.UNKNOWN


def test_faults_really_happen():
    outcomes = collections.Counter()
    for seed in range(5):
        faults = Faults(lost_before=0.1, lost_after=0.15, late=0.1)
        world, _ = virtual_loop.run(
            claim_world.play(
                seed, ODDS, faults, callers=40, take_overs=8, outages=3
            )
        )
        outcomes += world.outcomes
    assert outcomes["answer"] > 0
    assert outcomes[claim_world.NOT_RUN] > 0
    assert outcomes[claim_world.UNKNOWN] > 0


@pytest.mark.parametrize("seed", range(30))
def test_no_call_runs_twice_while_most_writes_are_in_doubt(seed):
    faults = Faults(lost_before=0.25, lost_after=0.1, late=0.5)
    world, _ = virtual_loop.run(
        claim_world.play(
            seed, ODDS, faults, callers=40, take_overs=3, outages=0
        )
    )
    assert world.check() == []
