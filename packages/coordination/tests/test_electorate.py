"""Who counts for the majority of a placer once instances end."""

from __future__ import annotations

import random

import pytest

from poplarwick_coordination import electorate

OTHERS = ("b", "c", "d")
NOW_S = 100.0


def make_electorate(leaving=(), refusing=()):
    voters = electorate.Electorate(0.0)
    for instance in OTHERS:
        voters.record_connected(instance)
        voters.record_heartbeat(instance, is_leaving=instance in leaving)
    for instance in refusing:
        voters.record_refused(instance)
    return voters


# Guards against a placer that steps down as others have ended in order.
@pytest.mark.parametrize(
    ("leaving", "refusing", "served", "has_majority"),
    [
        pytest.param("cd", "cd", "b", True, id="ended_in_order"),
        pytest.param("cd", "", "bcd", True, id="still_ending"),
        pytest.param("cd", "c", "bd", True, id="one_ended_one_ending"),
        pytest.param("bcd", "bcd", "", True, id="all_others_ended"),
        pytest.param("bcd", "", "bcd", True, id="all_others_ending"),
        pytest.param("", "cd", "b", False, id="vanished_without_a_word"),
        pytest.param("c", "cd", "b", True, id="one_ended_one_vanished"),
        pytest.param("cd", "", "b", False, id="cut_off_while_ending"),
        pytest.param("cd", "cd", "", False, id="last_voter_cut_off"),
        pytest.param("cd", "", "cd", False, id="reaches_only_the_ending"),
    ],
)
def test_instances_that_ended_in_order_do_not_count(
    leaving, refusing, served, has_majority
):
    voters = make_electorate(leaving, refusing)
    assert voters.has_majority(OTHERS, (), set(served), NOW_S) is has_majority


def test_instance_that_came_back_under_its_name_counts_again():
    voters = make_electorate("cd", "cd")
    # Behind a cut, its new process may serve another placer.
    voters.record_unreachable("c")
    voters.record_unreachable("d")
    assert not voters.has_majority(OTHERS, (), {"b"}, NOW_S)
    for instance in "cd":
        voters.record_connected(instance)
        voters.record_heartbeat(instance, is_leaving=False)
        voters.record_refused(instance)
    assert not voters.has_majority(OTHERS, (), {"b"}, NOW_S)
    assert not voters.has_ended("c")


# Guards against a minority that has not heard that the others came back.
@pytest.mark.parametrize(
    ("refusing", "has_majority"), [("", False), ("ef", True), ("e", False)]
)
def test_former_members_count_unless_their_hosts_refuse(refusing, has_majority):
    voters = make_electorate(refusing=refusing)
    served = {"b", "c"}
    assert voters.has_majority(OTHERS[:2], "ef", {"b"}, NOW_S) is has_majority
    assert voters.has_majority(OTHERS[:2], "ef", served, NOW_S)


def test_former_member_that_is_still_ending_is_no_vote():
    voters = make_electorate("cd")
    assert not voters.has_majority("b", "cd", {"c", "d"}, NOW_S)


def test_no_cut_gives_two_placers_a_majority():
    """Each instance follows one placer and tells it whether it is leaving.

    The cut refuses or drops connections; an instance on the far side may have
    told this side before the cut that it leaves.
    """
    rng = random.Random(11)
    decided = 0
    for _ in range(4_000):
        names = [f"i{number}" for number in range(rng.randint(2, 7))]
        leaving = {name for name in names if rng.random() < 0.4}
        sides = {name: rng.random() < 0.5 for name in names}
        majorities = 0
        for side in (True, False):
            near = [name for name in names if sides[name] is side]
            candidates = [name for name in near if name not in leaving]
            if not candidates:
                continue
            own = rng.choice(candidates)
            voters = electorate.Electorate(0.0)
            for name in names:
                is_told = name in near or rng.random() < 0.5
                voters.record_connected(name)
                voters.record_heartbeat(
                    name, is_leaving=is_told and name in leaving
                )
                if name not in near and rng.random() < 0.5:
                    voters.record_refused(name)
            majorities += voters.has_majority(
                [name for name in names if name != own],
                (),
                set(near) - {own},
                NOW_S,
            )
        assert majorities <= 1
        decided += majorities
    assert decided
