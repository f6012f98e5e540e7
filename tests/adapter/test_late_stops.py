"""Stops of instances that are late, or that still serve when they end."""

from __future__ import annotations

import asyncio

import aiohttp
import platform_cluster
import pytest
import slow_callers
import stop_calls

from poplarwick_standins import platform_replica

GRACE_S = 8.0
SHORT_GRACE_S = 4.0
STANDSTILL_S = 0.9
EVENT_PERIOD_S = 0.05

LATE_END_S = 6.35
"""End of an answer, after the signal: before the last sixth of the grace
period, in which endpoints have to end."""


def set_events(cluster, count):
    for replica in cluster.replicas:
        replica.event_count = count
        replica.event_interval_s = EVENT_PERIOD_S


# Guards against streams that a stop cuts before the last sixth of its grace
# period, as the event loop was late in the seconds before (LOST).
def test_standstill_before_a_stop_does_not_cut_streams_sooner(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            events = int(LATE_END_S / EVENT_PERIOD_S)
            set_events(cluster, events)
            stop_calls.stand_still(STANDSTILL_S)
            await asyncio.sleep(0.5)
            cluster.instances[0].stop.set()
            async with stop_calls.make_call(cluster, tokens=5_000) as response:
                body = await response.read()
            assert body.count(b"id: ") == events
            await cluster.instances[0].task

    asyncio.run(scenario())


# Guards against requests that end without an answer as their instance does,
# though nothing of one has been sent (LOST).
@pytest.mark.parametrize("path", ["/order/", "/stock/", "/label/"])
def test_requests_at_silent_endpoints_are_answered_before_the_end(
    tmp_path, path
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=SHORT_GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            for replica in cluster.replicas:
                replica.response_delay_s = 60.0
                replica.fault_plan = [platform_replica.Fault.SILENT] * 8
            tokens = 5_000 if path == "/label/" else None
            method = "GET" if path == "/stock/" else "POST"

            async def call():
                async with stop_calls.make_call(
                    cluster, path, tokens=tokens, method=method
                ) as response:
                    return response.status

            calling = asyncio.create_task(call())
            await platform_cluster.wait_until(
                lambda: any(r.arrivals for r in cluster.replicas)
            )
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            try:
                status = await calling
            except aiohttp.ClientError as error:
                status = repr(error)
            # It may have run.
            assert status == 502

    asyncio.run(scenario())


# Guards against answers that an endpoint has ended and that a stop cuts while
# their callers read them slowly (LOST).
def test_caller_that_reads_slowly_has_its_answer_after_the_end(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, grace_s=SHORT_GRACE_S
        ) as cluster:
            await stop_calls.allow_long_requests(cluster)
            body = "x" * 300_000
            for replica in cluster.replicas:
                replica.make_body = lambda request_id: body
            caller = slow_callers.SlowCaller(
                cluster.instances[0].caller_address
            )
            await caller.send("/order/", "slow")
            await platform_cluster.wait_until(
                lambda: any(
                    e.outcome == "done"
                    for r in cluster.replicas
                    for e in r.executions
                )
            )
            cluster.instances[0].stop.set()
            await cluster.instances[0].task
            received = await caller.read()
            caller.close()
            assert received.endswith(body.encode())

    asyncio.run(scenario())
