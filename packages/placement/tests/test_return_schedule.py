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
    assert schedule.has_returned(returned, returns_at_s) is is_recognised


def test_a_promise_counts_for_one_return():
    schedule = return_schedule.ReturnSchedule()
    book(schedule)
    assert schedule.record_submission(make_request(attempt=2), 1.0)
    assert not schedule.record_submission(make_request(attempt=3), 1.0)


def test_promises_are_bounded():
    schedule = return_schedule.ReturnSchedule()
    for number in range(return_schedule.MAX_PROMISES + 10):
        book(schedule, str(number), latest_s=1e9)
    assert len(schedule) == return_schedule.MAX_PROMISES


def test_promises_expire():
    schedule = return_schedule.ReturnSchedule()
    book(schedule)
    assert not schedule.record_submission(make_request("other"), 100.0)
    assert len(schedule) == 0
