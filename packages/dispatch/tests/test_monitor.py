"""Tests of memory, takeover, cold starts and engine failures."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from poplarwick_configuration import document
from poplarwick_dispatch import cold_start_limiter
from poplarwick_dispatch import endpoint_health
from poplarwick_dispatch import pool as pools
from poplarwick_peers.wire import grant_pb2

GRANT_CHECKED_S = pools.GRANT_TTL_S + 2.5
ALLOCATION_CHECKED_S = pools.ALLOCATION_TTL_S + 3.0
COLD = document.ColdStart(concurrent=2, tokens=4_000)


def _count_memory(testbed):
    return sum(
        endpoint.memory_tokens for endpoint in testbed.find_endpoints().values()
    )


def test_unsent_grant_releases_memory_after_an_engine_check():
    async def main():
        async with fakes.Testbed() as testbed:
            await testbed.dispatcher.acquire(fakes.make_request())
            assert _count_memory(testbed) == 1100
            await asyncio.sleep(GRANT_CHECKED_S)
            assert _count_memory(testbed) == 0

    fakes.run(main())


def test_running_stream_retains_memory_without_reports():
    async def main():
        async with fakes.Testbed() as testbed:
            grant = (await testbed.acquire()).grant
            await asyncio.sleep(60)
            assert _count_memory(testbed) == 1100
            testbed.find_engine(grant.endpoint).streams.clear()
            await asyncio.sleep(ALLOCATION_CHECKED_S)
            assert _count_memory(testbed) == 0

    fakes.run(main())


def test_cancelled_request_releases_memory_only_when_engine_confirms():
    async def main():
        async with fakes.Testbed() as testbed:
            grant = (await testbed.acquire()).grant
            engine = testbed.find_engine(grant.endpoint)
            engine.is_reachable = False
            await testbed.report(grant, grant_pb2.REPORT_CANCELLED)
            await asyncio.sleep(5)
            assert _count_memory(testbed) == 1100
            engine.is_reachable = True
            await asyncio.sleep(2)
            assert _count_memory(testbed) == 0
            assert engine.cancelled[-1] == grant.stream_id

    fakes.run(main())


def test_streams_of_a_dead_entry_are_cancelled():
    async def main():
        dead = set()
        async with fakes.Testbed(is_live=lambda i: i not in dead) as testbed:
            grant = (await testbed.acquire()).grant
            await testbed.acquire(entry_instance="i3")
            await testbed.report(grant, grant_pb2.REPORT_FIRST_TOKEN)
            dead.add("i2")
            await asyncio.sleep(GRANT_CHECKED_S)
            assert _count_memory(testbed) == 1100
            engine = testbed.find_engine(grant.endpoint)
            assert grant.stream_id in engine.cancelled

    fakes.run(main())


def test_late_send_on_a_grant_of_a_dead_entry_is_cancelled():
    async def main():
        dead = set()
        async with fakes.Testbed(is_live=lambda i: i not in dead) as testbed:
            reply = await testbed.dispatcher.acquire(fakes.make_request())
            dead.add("i2")
            await asyncio.sleep(1)
            assert _count_memory(testbed) == 1100
            engine = testbed.find_engine(reply.grant.endpoint)
            engine.start(reply.grant.stream_id)
            await asyncio.sleep(GRANT_CHECKED_S)
            assert _count_memory(testbed) == 0
            assert not engine.streams

    fakes.run(main())


def test_new_owner_adopts_streams_of_live_entries_and_cancels_others():
    async def main():
        testbed = fakes.Testbed(
            fakes.make_view(endpoints=1), is_live=lambda i: i == "i2"
        )
        engine = testbed.engines["127.0.0.1:9000"]
        engine.epoch = 1
        engine.start("gr-1.i2", 500)
        engine.start("gr-2.gone", 300)
        engine.start("foreign", 200)
        engine.start("gr-3.i2", 100, state="finished")
        async with testbed:
            assert _count_memory(testbed) == 1000
            await asyncio.sleep(2)
            assert _count_memory(testbed) == 500
            assert {"gr-2.gone", "foreign"} <= set(engine.cancelled)
            grant = grant_pb2.Grant(grant_id="gr-1", endpoint="e0")
            reply = await testbed.report(grant, grant_pb2.REPORT_COMPLETE)
            assert not reply.unknown_grants
            assert _count_memory(testbed) == 0

    fakes.run(main())


def test_no_grant_before_the_engine_state_is_known():
    async def main():
        testbed = fakes.Testbed(fakes.make_view(endpoints=1))
        engine = testbed.engines["127.0.0.1:9000"]
        engine.is_reachable = False
        async with testbed:
            task = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(5)
            assert not task.done()
            engine.is_reachable = True
            assert (await task).HasField("grant")

    fakes.run(main())


@pytest.mark.parametrize(
    ("epoch", "records_epochs", "is_immediate"),
    [(0, True, True), (1, True, False), (0, False, False)],
)
def test_new_owner_waits_until_earlier_grants_have_expired(
    epoch, records_epochs, is_immediate
):
    async def main():
        testbed = fakes.Testbed(fakes.make_view(endpoints=1))
        engine = testbed.engines["127.0.0.1:9000"]
        engine.epoch = epoch
        engine.records_epochs = records_epochs
        async with testbed.dispatcher:
            await testbed.dispatcher.begin_tenure(fakes.make_tenure("e0", 2))
            await asyncio.sleep(0.5)
            endpoint = testbed.find_endpoints()["e0"]
            assert endpoint.is_ready == is_immediate
            # Sent on a grant of the earlier owner.
            engine.start("gr-1.i2", 500, epoch=1)
            await asyncio.sleep(pools.GRANT_TTL_S)
            assert endpoint.is_ready
            if not is_immediate:
                assert _count_memory(testbed) == 500

    fakes.run(main())


def test_unannounced_restart_resets_the_limiter_and_refuses_the_queue():
    async def main():
        model = fakes.make_model(max_batch=8, cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Testbed(view) as testbed:
            endpoint = testbed.find_endpoints()["e0"]
            endpoint.cold_start_limiter.record_completions(64)
            grants = [(await testbed.acquire()).grant for _ in range(8)]
            waiting = asyncio.create_task(testbed.acquire())
            await asyncio.sleep(0.1)
            testbed.find_engine("e0").restart()
            refusal = (await waiting).refusal
            assert refusal.reason == grant_pb2.REFUSAL_NO_ROOM
            for grant in grants:
                await testbed.report(grant, grant_pb2.REPORT_FAILED)
            await asyncio.sleep(GRANT_CHECKED_S)
            assert _count_memory(testbed) == 0
            assert not endpoint.cold_start_limiter.is_warm
            tasks = [asyncio.create_task(testbed.acquire()) for _ in range(5)]
            await asyncio.sleep(0.1)
            granted = [t.result().grant for t in tasks if t.done()]
            assert len(granted) == COLD.concurrent
            # Each completion raises the limit by one more slot.
            await testbed.report(granted[0], grant_pb2.REPORT_COMPLETE)
            await asyncio.sleep(0.1)
            assert sum(t.done() for t in tasks) == COLD.concurrent + 2
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    fakes.run(main())


def test_cold_endpoint_stays_within_its_prompt_token_limit():
    async def main():
        model = fakes.make_model(cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Testbed(view) as testbed:
            assert (await testbed.acquire(3_000)).HasField("grant")
            second = asyncio.create_task(testbed.acquire(3_000))
            await asyncio.sleep(1)
            assert not second.done()
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)

    fakes.run(main())


def test_cold_overload_reported_by_an_entry_resets_the_limiter():
    async def main():
        async with fakes.Testbed(fakes.make_view(endpoints=1)) as testbed:
            endpoint = testbed.find_endpoints()["e0"]
            endpoint.cold_start_limiter.record_completions(64)
            grant = (await testbed.acquire()).grant
            request = fakes.make_report(grant, grant_pb2.REPORT_NOT_SENT)
            request.reports[0].detail = "status_503"
            await testbed.dispatcher.report(request)
            assert not endpoint.cold_start_limiter.is_warm

    fakes.run(main())


def test_endpoint_that_becomes_slow_counts_as_cold():
    async def main():
        async with fakes.Testbed(fakes.make_view(endpoints=1)) as testbed:
            endpoint = testbed.find_endpoints()["e0"]
            endpoint.cold_start_limiter.record_completions(64)
            for _ in range(10):
                grant = (await testbed.acquire(5_000)).grant
                await testbed.report(
                    grant, grant_pb2.REPORT_FIRST_TOKEN, first_token_s=3.0
                )
                await testbed.report(grant, grant_pb2.REPORT_COMPLETE)
                if not endpoint.cold_start_limiter.is_warm:
                    break
            assert not endpoint.cold_start_limiter.is_warm

    fakes.run(main())


def test_first_tokens_at_the_warm_rate_mark_the_endpoint_warm():
    async def main():
        model = fakes.make_model(cold_start=COLD, prefill_tokens_per_s=10_000)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Testbed(view) as testbed:
            endpoint = testbed.find_endpoints()["e0"]
            for first_token_s, is_warm in (
                (0.4, False),
                (0.05, False),
                (0.22, True),
            ):
                for _ in range(cold_start_limiter.WARM_SAMPLES):
                    grant = (await testbed.acquire(2_000)).grant
                    await testbed.report(
                        grant,
                        grant_pb2.REPORT_FIRST_TOKEN,
                        first_token_s=first_token_s,
                    )
                    # Not completed, so that only first tokens count as samples.
                    await testbed.report(grant, grant_pb2.REPORT_NOT_SENT)
                assert endpoint.cold_start_limiter.is_warm == is_warm

    fakes.run(main())


def test_endpoint_back_in_service_is_first_checked_for_a_restart():
    async def main():
        model = fakes.make_model(cold_start=COLD)
        view = fakes.make_view(endpoints=1, model=model)
        async with fakes.Testbed(view) as testbed:
            endpoint = testbed.find_endpoints()["e0"]
            endpoint.cold_start_limiter.record_completions(64)
            out = fakes.make_view(2, endpoints=1, model=model, out=("d1",))
            testbed.dispatcher.apply_view(out)
            testbed.find_engine("e0").restart()
            testbed.dispatcher.apply_view(
                fakes.make_view(3, endpoints=1, model=model)
            )
            tasks = [asyncio.create_task(testbed.acquire()) for _ in range(9)]
            await asyncio.sleep(0.4)
            granted = [t for t in tasks if t.done() and _is_granted(t)]
            assert len(granted) <= COLD.concurrent
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    fakes.run(main())


def _is_granted(task):
    return task.result().HasField("grant")


def test_failing_endpoint_is_ejected_unless_too_many_are():
    async def main():
        async with fakes.Testbed(fakes.make_view(endpoints=2)) as testbed:
            by_id = testbed.find_endpoints()
            for _ in range(endpoint_health.CONSECUTIVE_FAILURES):
                by_id["e0"].health.record_failure()
            for _ in range(4):
                assert (await testbed.acquire()).grant.endpoint == "e1"
            for _ in range(endpoint_health.CONSECUTIVE_FAILURES):
                by_id["e1"].health.record_failure()
            endpoints = {
                (await testbed.acquire()).grant.endpoint for _ in range(10)
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
        async with fakes.Testbed(is_live=lambda i: i not in dead) as testbed:
            grants = []
            for event, number in events:
                await _apply_event(testbed, event, number, grants, dead)
                _check_memory_totals(testbed)
            dead.update(f"x{n}" for n in range(8))
            for engine in testbed.engines.values():
                engine.is_reachable = True
            await asyncio.sleep(ALLOCATION_CHECKED_S + GRANT_CHECKED_S)
            assert _count_memory(testbed) == 0
            assert not testbed.dispatcher._endpoints_by_grant
            for endpoint in testbed.find_endpoints().values():
                assert not endpoint.allocations
                assert endpoint.prompt_tokens == 0
                assert endpoint.estimate_wait_s(2) == pytest.approx(0)
            for engine in testbed.engines.values():
                assert not engine.streams

    fakes.run(main())


async def _apply_event(testbed, event, number, grants, dead):
    engine = testbed.find_engine(f"e{number % 2}")
    match event:
        case "acquire" | "unsent":
            request = fakes.make_request(
                1000 * 10 ** (number % 3), timeout_s=6.0 + 10 * number
            )
            request.entry_instance = f"x{number}"
            if request.entry_instance in dead:
                return
            reply = await testbed.dispatcher.acquire(request)
            if not reply.HasField("grant"):
                return
            grants.append(reply.grant)
            target = testbed.find_engine(reply.grant.endpoint)
            if event == "acquire" and target.is_reachable:
                target.start(reply.grant.stream_id, 10)
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
            tenure = testbed.tenures[f"e{number % 2}"]
            await testbed.dispatcher.end_tenure(tenure, is_planned=False)
            later = fakes.make_tenure(tenure.resource.id, tenure.epoch + 1)
            testbed.tenures[tenure.resource.id] = later
            await testbed.dispatcher.begin_tenure(later)
        case _ if grants:
            grant = grants[number % len(grants)]
            await testbed.report(grant, REPORTS[event])


def _check_memory_totals(testbed):
    for endpoint in testbed.find_endpoints().values():
        total = sum(a.cost.memory_tokens for a in endpoint.allocations.values())
        assert endpoint.memory_tokens == total
