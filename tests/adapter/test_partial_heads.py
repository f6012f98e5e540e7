"""Endpoints that stop in the middle of their answer's head."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import crashing_fleet
import network_cuts
import platform_cluster
import pytest

SIGNED = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s-x\r\n"
HEAD_PARTS = [
    b"HTTP/1.1 200 O",
    SIGNED + b"Content-Ty",
    SIGNED + b"Content-Length: 9\r\n",
    SIGNED + b"Content-Length: 0\r\n",
    SIGNED + b"Transfer-Encoding: chunked\r\n",
    SIGNED + b"Connection: close\r\nContent-Type: text/event-stream\r",
    b"HTTP/1.1 100 Continue\r\n\r\n" + SIGNED,
]
INSTANCES = 3


async def _do_nothing(cluster, cuts):
    pass


async def _cut_off(cluster, cuts):
    """Cuts the instance that is called off, so that others relay for it."""
    await network_cuts.cut_off(cluster, cuts, cluster.instances[0])


async def _lose_store(cluster, cuts):
    cluster.store.is_unresponsive = True


async def _stop_placer(cluster, cuts):
    for instance in cluster.instances[1:]:
        if instance.node.is_placer:
            instance.stop.set()
            return
    await cluster.instances[0].node.step_down()


SITUATIONS = [_do_nothing, _cut_off, _lose_store, _stop_placer]


async def _call(cluster, path, tokens=None):
    """Returns the status and the body; no body if it is not complete."""
    try:
        async with cluster.call(path, tokens=tokens, data=b"x") as response:
            return response.status, await response.read()
    except aiohttp.ClientPayloadError:
        return response.status, None


@contextlib.asynccontextmanager
async def _run_situation(tmp_path, situation, **options):
    async with (
        network_cuts.NetworkCuts().install() as cuts,
        platform_cluster.run_cluster(
            tmp_path, instances=INSTANCES, orders=2, **options
        ) as cluster,
    ):
        cuts.shape = network_cuts.Shape.REFUSED
        await crashing_fleet.wait_for_placer(cluster)
        await situation(cluster, cuts)
        yield cluster


# Guards against heads that stop midway and are passed on as whole answers
# (MIXED, ORDER).
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("situation", SITUATIONS)
def test_answer_whose_head_stops_midway_is_not_passed_on(
    tmp_path, situation, resets
):
    async def scenario():
        async with _run_situation(tmp_path, situation) as cluster:
            for part in HEAD_PARTS:
                for replica in cluster.replicas:
                    replica.raw_answer = part
                    replica.resets_raw_answer = resets
                ends = await asyncio.gather(
                    _call(cluster, "/label/", 5_000),
                    _call(cluster, "/order/"),
                    _call(cluster, "/stock/"),
                )
                assert [status >= 500 for status, _ in ends] == [True] * 3
                runs = [e for r in cluster.replicas for e in r.executions]
                orders = [e for e in runs if e.target == "/order/"]
                assert len(orders) == len({e.request_id for e in orders})

    asyncio.run(scenario())


# Guards against memory of engines that is taken for reserved, or kept, because
# the head of a command's answer stops midway (LEAK).
@pytest.mark.parametrize("resets", [False, True])
def test_prompt_is_served_although_heads_of_reservations_stop_midway(
    tmp_path, resets
):
    async def scenario():
        async with _run_situation(
            tmp_path, _do_nothing, pool=6, free_ms=2_000
        ) as cluster:
            faulty = cluster.replicas[0]
            faulty.raw_answer = HEAD_PARTS[2]
            faulty.resets_raw_answer = resets
            for _ in range(3):
                status, body = await _call(cluster, "/label/", 600_000)
                assert status != 200 or body.count(b"id: ") == 5
            await asyncio.sleep(2.0)
            assert [
                r.reservations for r in cluster.replicas if r.allocated_tokens
            ] == []

    asyncio.run(scenario())
