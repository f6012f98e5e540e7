"""When an instance counts as behind, under the lags of real loads."""

from __future__ import annotations

import pytest

from poplarwick_forwarding import instance_delay

SAMPLE_S = 0.05
TARGET_S = 0.173
"""Shortest target latency of the users' weakest instances."""


def replay(delay, lags_s, from_s=0.0):
    """Records lags one after another; returns the times of the changes."""
    now_s, changes = from_s, []
    for lag_s in lags_s:
        now_s += SAMPLE_S + lag_s
        if delay.record_sample(lag_s, TARGET_S, now_s):
            changes.append((now_s, delay.is_behind))
    return now_s, changes


def make_quota_lags(cores, for_s):
    """Lags of a process that always wants to run, with a quota of 100 ms.

    It runs for its share at the begin of each period, then not at all.
    """
    now_s, lags_s = 0.0, []
    while now_s < for_s:
        wakes_s = now_s + SAMPLE_S
        in_period_s = wakes_s % 0.1
        lag_s = max(0.1 - in_period_s, 0.0) if in_period_s > 0.1 * cores else 0
        lags_s.append(lag_s)
        now_s = wakes_s + lag_s
    return lags_s


@pytest.mark.parametrize("cores", [0.2, 0.361, 0.45])
def test_instance_that_uses_up_its_quota_is_behind_within_seconds(cores):
    delay = instance_delay.InstanceDelay()
    _, changes = replay(delay, make_quota_lags(cores, 10.0))
    ((at_s, is_behind),) = changes
    assert is_behind
    assert at_s < 2.5


@pytest.mark.parametrize(
    "lags_s",
    [
        [0.0] * 200,
        [0.02] * 200,
        # A burst of 0.3 s every two seconds is worked off by itself.
        ([0.3] + [0.0] * 34) * 10,
        # The process was suspended once.
        [0.0] * 20 + [5.0] + [0.0] * 100,
    ],
)
def test_bursts_and_a_suspension_do_not_count(lags_s):
    delay = instance_delay.InstanceDelay()
    assert replay(delay, lags_s)[1] == []


def test_instance_that_has_caught_up_is_no_longer_behind_within_seconds():
    delay = instance_delay.InstanceDelay()
    ends_s, changes = replay(delay, make_quota_lags(0.361, 5.0))
    _, later = replay(delay, [0.0] * 400, ends_s)
    ((at_s, is_behind),) = later
    assert not is_behind
    assert at_s - ends_s < 5.0
    assert len(changes) == 1


def test_load_between_both_limits_does_not_flap():
    """A quarter of the time is lost, more than one limit, less than other."""
    delay = instance_delay.InstanceDelay()
    ends_s, _ = replay(delay, make_quota_lags(0.361, 5.0))
    assert replay(delay, [0.06, 0.0, 0.0, 0.0] * 100, ends_s)[1] == []
    assert delay.is_behind
