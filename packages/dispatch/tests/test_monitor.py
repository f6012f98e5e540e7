"""Tests of memory, take-over, cold starts and failures of engines."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from poplarwick_configuration import document
from poplarwick_dispatch import health
from poplarwick_dispatch import pool as pools
from poplarwick_dispatch import window
from poplarwick_peers.wire import grant_pb2

EXPIRED_S = pools.GRANT_TTL_S + 2.5
KEPT_S = pools.KEEP_S + 3.0
COLD = document.ColdStart(concurrent=2, tokens=4_000)


def _count_memory(bed):
    return sum(book.memory_tokens for book in bed.find_books().values())


def test_grant_never_sent_frees_its_memory_after_asking_the_engine():
    async def main():
        async with fakes.Bed() as bed:
            await bed.dispatcher.acquire(fakes.make_request())
            assert _count_memory(bed) == 1100
            await asyncio.sleep(EXPIRED_S)
            assert _count_memory(bed) == 0

    fakes.run(main())


def test_running_stream_keeps_its_memory_without_reports():
    async def main():
        async with fakes.Bed() as bed:
            grant = (await bed.acquire()).grant
            await asyncio.sleep(60)
            assert _count_memory(bed) == 1100
            bed.find_engine(grant.endpoint).streams.clear()
            await asyncio.sleep(KEPT_S)
            assert _count_memory(bed) == 0

    fakes.run(main())


def test_cancelled_request_frees_memory_only_when_the_engine_confirms():
    async def main():
        async with fakes.Bed() as bed:
            grant = (await bed.acquire()).grant
            engine = bed.find_engine(grant.endpoint)
            engine.is_reachable = False
            await bed.report(grant, grant_pb2.REPORT_CANCELLED)
            await asyncio.sleep(5)
            assert _count_memory(bed) == 1100
            engine.is_reachable = True
            await asyncio.sleep(2)
            assert _count_memory(bed) == 0
            assert engine.cancelled[-1] == grant.stream_id

    fakes.run(main())


def test_streams_of_a_dead_entry_are_cancelled():
    async def main():
        dead = set()
        async with fakes.Bed(is_live=lambda i: i not in dead) as bed:
            grant = (await bed.acquire()).grant
            await bed.acquire(entry_instance="i3")
            await bed.report(grant, grant_pb2.REPORT_FIRST_TOKEN)
            dead.add("i2")
            await asyncio.sleep(EXPIRED_S)
            assert _count_memory(bed) == 1100
            engine = bed.find_engine(grant.endpoint)
            assert grant.stream_id in engine.cancelled

    fakes.run(main())


def test_late_send_on_a_grant_of_a_dead_entry_is_cancelled_too():
    async def main():
        dead = set()
        async with fakes.Bed(is_live=lambda i: i not in dead) as bed:
            reply = await bed.dispatcher.acquire(fakes.make_request())
            dead.add("i2")
            await asyncio.sleep(1)
            assert _count_memory(bed) == 1100
            engine = bed.find_engine(reply.grant.endpoint)
            engine.start(reply.grant.stream_id)
            await asyncio.sleep(EXPIRED_S)
            assert _count_memory(bed) == 0
            assert not engine.streams

    fakes.run(main())


def test_new_owner_adopts_claimed_streams_and_cancels_the_others():
    async def main():
        bed = fakes.Bed(
            fakes.make_view(endpoints=1), is_live=lambda i: i == "i2"
        )
        engine = bed.engines["127.0.0.1:9000"]
        engine.epoch = 1
        engine.start("gr-1.i2", 500)
        engine.start("gr-2.gone", 300)
        engine.start("foreign", 200)
        engine.start("gr-3.i2", 100, state="finished")
        async with bed:
            assert _count_memory(bed) == 1000
            await asyncio.sleep(2)
            assert _count_memory(bed) == 500
            assert {"gr-2.gone", "foreign"} <= set(engine.cancelled)
            grant = grant_pb2.Grant(grant_id="gr-1", endpoint="e0")
            reply = await bed.report(grant, grant_pb2.REPORT_COMPLETE)
            assert not reply.unknown_grants
            assert _count_memory(bed) == 0

    fakes.run(main())


def test_no_place_before_the_engine_has_told_its_state():
    async def main():
        bed = fakes.Bed(fakes.make_view(endpoints=1))
        engine = bed.engines["127.0.0.1:9000"]
        engine.is_reachable = False
        async with bed:
            task = asyncio.create_task(bed.acquire())
            await asyncio.sleep(5)
            assert not task.done()
            engine.is_reachable = True
            assert (await task).HasField("grant")

    fakes.run(main())


@pytest.mark.parametrize(
    ("epoch", "keeps_epochs", "is_immediate"),
    [(0, True, True), (1, True, False), (0, False, False)],
)
def test_new_owner_waits_for_grants_of_an_earlier_one(
    epoch, keeps_epochs, is_immediate
):
    async def main():
        bed = fakes.Bed(fakes.make_view(endpoints=1))
        engine = bed.engines["127.0.0.1:9000"]
        engine.epoch = epoch
        engine.keeps_epochs = keeps_epochs
        async with bed.dispatcher:
            await bed.dispatcher.begin_tenure(fakes.make_tenure("e0", 2))
            await asyncio.sleep(0.5)
            book = bed.find_books()["e0"]
            assert book.is_ready == is_immediate
            # Sent on a grant of the earlier owner.
            engine.start("gr-1.i2", 500, epoch=1)
            await asyncio.sleep(pools.GRANT_TTL_S)
            assert book.is_ready
            if not is_immediate:
                assert _count_memory(bed) == 500

    fakes.run(main())


def test_unannounced_restart_closes_the_window_and_moves_the_queue():
    async def main():
        model = fakes.make_model(max_batch=8, cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Bed(view) as bed:
            book = bed.find_books()["e0"]
            book.window.note_complete(64)
            grants = [(await bed.acquire()).grant for _ in range(8)]
            waiting = asyncio.create_task(bed.acquire())
            await asyncio.sleep(0.1)
            bed.find_engine("e0").restart()
            refusal = (await waiting).refusal
            assert refusal.reason == grant_pb2.REFUSAL_NO_ROOM
            for grant in grants:
                await bed.report(grant, grant_pb2.REPORT_FAILED)
            await asyncio.sleep(EXPIRED_S)
            assert _count_memory(bed) == 0
            assert not book.window.is_open
            tasks = [asyncio.create_task(bed.acquire()) for _ in range(5)]
            await asyncio.sleep(0.1)
            granted = [t.result().grant for t in tasks if t.done()]
            assert len(granted) == COLD.concurrent
            # Each completion opens the window by one more place.
            await bed.report(granted[0], grant_pb2.REPORT_COMPLETE)
            await asyncio.sleep(0.1)
            assert sum(t.done() for t in tasks) == COLD.concurrent + 2
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    fakes.run(main())


def test_cold_endpoint_gets_no_more_prompt_tokens_than_it_carries():
    async def main():
        model = fakes.make_model(cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Bed(view) as bed:
            assert (await bed.acquire(3_000)).HasField("grant")
            second = asyncio.create_task(bed.acquire(3_000))
            await asyncio.sleep(1)
            assert not second.done()
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)

    fakes.run(main())


def test_cold_overload_told_by_an_entry_closes_the_window_at_once():
    async def main():
        async with fakes.Bed(fakes.make_view(endpoints=1)) as bed:
            book = bed.find_books()["e0"]
            book.window.note_complete(64)
            grant = (await bed.acquire()).grant
            request = fakes.make_report(grant, grant_pb2.REPORT_NOT_SENT)
            request.reports[0].detail = "status_503"
            await bed.dispatcher.report(request)
            assert not book.window.is_open

    fakes.run(main())


def test_endpoint_that_becomes_slow_counts_as_cold():
    async def main():
        async with fakes.Bed(fakes.make_view(endpoints=1)) as bed:
            book = bed.find_books()["e0"]
            book.window.note_complete(64)
            for _ in range(10):
                grant = (await bed.acquire(5_000)).grant
                await bed.report(
                    grant, grant_pb2.REPORT_FIRST_TOKEN, first_token_s=3.0
                )
                await bed.report(grant, grant_pb2.REPORT_COMPLETE)
                if not book.window.is_open:
                    break
            assert not book.window.is_open

    fakes.run(main())


def test_first_tokens_at_the_warm_rate_open_the_window():
    async def main():
        model = fakes.make_model(cold_start=COLD, prefill_tokens_per_s=10_000)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Bed(view) as bed:
            book = bed.find_books()["e0"]
            for first_s, opens in ((0.4, False), (0.05, False), (0.22, True)):
                for _ in range(window.WARM_SAMPLES):
                    grant = (await bed.acquire(2_000)).grant
                    await bed.report(
                        grant,
                        grant_pb2.REPORT_FIRST_TOKEN,
                        first_token_s=first_s,
                    )
                    # Not completed: only the first tokens are evidence.
                    await bed.report(grant, grant_pb2.REPORT_NOT_SENT)
                assert book.window.is_open == opens

    fakes.run(main())


def test_returning_domain_is_asked_for_restarts_before_new_work():
    async def main():
        model = fakes.make_model(cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Bed(view) as bed:
            book = bed.find_books()["e0"]
            book.window.note_complete(64)
            out = fakes.make_view(2, endpoints=1, model=model, out=("d1",))
            bed.dispatcher.apply_view(out)
            bed.find_engine("e0").restart()
            bed.dispatcher.apply_view(
                fakes.make_view(3, endpoints=1, model=model)
            )
            tasks = [asyncio.create_task(bed.acquire()) for _ in range(9)]
            await asyncio.sleep(0.4)
            granted = [t for t in tasks if t.done() and _is_granted(t)]
            assert len(granted) <= COLD.concurrent
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    fakes.run(main())


def _is_granted(task):
    return task.result().HasField("grant")


def test_failing_endpoint_is_left_out_but_not_the_last_ones():
    async def main():
        async with fakes.Bed(fakes.make_view(endpoints=2)) as bed:
            found = bed.find_books()
            for _ in range(health.FAILURES):
                found["e0"].health.note_failure()
            for _ in range(4):
                assert (await bed.acquire()).grant.endpoint == "e1"
            for _ in range(health.FAILURES):
                found["e1"].health.note_failure()
            endpoints = {
                (await bed.acquire()).grant.endpoint for _ in range(10)
            }
            assert endpoints == {"e0", "e1"}

    fakes.run(main())


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "acquire",
                "unsent",
                "first",
                "complete",
                "failed",
                "cancelled",
                "not_sent",
                "restart",
                "down",
                "up",
                "death",
                "take_over",
                "wait",
            ]
        ),
        st.integers(0, 7),
    ),
    max_size=40,
)
REPORTS = {
    "first": grant_pb2.REPORT_FIRST_TOKEN,
    "complete": grant_pb2.REPORT_COMPLETE,
    "failed": grant_pb2.REPORT_FAILED,
    "cancelled": grant_pb2.REPORT_CANCELLED,
    "not_sent": grant_pb2.REPORT_NOT_SENT,
}


@settings(max_examples=150, deadline=None)
@given(EVENTS)
def test_memory_returns_to_zero_after_any_sequence(events):
    async def main():
        dead = set()
        async with fakes.Bed(is_live=lambda i: i not in dead) as bed:
            grants = []
            for event, number in events:
                await _play(bed, event, number, grants, dead)
                _check_books(bed)
            dead.update(f"x{n}" for n in range(8))
            for engine in bed.engines.values():
                engine.is_reachable = True
            await asyncio.sleep(KEPT_S + EXPIRED_S)
            assert _count_memory(bed) == 0
            assert not bed.dispatcher._grants
            for book in bed.find_books().values():
                assert not book.bookings
                assert book.prompt_tokens == 0
                assert book.estimate_wait_s(2) == pytest.approx(0)
            for engine in bed.engines.values():
                assert not engine.streams

    fakes.run(main())


async def _play(bed, event, number, grants, dead):
    engine = bed.find_engine(f"e{number % 2}")
    match event:
        case "acquire" | "unsent":
            request = fakes.make_request(
                1000 * 10 ** (number % 3), timeout_s=6.0 + 10 * number
            )
            request.entry_instance = f"x{number}"
            if request.entry_instance in dead:
                return
            reply = await bed.dispatcher.acquire(request)
            if not reply.HasField("grant"):
                return
            grants.append(reply.grant)
            found = bed.find_engine(reply.grant.endpoint)
            if event == "acquire" and found.is_reachable:
                found.start(reply.grant.stream_id, 10)
        case "restart":
            engine.restart()
        case "down":
            engine.is_reachable = False
        case "up":
            engine.is_reachable = True
        case "death":
            dead.add(f"x{number}")
        case "wait":
            await asyncio.sleep(number)
        case "take_over":
            held = bed.tenures[f"e{number % 2}"]
            await bed.dispatcher.end_tenure(held, is_planned=False)
            later = fakes.make_tenure(held.resource.id, held.epoch + 1)
            bed.tenures[held.resource.id] = later
            await bed.dispatcher.begin_tenure(later)
        case _ if grants:
            grant = grants[number % len(grants)]
            await bed.report(grant, REPORTS[event])


def _check_books(bed):
    for book in bed.find_books().values():
        total = sum(b.cost.memory_tokens for b in book.bookings.values())
        assert book.memory_tokens == total
