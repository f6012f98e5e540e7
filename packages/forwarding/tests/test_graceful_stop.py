"""Which requests a stopping instance still starts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import types

import exchanges
import pytest

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types as catalogue_types
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import request_runner
from poplarwick_forwarding import takeover
from poplarwick_placement import messages

LISTENS_S = 2.6
GRACE_S = 7.4
FOREVER_S = 60.0

PLACEMENT = messages.Placement(ids.EndpointId("e"), "h:1", (), 0.1, "test")

ENGINE = catalogue_types.EngineProfile(
    slots=8,
    memory_tokens=405_000,
    step_s=0.0014,
    step_per_sequence_s=0.0,
    step_per_context_token_s=0.0,
    prefill_tokens_per_s=154_000.0,
    prefill_pair_s=0.162e-9,
    chunk_tokens=2_048,
    stride=34,
    hop_s=0.0,
    report_lag_s=0.0,
)


def begin(stop, ends_s, cuts_s=FOREVER_S):
    """Begins a stop that starts no more requests."""
    now_s = clock.now_s()
    stop.begin(now_s, now_s + ends_s, now_s + cuts_s)


def make_request(prompt_tokens, output_tokens):
    return messages.PlacementRequest(
        ids.RequestId("r"),
        ids.ServiceId("pool"),
        prompt_tokens,
        output_tokens,
        on_time_at_s=1.0,
        deadline_at_s=15.0,
        pause_limit_s=1.0,
    )


@pytest.mark.parametrize(
    ("prompt_tokens", "output_tokens", "starts"),
    [
        (5_000, 170, True),  # 0.3 s
        (120_000, 650, True),  # 1.1 s
        (120_000, 3_000, False),  # 4.4 s, and twice that beside others
    ],
)
def test_request_starts_only_if_it_ends_before_the_process(
    prompt_tokens, output_tokens, starts
):
    async def scenario():
        stop = graceful_stop.GracefulStop()
        now_s = clock.now_s()
        stop.begin(now_s + LISTENS_S, now_s + GRACE_S, now_s + GRACE_S)
        duration_s = graceful_stop.calculate_shortest_duration_s(
            make_request(prompt_tokens, output_tokens), ENGINE
        )
        try:
            async with stop.limit_wait(duration_s):
                await asyncio.sleep(0.01)
        except graceful_stop.StoppingError:
            return False
        return True

    assert asyncio.run(scenario()) is starts


def test_nothing_ends_the_waits_of_an_instance_that_does_not_stop():
    async def scenario():
        stop = graceful_stop.GracefulStop()
        async with stop.limit_wait(FOREVER_S):
            await asyncio.sleep(0.01)
        # Nor is a wait that is over remembered.
        begin(stop, 0.0)

    asyncio.run(scenario())


def test_deadline_inside_the_wait_is_not_taken_for_the_stop():
    async def scenario():
        stop = graceful_stop.GracefulStop()
        with pytest.raises(TimeoutError):
            async with stop.limit_wait(0.0), asyncio.timeout(0.01):
                await asyncio.sleep(FOREVER_S)

    asyncio.run(scenario())


class BusyFleet:
    """Never places a request."""

    def __init__(self):
        self.asked = asyncio.Event()

    async def place(self, request):
        self.asked.set()
        await asyncio.sleep(FOREVER_S)


def run_until_stop(exchange, *, executions, has_begun):
    """Returns the outcome of a request that waits as its instance stops."""
    fleet = BusyFleet()
    stop = graceful_stop.GracefulStop()
    runner = request_runner.RequestRunner(
        fleet,
        None,
        platform_dialect.PlatformDialect(),
        None,
        types.SimpleNamespace(find_blocked=frozenset),
        None,
        quarantines.Quarantines(),
        stop,
    )
    progress = request_progress.RequestProgress(None, executions=executions)
    sink = types.SimpleNamespace(has_begun=has_begun)

    async def scenario():
        running = asyncio.create_task(
            runner._run(exchange, sink, progress, takeover.Successor())
        )
        await fleet.asked.wait()
        begin(stop, GRACE_S)
        await asyncio.wait((running,), timeout=0.2)
        if not running.done():
            running.cancel()
            return None
        return running.result()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("executions", "failure"),
    [(0, outcomes.Failure.REFUSED), (1, outcomes.Failure.BROKEN)],
)
# Guards against a retry that waits until its instance has ended.
def test_waiting_request_is_told_the_truth_at_the_stop(executions, failure):
    outcome = run_until_stop(
        exchanges.make_exchange(), executions=executions, has_begun=False
    )
    assert outcome.failure is failure
    assert outcome.reason == "stopping"


def test_stream_that_has_begun_is_resumed_during_the_stop():
    assert (
        run_until_stop(exchanges.make_exchange(), executions=1, has_begun=True)
        is None
    )


class SilentFleet:
    """Places requests; its endpoints never answer."""

    def __init__(self):
        self.sent = 0

    async def place(self, request):
        del request
        self.sent += 1
        return placement_client.PlacementOutcome(1, PLACEMENT, "own", 0.0)


# Guards against attempts at a second endpoint that the stop ends unanswered.
@pytest.mark.parametrize(
    ("ends_s", "has_begun", "is_asked"),
    [(0.0, False, False), (GRACE_S, False, True), (0.0, True, True)],
)
def test_second_endpoint_is_asked_only_if_it_can_answer_before_the_end(
    ends_s, has_begun, is_asked
):
    fleet = SilentFleet()
    stop = graceful_stop.GracefulStop()
    runner = request_runner.RequestRunner(
        fleet,
        None,
        None,
        None,
        types.SimpleNamespace(find_blocked=frozenset),
        None,
        quarantines.Quarantines(),
        stop,
    )
    progress = request_progress.RequestProgress(None)
    sink = types.SimpleNamespace(has_begun=has_begun)

    async def open_elsewhere(outcome):
        del outcome
        await asyncio.sleep(FOREVER_S)

    async def scenario():
        begin(stop, ends_s)
        silence = takeover.Takeover(
            "r",
            None,
            lambda: True,
            lambda: runner._place_elsewhere(
                exchanges.make_exchange(), sink, progress, PLACEMENT
            ),
            open_elsewhere,
        )
        silence.reschedule(clock.now_s())
        await asyncio.sleep(0.1)
        silence.stop()

    asyncio.run(scenario())
    assert bool(fleet.sent) is is_asked


def run_while_stopping(*, has_begun, ends_s, cuts_s):
    """Returns how long a request runs in a stop; None if it is not ended."""

    async def scenario():
        stop = graceful_stop.GracefulStop()
        sink = types.SimpleNamespace(has_begun=has_begun)
        began_s = clock.now_s()
        asyncio.get_running_loop().call_soon(begin, stop, ends_s, cuts_s)
        try:
            async with asyncio.timeout(1.0), stop.limit_run(sink):
                await asyncio.sleep(FOREVER_S)
        except graceful_stop.StoppingError:
            return clock.now_s() - began_s
        except TimeoutError:
            return None

    return asyncio.run(scenario())


def test_request_whose_caller_has_nothing_ends_first():
    ended_s = run_while_stopping(has_begun=False, ends_s=0.1, cuts_s=FOREVER_S)
    assert ended_s >= 0.1


def test_stream_runs_until_it_is_cut():
    assert run_while_stopping(has_begun=True, ends_s=0.1, cuts_s=0.3) >= 0.3
    assert (
        run_while_stopping(has_begun=True, ends_s=0.1, cuts_s=FOREVER_S) is None
    )


# Guards against requests that are passed on after the last start, as the timer
# that ends their wait is late (LOST).
def test_request_is_not_started_after_the_last_start_without_a_wait():
    async def scenario():
        stop = graceful_stop.GracefulStop()
        begin(stop, GRACE_S)
        with pytest.raises(graceful_stop.StoppingError):
            async with stop.limit_wait(0.0):
                pytest.fail("the request was started")

    asyncio.run(scenario())


# Guards against an error in the event loop, and requests that are not ended, if
# the last part of a stop begins as streams are cut.
def test_requests_end_without_an_error_if_both_ends_are_at_one_time(caplog):
    assert run_while_stopping(has_begun=False, ends_s=0.1, cuts_s=0.1) >= 0.1
    assert caplog.text == ""


def run_with_standstill(*, has_begun, ends_s, cuts_s, standstill_s):
    """Returns what a request has read after its process stood still.

    The other side has sent everything before.
    """

    async def scenario():
        stop = graceful_stop.GracefulStop()
        sink = types.SimpleNamespace(has_begun=has_begun)
        near, far = socket.socketpair()
        with contextlib.closing(far):
            reader, writer = await asyncio.open_connection(sock=near)

            def stand_still():
                far.sendall(b"end")
                far.shutdown(socket.SHUT_WR)
                time.sleep(standstill_s)

            begin(stop, ends_s, cuts_s)
            asyncio.get_running_loop().call_soon(stand_still)
            try:
                async with stop.limit_run(sink):
                    return await reader.read()
            except graceful_stop.StoppingError:
                return None
            finally:
                writer.close()

    return asyncio.run(scenario())


# Guards against answers that their endpoint has ended and that a stop ends in
# place of reading them, as the process stood still meanwhile (LOST).
@pytest.mark.parametrize("has_begun", [True, False])
def test_answer_that_came_during_a_standstill_is_read(has_begun):
    received = run_with_standstill(
        has_begun=has_begun, ends_s=0.1, cuts_s=0.2, standstill_s=0.4
    )
    assert received == b"end"


@pytest.mark.parametrize("has_begun", [False, True])
def test_only_answers_that_have_not_begun_end_before_the_process(has_begun):
    async def run():
        stop = graceful_stop.GracefulStop()
        begin(stop, ends_s=0.05, cuts_s=0.1)
        async with stop.limit_answer(lambda: has_begun):
            await asyncio.sleep(0.5)

    if has_begun:
        asyncio.run(run())
        return
    with pytest.raises(graceful_stop.StoppingError):
        asyncio.run(run())
