"""Streams at engines that are silent because they are busy."""

from __future__ import annotations

import asyncio

import platform_cluster
import pytest

from poplarwick_standins import platform_replica

NO_RETRIES = {"retry_budget_ratio": 0, "budget_extra_retries": 0}


async def read_stream(cluster):
    async with cluster.call("/label/", tokens=5_000) as response:
        return response.status, (await response.read()).count(b"id: ")


@pytest.mark.parametrize("bounds", [NO_RETRIES, {}])
# Guards against streams of sound engines that are cut for being silent (LOST).
def test_stream_stays_at_a_silent_engine_that_no_other_can_replace(
    tmp_path, bounds
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=2 if bounds else 1, **bounds
        ) as cluster:
            plan = [platform_replica.Fault.PAUSE]
            for replica in cluster.replicas:
                replica.fault_plan = plan
            assert await read_stream(cluster) == (200, 5)
            runs = [e for r in cluster.replicas for e in r.executions]
            assert [e.outcome for e in runs] == ["done"]

    asyncio.run(scenario())


def test_stream_moves_from_a_silent_engine_to_one_that_has_room(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            plan = [platform_replica.Fault.STALL]
            for replica in cluster.replicas:
                replica.fault_plan = plan
            assert await read_stream(cluster) == (200, 5)
            runs = [e for r in cluster.replicas for e in r.executions]
            assert len(runs) == 2

    asyncio.run(scenario())
