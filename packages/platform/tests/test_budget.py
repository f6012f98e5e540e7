"""Tests for the client-side rate limit of calls."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_core import clock
from poplarwick_platform import _budget
from poplarwick_platform import kv


class ManualClock:
    def __init__(self, monkeypatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)


def take_all(budget, purpose) -> int:
    """Takes tokens until a call would have to wait; returns their number."""
    taken = 0
    while True:
        try:
            asyncio.run(budget.take(purpose))
        except kv.BudgetError:
            return taken
        taken += 1


def test_tokens_are_reserved_for_more_important_purposes(monkeypatch):
    ManualClock(monkeypatch)
    budget = _budget.CallBudget(max_rate_per_s=20, max_wait_s=0)
    housekeeping = take_all(budget, kv.Purpose.HOUSEKEEPING)
    lease = take_all(budget, kv.Purpose.LEASE)
    claim = take_all(budget, kv.Purpose.CLAIM)
    assert housekeeping == 10
    assert lease == 8
    assert claim == 2


def test_rate_decreases_in_outage_and_recovers_slowly(monkeypatch):
    manual_clock = ManualClock(monkeypatch)
    budget = _budget.CallBudget(max_rate_per_s=50, max_wait_s=0)
    for _ in range(60):
        manual_clock.now_s += 1
        budget.record_failure()
    assert budget.rate_per_s == _budget.MIN_RATE_PER_S
    assert take_all(budget, kv.Purpose.CLAIM) <= 1
    manual_clock.now_s += 1
    budget.record_success()
    first_second = take_all(budget, kv.Purpose.CLAIM)
    assert first_second <= 1 + _budget.RATE_INCREASE_PER_S2
    for _ in range(60):
        manual_clock.now_s += 1
        budget.record_success()
    assert budget.rate_per_s == budget.max_rate_per_s


def test_call_waits_for_a_token():
    async def scenario():
        budget = _budget.CallBudget(max_rate_per_s=50, max_wait_s=5)
        for _ in range(60):
            await budget.take(kv.Purpose.CLAIM)
        budget.max_wait_s = 0
        with pytest.raises(kv.BudgetError):
            await budget.take(kv.Purpose.HOUSEKEEPING)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "purpose", [kv.Purpose.CONFIGURATION, kv.Purpose.HOUSEKEEPING]
)
def test_operator_calls_succeed_after_an_outage(monkeypatch, purpose):
    # Guards against operators' calls that fail although the service is back,
    # because a token of the lowest rate takes longer than the call may wait.
    manual_clock = ManualClock(monkeypatch)

    async def advance(delay_s):
        manual_clock.now_s += delay_s

    monkeypatch.setattr(asyncio, "sleep", advance)
    budget = _budget.CallBudget(max_rate_per_s=50)
    for _ in range(10):
        manual_clock.now_s += 1
        budget.record_failure()
    assert budget.rate_per_s == _budget.MIN_RATE_PER_S

    async def call():
        await budget.take(purpose)
        budget.record_success()

    # A lease is renewed between the operator's calls.
    for _ in range(5):
        asyncio.run(budget.take(kv.Purpose.LEASE))
        asyncio.run(call())
