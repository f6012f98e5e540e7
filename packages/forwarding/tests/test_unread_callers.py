"""Bounds of buffered data, and who loses a connection when they are reached."""

from __future__ import annotations

import pytest

from poplarwick_forwarding import backpressure
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import unread_callers

SMALL_MEMORY_BYTES = 152_000_000
PERIOD_S = 0.25


def make_budget(memory_bytes=SMALL_MEMORY_BYTES):
    return buffer_budget.BufferBudget(buffer_budget.make_limits(memory_bytes))


def review(budget, callers, unsent_bytes, from_s, until_s):
    """Reviews until connections are to be closed; returns time and names."""
    held_bytes = budget.limits.connection_bytes
    now_s = from_s
    while now_s < until_s:
        unsent = {
            name: unread_callers.UnsentData(read_size(now_s), held_bytes)
            for name, read_size in unsent_bytes.items()
        }
        closings = callers.review(unsent, now_s)
        if closings:
            return now_s, [closing.connection for closing in closings]
        now_s += PERIOD_S
    return None


@pytest.mark.parametrize("memory_bytes", [0, SMALL_MEMORY_BYTES, 552_000_000])
def test_two_hundred_unread_streams_leave_room_for_requests(memory_bytes):
    budget = make_budget(memory_bytes)
    budget.unread_streams = 200
    assert budget.can_accept(100_000)
    assert budget.limits.total_bytes <= 0.25 * (memory_bytes or 200_000_000)


def test_bodies_are_refused_before_answers_in_progress_lack_memory():
    budget = make_budget()
    with budget.hold() as bodies, budget.hold() as answers:
        with pytest.raises(buffer_budget.BudgetSpentError):
            while True:
                bodies.add_request_body(100_000)
        assert not budget.can_accept(100_000)
        answers.add_response(1_000_000)
    assert budget.used_bytes == 0


def test_caller_that_reads_a_little_now_and_then_keeps_its_connection():
    budget = make_budget()
    budget.unread_streams = 1_000
    callers = unread_callers.UnreadCallers(budget)
    slow = {"slow": lambda now_s: 50_000 - 10 * int(now_s / 2)}
    assert review(budget, callers, slow, 0.0, 100.0) is None


def test_only_as_many_callers_are_cut_as_memory_is_missing():
    """A burst of callers that do not read; the oldest lose their streams."""
    budget = make_budget()
    while budget.excess_bytes <= 2 * budget.limits.connection_bytes:
        budget.unread_streams += 1
    callers = unread_callers.UnreadCallers(budget)
    unsent = {name: lambda now_s: 50_000 for name in "abcdef"}
    at_s, closed = review(budget, callers, unsent, 0.0, 60.0)
    assert at_s == unread_callers.PRESSURE_LIMIT_S
    assert closed == ["a", "b", "c"]


def test_unread_connection_is_closed_after_its_limit_without_pressure():
    budget = make_budget()
    callers = unread_callers.UnreadCallers(budget)
    unsent = {"silent": lambda now_s: 50_000}
    at_s, closed = review(budget, callers, unsent, 0.0, 60.0)
    assert at_s == unread_callers.UNREAD_LIMIT_S
    assert closed == ["silent"]


def test_lag_counts_from_the_first_of_many_short_blocks():
    lag = backpressure.CallerLag()
    assert lag.calculate_lag_s(0.0) == 0.0
    for number in range(10):
        lag.record_blocked(number * 0.4)
        lag.record_released(number * 0.4 + 0.2)
    assert lag.calculate_lag_s(4.0) == 4.0
    # It has caught up, so that a later cut is the endpoint's.
    assert lag.calculate_lag_s(5.0) == 0.0
