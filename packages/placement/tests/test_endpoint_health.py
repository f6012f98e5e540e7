"""Tests how request results change an endpoint's health."""

from __future__ import annotations

import pytest

from poplarwick_placement import endpoint_health
from poplarwick_placement import messages

UPTIME_S = 3.0


def measure_backoff_s(health, now_s):
    """Records a failure and returns the backoff that follows it."""
    health.record_result(messages.Result.UNREACHABLE, now_s)
    return health.backoff_until_s - now_s


def test_backoff_of_flapping_endpoint_grows_up_to_maximum():
    health = endpoint_health.EndpointHealth()
    backoffs = []
    for cycle in range(4):
        now_s = 100.0 + cycle * (UPTIME_S + endpoint_health.MAX_BACKOFF_S)
        backoffs.append(measure_backoff_s(health, now_s))
        health.record_result(messages.Result.DONE, health.backoff_until_s + 0.1)
    assert backoffs == sorted(set(backoffs))
    assert backoffs[-1] == endpoint_health.MAX_BACKOFF_S


def test_old_failures_do_not_lengthen_backoff():
    health = endpoint_health.EndpointHealth()
    first_s = measure_backoff_s(health, 100.0)
    measure_backoff_s(health, 101.0)
    later_s = 101.0 + endpoint_health.FAILURE_RESET_S + 0.1
    assert measure_backoff_s(health, later_s) == first_s


@pytest.mark.parametrize(
    "result", sorted(endpoint_health.FAILURE_RESULTS, key=str)
)
def test_failed_endpoint_is_half_open_until_a_request_succeeds(result):
    health = endpoint_health.EndpointHealth()
    health.record_result(result, 100.0)
    later_s = health.backoff_until_s + 0.1
    assert not health.allows_request(0, 100.1)
    assert health.allows_request(0, later_s)
    assert not health.allows_request(1, later_s)
    health.record_result(messages.Result.DONE, later_s)
    assert health.allows_request(1, later_s)
