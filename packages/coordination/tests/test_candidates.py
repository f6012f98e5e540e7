"""Shares of the bounds that hold over all instances together."""

from __future__ import annotations

import pytest

from poplarwick_catalogue import deployment
from poplarwick_coordination import candidates

BOUNDS = deployment.Bounds(
    grace_s=8.0,
    repeat_ratio=0.2,
    repeat_window_s=10.0,
    repeat_extra=100.0,
    cold_factor=1.5,
    cold_slack=5.0,
    hold_max_s=20.0,
    free_s=4.0,
)


def take_all(budget, now_s=0.0):
    taken = 0
    while budget.take(now_s):
        taken += 1
    return taken


def make_budget(scope, members):
    return candidates.make_budget(
        lambda: BOUNDS, scope, lambda: len(members), now_s=0.0
    )


def test_an_instances_share_of_repeats_shrinks_as_it_learns_of_others():
    members = ["own"]
    budget = make_budget(candidates.Scope.INSTANCE, members)
    budget.note_request(0.0)
    members.extend(f"other-{n}" for n in range(5))
    whole = BOUNDS.repeat_extra * candidates.ALONE_REPEATS
    assert take_all(budget) <= whole / len(members) + 1


def test_an_instances_share_of_repeats_follows_changed_bounds():
    bounds = [BOUNDS]
    budget = candidates.make_budget(
        lambda: bounds[0], candidates.Scope.INSTANCE, lambda: 1, now_s=0.0
    )
    bounds[0] = deployment.Bounds(
        grace_s=8.0,
        repeat_ratio=0.0,
        repeat_window_s=10.0,
        repeat_extra=0.0,
        cold_factor=1.5,
        cold_slack=5.0,
        hold_max_s=20.0,
        free_s=4.0,
    )
    assert take_all(budget) == 0


@pytest.mark.parametrize("instances", [1, 8, 60])
def test_shares_of_repeats_add_up_to_no_more_than_the_allowance(instances):
    members = range(instances)
    placers = sum(
        take_all(make_budget(candidates.Scope.FLEET, members)) for _ in range(1)
    )
    # A placer that ended in this window has used its whole share at most.
    before = BOUNDS.repeat_extra * candidates.PLACER_REPEATS
    alone = sum(
        take_all(make_budget(candidates.Scope.INSTANCE, members))
        for _ in members
    )
    assert placers + before + alone <= BOUNDS.repeat_extra
