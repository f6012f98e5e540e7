"""Tests for the capacity that a forecast counts, and when requests start."""

from __future__ import annotations

import dataclasses

import pytest

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import returning_callers
from poplarwick_bench.replay import traffic
from poplarwick_placement import admission_control
from poplarwick_placement import capacity_forecast
from poplarwick_placement import messages
from poplarwick_placement import queue_order
from poplarwick_placement import service_pool

NOW_S = 100.0

PROFILE = returning_callers.CONTENDED_PROFILE


def make_states(count, profile=PROFILE, **changes):
    candidate = service_pool.Candidate(
        engines.make_endpoint(0), profile, True, 0.0, 36.0
    )
    return [
        service_pool.make_state(
            dataclasses.replace(
                candidate, endpoint=engines.make_endpoint(number), **changes
            )
        )
        for number in range(count)
    ]


def make_request(tokens=5_000, events=20, deadline_s=10.0):
    kind = dataclasses.replace(traffic.LABEL, deadline_s=deadline_s)
    return traffic.make_request(kind, NOW_S, tokens, events, "r")


def fill(states, **options):
    """Uses all slots of endpoints by requests that began just now."""
    for state in states:
        for number in range(state.load.slots):
            request = make_request(**options)
            state.load.allocate_primary(
                number, request, 0.0, request.memory_tokens, NOW_S
            )
            state.load.record_first_event(number, NOW_S)


def forecast(states, requests):
    """Returns the times until requests start, None for those that cannot."""
    waiting = [
        (number, queue_order.QueuedRequest(request, NOW_S, 0.1))
        for number, request in enumerate(requests)
    ]
    capacity = capacity_forecast.Capacity(states, NOW_S)
    starts_s = capacity_forecast.forecast(capacity, waiting, (), (), ())
    return [
        starts_s[number] - NOW_S if number in starts_s else None
        for number in range(len(requests))
    ]


def test_requests_start_as_running_ones_end():
    states = make_states(2)
    fill(states)
    load = states[0].load
    [expected, *_] = load.expect_ends()
    [first, *_, last] = forecast(states, [make_request()] * 13)
    # The thirteenth of twelve slots' worth waits for a second end.
    assert first >= expected.decode_s
    assert last >= 2 * expected.decode_s


def test_request_that_cannot_end_before_its_deadline_does_not_start():
    states = make_states(1)
    fill(states)
    [early, late] = forecast(
        states, [make_request(deadline_s=10.0), make_request(deadline_s=1.5)]
    )
    assert early is not None
    assert late is None


def test_prompt_larger_than_an_engine_starts_on_the_memory_of_a_group():
    large = make_request(tokens=300_000)
    assert forecast(make_states(2), [large]) == [0.0]
    [alone] = forecast(make_states(1), [large])
    assert alone is None
    # The memory of a second prompt is there when the first one has ended.
    first, second = forecast(make_states(2), [large, large])
    assert first == 0.0
    assert second is None or second > 1.0


def test_small_requests_overtake_a_prompt_without_memory():
    states = make_states(1)
    large = make_request(tokens=150_000)
    states[0].load.allocate_primary(0, large, 0.0, large.memory_tokens, NOW_S)
    blocked, small = forecast(states, [large, make_request()])
    assert blocked is None or blocked > 0.0
    assert small == 0.0


@pytest.mark.parametrize("slots", [None, "unhealthy", "cold"])
def test_slots_count_only_where_requests_may_be_sent(slots):
    used, other = make_states(2)
    fill([used])
    if slots == "unhealthy":
        other.health.record_result(messages.Result.UNREACHABLE, NOW_S)
    if slots == "cold":
        other.candidate = dataclasses.replace(
            other.candidate, cold_until_s=NOW_S + 10.0
        )
        other.cold_limiter.limit = 0
    capacity = capacity_forecast.Capacity([used, other], NOW_S)
    assert capacity.free_slots == (PROFILE.slots if slots is None else 0)


def test_plain_calls_wait_for_the_response_time():
    states = make_states(1, profile=None)
    fill(states)
    response_time_s = states[0].load.response_time_s
    [start] = forecast(states, [make_request(tokens=0)])
    assert start == pytest.approx(response_time_s, rel=0.1)


def test_request_that_an_endpoint_has_received_is_not_refused():
    states = make_states(1)
    fill(states)
    request = make_request(deadline_s=0.3)
    for was_placed in (False, True):
        queued = queue_order.QueuedRequest(
            dataclasses.replace(request, was_placed=was_placed), NOW_S, 0.1
        )
        refused = admission_control.AdmissionControl().review(
            states, [("k", queued)], NOW_S
        )
        assert ("k" in refused) is not was_placed
