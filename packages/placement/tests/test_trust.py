"""What the ends of requests say of an endpoint."""

from __future__ import annotations

import pytest

from poplarwick_placement import messages
from poplarwick_placement import trust

GAP_S = 3.0


def measure_pause_s(known, now_s):
    """Returns for how long an endpoint is left alone after a failure."""
    known.note(messages.Result.UNREACHABLE, now_s)
    return known.paused_until_s - now_s


def test_an_endpoint_that_goes_down_and_up_is_trusted_more_slowly_each_time():
    known = trust.Trust()
    pauses = []
    for turn in range(4):
        now_s = 100.0 + turn * (GAP_S + trust.LONGEST_PAUSE_S)
        pauses.append(measure_pause_s(known, now_s))
        known.note(messages.Result.DONE, known.paused_until_s + 0.1)
    assert pauses == sorted(set(pauses))
    assert pauses[-1] == trust.LONGEST_PAUSE_S


def test_failures_of_long_ago_are_forgotten():
    known = trust.Trust()
    first_s = measure_pause_s(known, 100.0)
    measure_pause_s(known, 101.0)
    later_s = 101.0 + trust.FORGIVE_AFTER_S + 0.1
    assert measure_pause_s(known, later_s) == first_s


@pytest.mark.parametrize("result", sorted(trust.FAILURES, key=str))
def test_an_endpoint_that_failed_gets_one_request_until_one_ends_well(result):
    known = trust.Trust()
    known.note(result, 100.0)
    later_s = known.paused_until_s + 0.1
    assert not known.allows(0, 100.1)
    assert known.allows(0, later_s)
    assert not known.allows(1, later_s)
    known.note(messages.Result.DONE, later_s)
    assert known.allows(1, later_s)
