"""Tests of mixed short and long prompts, on a virtual clock."""

from __future__ import annotations

import asyncio

import dispatch_fakes as fakes
import dispatch_simulation as simulation
import pytest

from poplarwick_peers.wire import grant_pb2

MAX_SLOWDOWN = 1.15
MIN_TOKENS_SHARE = 0.97


@pytest.mark.parametrize("seed", [1, 2])
def test_short_prompts_are_barely_slowed_by_long_ones(seed):
    arrivals = simulation.make_arrivals(seed, 2, 0.7, 150.0)
    results = simulation.summarise("dispatcher", arrivals, 2)
    baseline = simulation.summarise("least-outstanding", arrivals, 2)
    assert results["long"] > 0
    assert results["slowdown"] <= MAX_SLOWDOWN
    assert results["long_in_time"] == results["long"]
    bound = MIN_TOKENS_SHARE * baseline["tokens_in_time"]
    assert results["tokens_in_time"] >= bound


def test_waiting_long_prompt_gets_memory_reserved():
    async def main():
        view = fakes.make_view(endpoints=2)
        async with fakes.Testbed(view) as testbed:
            stop = False

            async def keep_busy():
                while not stop:
                    reply = await testbed.acquire(90_000, 10_000)
                    if not reply.HasField("grant"):
                        await asyncio.sleep(0.5)
                    else:
                        grant = reply.grant
                        await testbed.report(
                            grant, grant_pb2.REPORT_FIRST_TOKEN
                        )
                        await asyncio.sleep(30)
                        await testbed.report(grant, grant_pb2.REPORT_COMPLETE)

            tasks = [asyncio.create_task(keep_busy()) for _ in range(40)]
            await asyncio.sleep(5)
            reply = await testbed.acquire(900_000, 1000, timeout_s=600.0)
            assert reply.HasField("grant")
            assert reply.grant.queued_s < 60
            stop = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    fakes.run(main())


def test_long_prompts_use_one_endpoint_while_their_backlog_is_small():
    async def main():
        view = fakes.make_view(endpoints=3)
        async with fakes.Testbed(view) as testbed:
            first = (await testbed.acquire(110_000)).grant
            await testbed.report(first, grant_pb2.REPORT_FIRST_TOKEN)
            second = (await testbed.acquire(110_000)).grant
            assert second.endpoint == first.endpoint
            many = [
                asyncio.create_task(testbed.acquire(400_000, timeout_s=900))
                for _ in range(6)
            ]
            await asyncio.sleep(0.1)
            granted = [t.result().grant for t in many if t.done()]
            assert len({g.endpoint for g in granted}) == 2
            for task in many:
                task.cancel()
            await asyncio.gather(*many, return_exceptions=True)

    fakes.run(main())


def test_priority_decreases_with_prompt_length():
    async def main():
        async with fakes.Testbed() as testbed:
            lengths = (1_000, 5_000, 50_000, 500_000)
            priorities = [
                (await testbed.acquire(n, timeout_s=600)).grant.priority
                for n in lengths
            ]
            assert priorities == sorted(priorities, reverse=True)
            assert len(set(priorities)) == len(lengths)

    fakes.run(main())
