"""Streams at engines that are silent because they are busy."""

from __future__ import annotations

import asyncio
import time

import network_cuts
import platform_cluster
import pytest

from poplarwick_standins import platform_replica

NO_RETRIES = {"retry_budget_ratio": 0, "budget_extra_retries": 0}


async def read_stream(cluster, tokens=5_000):
    async with cluster.call("/label/", tokens=tokens) as response:
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


def _list_runs(cluster):
    return [e for r in cluster.replicas for e in r.executions]


async def start_at_pausing_engine(cluster):
    """Returns the engine that runs a stream and pauses, another, and the call.

    The pause begins at the engine that gets the request.
    """
    pausing, other = cluster.replicas[:2]
    for replica in (pausing, other):
        replica.fault_plan = [platform_replica.Fault.PAUSE]
    call = asyncio.create_task(read_stream(cluster))
    await platform_cluster.wait_until(lambda: _list_runs(cluster))
    if not pausing.executions:
        pausing, other = other, pausing
    other.fault_plan = []
    return pausing, other, call


# Guards against streams that a sound engine runs and that move to another one
# which then refuses them, or fails, or is as silent (LOST).
@pytest.mark.parametrize(
    "elsewhere",
    [
        platform_replica.Fault.FULL,
        platform_replica.Fault.BARE_503,
        platform_replica.Fault.TEXT,
        platform_replica.Fault.CUT_BEFORE_END,
        platform_replica.Fault.SILENT,
    ],
)
def test_stream_survives_an_attempt_elsewhere_that_fails(tmp_path, elsewhere):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, retry_budget_ratio=0, budget_extra_retries=8
        ) as cluster:
            pausing, other, call = await start_at_pausing_engine(cluster)
            other.fault = elsewhere
            if elsewhere is platform_replica.Fault.CUT_BEFORE_END:
                other.event_count = 3
            assert await call == (200, 5)
            assert pausing.executions[0].outcome == "done"
            assert len(other.arrivals) == 1

    asyncio.run(scenario())


# Guards against a sound engine that loses its stream to doubts of the placer.
def test_stream_stays_at_a_suspected_engine_that_goes_on(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            for replica in cluster.replicas:
                replica.fault_plan = [platform_replica.Fault.PAUSE]
            call = asyncio.create_task(read_stream(cluster))
            await platform_cluster.wait_until(lambda: _list_runs(cluster))
            pausing, other = cluster.replicas[:2]
            if not pausing.executions:
                pausing, other = other, pausing
            other.fault_plan, other.fault = [], platform_replica.Fault.SILENT
            client = cluster.instances[0].node.placement_client
            client._notify_suspicion(pausing.name)
            assert await call == (200, 5)
            assert pausing.executions[0].outcome == "done"

    asyncio.run(scenario())


# Guards against streams that end with the tenure of the placer.
def test_stream_at_a_silent_engine_outlasts_a_change_of_the_placer(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=1, instances=2, grace_s=4, **NO_RETRIES
        ) as cluster:
            nodes = [instance.node for instance in cluster.instances]
            await platform_cluster.wait_until(
                lambda: (
                    any(node.is_placer for node in nodes)
                    and all(node.placement_client.connection for node in nodes)
                )
            )
            placer = 0 if nodes[0].is_placer else 1
            (engine, *_) = cluster.replicas
            engine.fault_plan = [platform_replica.Fault.PAUSE]

            async def call():
                async with cluster.call(
                    "/label/", 1 - placer, tokens=5_000
                ) as response:
                    return (await response.read()).count(b"id: ")

            calling = asyncio.create_task(call())
            await platform_cluster.wait_until(lambda: engine.executions)
            await cluster.instances[placer].kill()
            assert await calling == 5
            assert [e.outcome for e in engine.executions] == ["done"]

    asyncio.run(scenario())


def _delay_event_loop(duration_s):
    time.sleep(duration_s)


# Guards against streams that are continued twice: a process that is late, as on
# a share of a core, reads both engines' data in one step of its event loop.
def test_engine_that_goes_on_as_the_other_answers_does_not_cut_its_stream(
    tmp_path,
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, retry_budget_ratio=0, budget_extra_retries=8
        ) as cluster:
            _, other, call = await start_at_pausing_engine(cluster)
            other.event_interval_s = 0.25
            await platform_cluster.wait_until(lambda: other.executions)
            await asyncio.sleep(0.1)
            # Both engines' next events are due while the process is late.
            _delay_event_loop(0.7)
            assert await call == (200, 5)

    asyncio.run(scenario())


# Guards against memory of other engines that stays reserved for a prompt whose
# engine has ended without closing its connection, as in a power loss (LEAK).
@pytest.mark.parametrize(
    "fault", [platform_replica.Fault.SILENT, platform_replica.Fault.STALL]
)
def test_memory_is_free_soon_after_an_engine_has_vanished(tmp_path, fault):
    async def scenario():
        async with (
            platform_cluster.run_cluster(
                tmp_path, pool=4, free_ms=1_000, **NO_RETRIES
            ) as cluster,
            network_cuts.NetworkCuts().install() as cuts,
        ):
            cuts.shape = network_cuts.Shape.REFUSED
            for replica in cluster.replicas:
                replica.fault = fault
            call = asyncio.create_task(read_stream(cluster, 600_000))
            await platform_cluster.wait_until(lambda: _list_runs(cluster))
            (vanished,) = [r for r in cluster.replicas if r.executions]
            others = [r for r in cluster.replicas if r is not vanished]
            assert any(r.reservations for r in others)
            await asyncio.sleep(1.0)
            assert any(r.reservations for r in others)
            cuts.cut(cluster.instances, [vanished])
            await cluster.store.remove(f"servers/{vanished.name}")
            await platform_cluster.wait_until(
                lambda: not any(r.reservations for r in others), 2.5
            )
            call.cancel()

    asyncio.run(scenario())
