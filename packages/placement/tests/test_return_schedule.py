"""Tests for the times at which refused callers are told to return."""

from __future__ import annotations

import dataclasses

import pytest

from poplarwick_bench.replay import traffic
from poplarwick_core import ids
from poplarwick_placement import return_schedule


def make_request(name="r", attempt=1):
    request = traffic.make_request(traffic.LABEL, 0.0, 5_000, 38, name)
    return dataclasses.replace(
        request,
        request_id=ids.RequestId(f"{name}-{attempt}"),
        fingerprint=ids.RequestFingerprint(name),
    )


def book(schedule, name="r", now_s=0.0, latest_s=3.0):
    return schedule.book(make_request(name), 1.0, latest_s, 0.5, now_s)


def test_callers_return_one_after_the_other():
    schedule = return_schedule.ReturnSchedule()
    times = [book(schedule, name) for name in "abcdef"]
    assert times == [1.0, 1.5, 2.0, 2.5, 3.0, None]


@pytest.mark.parametrize(
    ("returns_at_s", "is_recognised"),
    [(0.3, False), (0.8, True), (1.0, True), (1.5, True), (2.0, False)],
)
def test_recognises_a_return_near_the_stated_time(returns_at_s, is_recognised):
    schedule = return_schedule.ReturnSchedule()
    book(schedule)
    returned = make_request(attempt=2)
    assert schedule.record_submission(returned, returns_at_s) is is_recognised
    kind = schedule.find_return(returned, returns_at_s)
    assert (kind is return_schedule.Return.AS_PROMISED) is is_recognised


def test_as_many_copies_return_as_were_told_to():
    schedule = return_schedule.ReturnSchedule()
    assert [book(schedule), book(schedule)] == [1.0, 1.5]
    returns = [
        schedule.record_submission(make_request(attempt=number), 1.2)
        for number in range(2, 5)
    ]
    assert returns == [True, True, False]


def test_caller_without_a_promise_is_told_apart():
    schedule = return_schedule.ReturnSchedule()
    schedule.await_unpromised(make_request(), 1.0, 0.0)
    returned = make_request(attempt=2)
    assert schedule.record_submission(returned, 1.0)
    kind = schedule.find_return(returned, 1.0)
    assert kind is return_schedule.Return.UNPROMISED
    # It counts as new once it is refused again.
    schedule.forget(returned)
    assert schedule.find_return(returned, 1.0) is None


def test_awaited_returns_are_bounded_and_expire():
    schedule = return_schedule.ReturnSchedule()
    for number in range(return_schedule.MAX_REQUESTS + 10):
        book(schedule, str(number), latest_s=1e9)
    assert len(schedule) == return_schedule.MAX_REQUESTS
    assert not schedule.record_submission(make_request("other"), 1e6)
    assert len(schedule) == 0
