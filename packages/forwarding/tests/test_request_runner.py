"""How requests are sent again, and what a caller is told at the end."""

from __future__ import annotations

import asyncio
import contextlib
import types

import exchanges
import pytest

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_catalogue import quarantines
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_forwarding import events
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import request_runner
from poplarwick_forwarding import stream_relay
from poplarwick_forwarding import takeover
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

TIME_LEFT_S = exchanges.TIME_LEFT_S


class Placements:
    """Places each request at one endpoint."""

    def __init__(self):
        self.results = []
        self.requests = []

    async def place(self, request):
        self.requests.append(request)
        placement = messages.Placement(
            ids.EndpointId("e"), "127.0.0.1:1", (), 0.1, "test"
        )
        return placement_client.PlacementOutcome(1, placement, "own", 0.0)

    def record_first_event(self, number):
        pass

    def on_suspicion(self, number, listener):
        pass

    def record_end(self, number, result, blamed=None, answer=None):
        self.results.append(result)


class Sender:
    """Never gets a response, or gets a refusal that says "not run"."""

    def __init__(self, refuses, unreachable=0):
        self.refuses = refuses
        self.unreachable = unreachable

    @contextlib.asynccontextmanager
    async def send(self, address, request):
        if self.unreachable:
            self.unreachable -= 1
            raise upstream.SendError(
                "no connection", messages.Result.UNREACHABLE, may_have_run=False
            )
        if self.refuses:
            raise upstream.SendError(
                "full", messages.Result.FULL, may_have_run=False
            )
        await asyncio.sleep(10)
        yield


class Memory:
    """Reserves nothing, and knows for how many attempts."""

    def __init__(self):
        self.holds = 0

    @contextlib.asynccontextmanager
    async def hold(self, helpers):
        self.holds += 1
        try:
            yield ()
        finally:
            self.holds -= 1


NOTICES = types.SimpleNamespace(find_blocked=frozenset)


def run_request(*, refuses, unreachable=0, placements=None, memory=None):
    runner = request_runner.RequestRunner(
        placements or Placements(),
        Sender(refuses, unreachable),
        platform_dialect.PlatformDialect(),
        memory or Memory(),
        NOTICES,
        None,
        quarantines.Quarantines(),
        graceful_stop.GracefulStop(),
    )
    sink = types.SimpleNamespace(has_begun=False)

    async def run():
        return await runner.run(exchanges.make_exchange(), sink)

    return asyncio.run(run())


@pytest.mark.parametrize("early_s", [0.0, 0.0005, 0.02])
def test_request_that_was_sent_is_not_called_not_run(monkeypatch, early_s):
    # The event loop rounds the times of timers, so that one may fire a little
    # before the deadline by the clock.
    offsets_s = iter((0.0,))
    monkeypatch.setattr(
        request_runner,
        "clock",
        types.SimpleNamespace(
            now_s=lambda: clock.now_s() - next(offsets_s, early_s)
        ),
    )
    outcome = run_request(refuses=False)
    assert outcome.failure in (
        outcomes.Failure.TIMED_OUT,
        outcomes.Failure.BROKEN,
    )


def test_request_that_every_endpoint_refused_is_called_not_run():
    outcome = run_request(refuses=True)
    assert outcome.failure is outcomes.Failure.REFUSED


def test_endpoints_that_were_not_connected_use_up_no_retries():
    placements = Placements()
    run_request(refuses=True, unreachable=2, placements=placements)
    first, second, third, fourth, *_ = placements.requests
    assert not any(r.is_retry for r in (first, second, third))
    assert fourth.is_retry
    # For the budget it is one request all the while.
    assert not first.was_placed
    assert all(r.was_placed for r in (second, third, fourth))


def test_request_that_every_endpoint_refused_is_called_not_run_if_time_is_up(
    monkeypatch,
):
    """The refusals take until the deadline, by the clock."""
    late_s = iter([0.0] * 8)
    monkeypatch.setattr(
        request_runner,
        "clock",
        types.SimpleNamespace(
            now_s=lambda: clock.now_s() + next(late_s, TIME_LEFT_S)
        ),
    )
    outcome = run_request(refuses=True)
    assert outcome.failure is outcomes.Failure.REFUSED


class Refusals(Placements):
    """Refuses each request until a time that callers do not wait for."""

    def __init__(self, outlook):
        super().__init__()
        self.outlook = outlook

    async def place(self, request):
        refusal = messages.Refusal(
            messages.RefusalReason.NO_TIME, TIME_LEFT_S, self.outlook
        )
        return placement_client.PlacementOutcome(1, refusal, "own", 0.0)


@pytest.mark.parametrize(
    ("outlook", "share"),
    [
        (None, 0.2),
        (messages.CapacityOutlook(3, TIME_LEFT_S), 1 / 3),
        (messages.CapacityOutlook(3, None), 1 / 3),
    ],
)
def test_forecast_may_use_all_the_time_that_callers_wait(outlook, share):
    outcome = run_request(refuses=False, placements=Refusals(outlook))
    assert outcome.failure is outcomes.Failure.REFUSED
    assert outcome.retry_after_s <= share * TIME_LEFT_S
    assert outcome.retry_after_s > 0.8 * share * TIME_LEFT_S


def test_endpoint_that_was_not_connected_is_named_to_the_placer():
    placements = Placements()
    run_request(refuses=True, unreachable=1, placements=placements)
    first, second, *_ = placements.requests
    assert first.unreachable == frozenset()
    assert second.unreachable == {"e"}
    assert second.avoided == frozenset()


@pytest.mark.parametrize("resumed_after", [None, 7])
def test_events_before_a_resume_are_counted(resumed_after):
    # What a caller's resumed stream costs would be learned as less.
    progress = request_progress.RequestProgress(resumed_after)
    first = (resumed_after or 0) + 1
    stream_relay._join_events(
        [events.Event(b"", first), events.Event(b"", first + 1)], progress
    )
    assert progress.stream_events == first + 1


# Guards against memory that stays reserved for an attempt that has failed while
# another endpoint is waited for (LEAK).
def test_failed_attempt_holds_no_memory_while_another_one_is_opened(
    monkeypatch,
):
    memory = Memory()
    placements = Placements()
    held = []

    async def wait_for_attempt(silence):
        held.append((memory.holds, len(placements.results)))

    monkeypatch.setattr(takeover.Takeover, "wait_for_attempt", wait_for_attempt)
    run_request(refuses=True, placements=placements, memory=memory)
    assert held[:2] == [(0, 1), (0, 2)]
    assert len(placements.results) == len(held)
