"""Tests of fair shares and goodput when callers retry forever."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes
import dispatch_overload as overload
import pytest

from poplarwick_dispatch import fairness
from poplarwick_peers.wire import grant_pb2

WEIGHTS = {"o1": 3, "o2": 2, "o3": 1}
MAX_SHARE_ERROR = 0.1
MIN_GOODPUT_SHARE = 0.9


def test_threefold_load_keeps_goodput_and_shares():
    demand = {"o1": 0.3, "o2": 0.3, "o3": 0.4}
    full = overload.run(1.0, WEIGHTS, duration_s=120.0)
    over = overload.run(3.0, WEIGHTS, duration_s=120.0, demand=demand)
    assert over.tokens_per_s >= MIN_GOODPUT_SHARE * full.tokens_per_s
    total = sum(WEIGHTS.values())
    for organisation, weight in WEIGHTS.items():
        share = over.shares[organisation] * total / weight
        assert share == pytest.approx(1, abs=MAX_SHARE_ERROR)


def test_idle_organisation_gains_no_credit():
    counters = fairness.ServiceCounters()
    counters.set_weights({"a": 1, "b": 1})
    counters.charge("a", 100.0)
    counters.activate("b", ["a"])
    assert counters.order(["a", "b"]) == ["a", "b"]


def test_full_queue_sheds_load_but_keeps_the_small_organisation():
    async def main():
        async with fakes.Testbed(fakes.make_view(endpoints=1)) as testbed:
            flood = [
                asyncio.create_task(testbed.acquire(9_000, 10))
                for _ in range(60)
            ]
            await asyncio.sleep(0)
            start_s = fakes.now_s()
            small = asyncio.create_task(
                testbed.acquire(9_000, 10, organisation="o2")
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            refused = [t for t in flood if t.done() and _is_refused(t)]
            assert refused
            assert not small.done()
            assert fakes.now_s() == start_s
            completed = set()
            for _ in range(3):
                granted = [t for t in flood if t.done() and not _is_refused(t)]
                for task in granted:
                    if task not in completed:
                        completed.add(task)
                        await testbed.report(
                            task.result().grant, grant_pb2.REPORT_COMPLETE
                        )
                await asyncio.sleep(0)
            assert small.done()
            assert (await small).HasField("grant")
            for task in flood:
                task.cancel()
            await asyncio.gather(*flood, return_exceptions=True)

    fakes.run(main())


def _is_refused(task):
    return task.result().HasField("refusal")


def test_retry_time_includes_jitter():
    async def main():
        async with fakes.Testbed() as testbed:
            testbed.dispatcher.drain()
            replies = [await testbed.acquire() for _ in range(20)]
            times = {r.refusal.retry_after_s for r in replies}
            assert len(times) > 1

    fakes.run(main())
