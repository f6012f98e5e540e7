"""When an instance counts as cut off from all endpoints."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_reach import reachability

Change = reachability.Change
KNOWN = 26


def fail(state, *addresses, now_s, known=KNOWN):
    return [state.record_failed(a, known, now_s) for a in addresses]


def reach(state, *addresses, now_s, opened_at_s=None, known=KNOWN):
    opened_at_s = now_s if opened_at_s is None else opened_at_s
    return [
        state.record_reached(a, known, opened_at_s, now_s) for a in addresses
    ]


def test_three_endpoints_in_a_row_show_a_cut():
    state = reachability.Reachability()
    assert fail(state, "a", "a", "b", now_s=1.0) == [
        Change.SUSPECTED,
        None,
        None,
    ]
    assert not state.is_cut_off
    assert fail(state, "c", now_s=1.1) == [Change.CUT_OFF]
    assert state.is_cut_off


def test_crashed_endpoint_among_others_is_no_cut():
    state = reachability.Reachability()
    for step in range(50):
        fail(state, "crashed", "other crashed", now_s=step)
        reach(state, "sound", now_s=step + 0.1)
        assert not state.is_cut_off


def test_all_of_few_endpoints_show_a_cut():
    state = reachability.Reachability()
    fail(state, "a", now_s=0.0, known=2)
    assert fail(state, "b", now_s=0.0, known=2) == [Change.CUT_OFF]
    assert reach(state, "a", "b", now_s=1.0, known=2)[-1] is Change.HEALED


def test_connections_from_before_the_cut_do_not_end_it():
    """They live on while new ones are refused."""
    state = reachability.Reachability()
    fail(state, "a", now_s=5.0)
    reach(state, "b", now_s=5.1, opened_at_s=4.9)
    fail(state, "c", "d", now_s=5.2)
    assert state.is_cut_off
    reach(state, "e", "f", "g", now_s=6.0, opened_at_s=4.5)
    assert state.is_cut_off


def test_two_endpoints_in_a_row_end_a_cut():
    state = reachability.Reachability()
    fail(state, "a", "b", "c", now_s=1.0)
    assert reach(state, "d", "d", now_s=2.0) == [None, None]
    fail(state, "e", now_s=2.1)
    assert reach(state, "f", now_s=2.2) == [None]
    assert state.is_cut_off
    assert reach(state, "g", now_s=2.3) == [Change.HEALED]
    assert not state.is_cut_off


@given(st.integers(0, 2**32))
def test_few_endpoints_that_fail_are_no_cut_for_long(seed):
    """A failure domain of three is lost; requests go to all endpoints."""
    rng = random.Random(seed)
    state = reachability.Reachability()
    cut_steps = 0
    for step in range(500):
        number = rng.randrange(24)
        (fail if number % 3 == 0 else reach)(state, number, now_s=float(step))
        cut_steps += state.is_cut_off
    assert cut_steps < 150
