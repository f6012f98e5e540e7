"""When a request is taken from a silent endpoint, and when it stays."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_forwarding import takeover
from poplarwick_placement import messages

PLACEMENT = messages.Placement(ids.EndpointId("e"), "h:1", (), 0.1, "test")
ANSWERED = object()
REFUSAL = messages.Refusal(messages.RefusalReason.REPEAT_BUDGET, 0.1)


class Attempt:
    """Records that the attempt was ended."""

    def __init__(self):
        self.is_ended = False

    def reschedule(self, when):
        self.is_ended = when is not None


class Fleet:
    """Decides on placements, and answers at other endpoints, after a time."""

    def __init__(self, decisions, delay_s=0.0, answers=(), answer_s=0.0):
        self.decisions = iter(decisions)
        self.delay_s = delay_s
        self.answers = iter(answers)
        self.answer_s = answer_s
        self.asked = 0
        self.opened = 0
        self.withdrawn = 0

    async def open(self, outcome):
        assert outcome.decision is PLACEMENT
        self.opened += 1
        try:
            await asyncio.sleep(self.answer_s)
        except asyncio.CancelledError:
            self.withdrawn += 1
            raise
        return next(self.answers, ANSWERED)

    async def place(self):
        self.asked += 1
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.withdrawn += 1
            raise
        return placement_client.PlacementOutcome(
            7, next(self.decisions), "own", 0.0
        )


def run(fleet, scenario):
    async def main():
        attempt = Attempt()
        silence = takeover.Takeover(
            "r", attempt, lambda: fleet.opened < 2, fleet.place, fleet.open
        )
        silence.reschedule(clock.now_s() + 0.01)
        await scenario(silence)
        silence.stop()
        await asyncio.sleep(0)
        return attempt, silence

    return asyncio.run(main())


async def wait(silence):
    await asyncio.sleep(0.1)


def test_attempt_ends_once_another_endpoint_has_the_request():
    attempt, silence = run(Fleet([PLACEMENT]), wait)
    assert attempt.is_ended
    assert silence.take_attempt() is ANSWERED
    assert silence.take_attempt() is None


def test_attempt_goes_on_while_no_other_endpoint_takes_the_request():
    waiting = Fleet([PLACEMENT], delay_s=60.0)
    for fleet in (Fleet([REFUSAL]), waiting):
        attempt, silence = run(fleet, wait)
        assert not attempt.is_ended
        assert silence.take_attempt() is None
    assert waiting.withdrawn == 1


def test_refused_request_is_asked_for_again(monkeypatch):
    monkeypatch.setattr(takeover, "ASK_AGAIN_S", 0.02)
    fleet = Fleet([REFUSAL, REFUSAL, PLACEMENT])
    attempt, _ = run(fleet, wait)
    assert attempt.is_ended
    assert fleet.asked == 3


@pytest.mark.parametrize("next_s", [None, 60.0])
def test_endpoint_that_goes_on_keeps_its_request(next_s):
    fleet = Fleet([PLACEMENT], delay_s=0.05)

    async def speak(silence):
        await asyncio.sleep(0.03)
        silence.reschedule(None if next_s is None else clock.now_s() + next_s)
        await asyncio.sleep(0.05)

    attempt, silence = run(fleet, speak)
    assert not attempt.is_ended
    assert fleet.withdrawn == 1
    assert silence.take_attempt() is None


# Guards against requests taken from an endpoint that another one refuses.
def test_attempt_goes_on_while_the_other_endpoint_does_not_answer(monkeypatch):
    monkeypatch.setattr(takeover, "ASK_AGAIN_S", 0.02)
    refusing = Fleet([PLACEMENT] * 9, answers=[None] * 9)
    slow = Fleet([PLACEMENT], answer_s=60.0)
    for fleet in (refusing, slow):
        attempt, silence = run(fleet, wait)
        assert not attempt.is_ended
        assert silence.take_attempt() is None
    assert slow.withdrawn == 1
    # As often as the request may be sent.
    assert refusing.asked == refusing.opened == 2


def test_endpoint_that_fails_leaves_its_request_to_the_other_one():
    fleet = Fleet([PLACEMENT], answer_s=0.08)

    async def fail(silence):
        while not fleet.opened:
            await asyncio.sleep(0.001)
        assert await silence.wait_for_attempt() is ANSWERED

    attempt, _ = run(fleet, fail)
    assert not attempt.is_ended
