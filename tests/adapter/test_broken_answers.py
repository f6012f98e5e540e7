"""Answers of replicas in trouble, as callers of an instance see them."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import crashing_fleet
import network_cuts
import platform_cluster
import pytest

from poplarwick_standins import platform_replica
from poplarwick_standins import raw_endpoint

Fault = platform_replica.Fault
BEGIN = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
"""What a stream that is cut inside an event has sent."""

EVENT = b"id: 1\ndata: piece 1\n\n"
SEED = 51


async def call(cluster, path, tokens=None, data=b"x"):
    """Returns the status, the stamp, the body and whether it is complete."""
    body, is_complete = b"", True
    async with cluster.call(path, tokens=tokens, data=data) as response:
        try:
            async for chunk in response.content.iter_any():
                body += chunk
        except aiohttp.ClientPayloadError:
            is_complete = False
        stamp = response.headers.get("Response-Stamp")
        return response.status, stamp, body, is_complete


async def cut_off(cluster, cuts):
    """Cuts the instance that is called off, so that others relay for it."""
    await network_cuts.cut_off(cluster, cuts, cluster.instances[0])


async def serve_orders(cluster, endpoint):
    """Puts an endpoint in the place of the only replica for orders."""
    configuration = platform_cluster.make_configuration(2)
    configuration["limits"]["max_body_bytes"] = len(raw_endpoint.UPLOAD)
    await cluster.store.put("op/config", configuration)
    replica = cluster.replicas[-1]
    entry = {**replica.make_entry(), "address": endpoint.address}
    await cluster.store.put(f"servers/{replica.name}", entry)
    async with asyncio.timeout(platform_cluster.TIMEOUT_S):
        while not endpoint.connections:
            await call(cluster, "/stock/", data=raw_endpoint.UPLOAD)
            await asyncio.sleep(0.02)


# Guards against answers that a replica has not given (MIXED).
@pytest.mark.parametrize("part", raw_endpoint.Part)
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_answer_with_an_improper_head_does_not_reach_the_caller(
    tmp_path, part, is_cut_off
):
    rng = random.Random(SEED)

    async def scenario():
        async with (
            network_cuts.NetworkCuts().install() as cuts,
            platform_cluster.run_cluster(
                tmp_path, orders=2, instances=3
            ) as cluster,
        ):
            cuts.shape = network_cuts.Shape.REFUSED
            await crashing_fleet.wait_for_placer(cluster)
            if is_cut_off:
                await cut_off(cluster, cuts)
            taken = []
            for head in raw_endpoint.make_broken_heads(rng, part):
                for replica in cluster.replicas:
                    replica.raw_answer = head + EVENT
                    replica.resets_raw_answer = rng.random() < 0.5
                ends = await asyncio.gather(
                    call(cluster, "/label/", 5_000),
                    call(cluster, "/order/"),
                    call(cluster, "/stock/"),
                )
                taken += [
                    (head, end)
                    for end in ends
                    if end[0] not in (502, 503, 504) or end[1] is not None
                ]
            assert taken == []
            runs = [e for r in cluster.replicas for e in r.executions]
            orders = [e for e in runs if e.target == "/order/"]
            assert len(orders) == len({e.request_id for e in orders})

    asyncio.run(scenario())


# Guards against sound answers that a check takes for broken ones (DENIED).
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_sound_answer_reaches_the_caller_as_it_is(tmp_path, is_cut_off):
    answers = raw_endpoint.make_sound_answers([b"Response-Stamp: s-raw"])

    async def scenario():
        async with (
            network_cuts.NetworkCuts().install() as cuts,
            platform_cluster.run_cluster(tmp_path, instances=3) as cluster,
        ):
            cuts.shape = network_cuts.Shape.REFUSED
            await crashing_fleet.wait_for_placer(cluster)
            if is_cut_off:
                await cut_off(cluster, cuts)
            replica = cluster.replicas[-1]
            for name, answer in answers.items():
                replica.raw_answer = answer.data
                end = await call(cluster, "/order/")
                expected = (answer.status, "s-raw", raw_endpoint.BODY, True)
                assert end == expected, name

    asyncio.run(scenario())


# Guards against streams that go on with an answer that is none (ORDER).
@pytest.mark.parametrize("part", raw_endpoint.Part)
def test_stream_is_not_resumed_with_an_improper_head(tmp_path, part):
    rng = random.Random(SEED)

    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            for head in raw_endpoint.make_broken_heads(rng, part):
                head = head.replace(b"text/plain", b"text/event-stream")
                plan = [Fault.CUT_INSIDE_EVENT]
                for replica in cluster.replicas:
                    replica.fault_plan = plan
                    replica.raw_answer = head + b"id: 3\ndata: other\n\n"
                status, _, body, is_complete = await call(
                    cluster, "/label/", 5_000
                )
                assert (status, body, is_complete) == (200, BEGIN, False), head

    asyncio.run(scenario())


# Guards against a part of an answer that is passed on as the whole (MIXED).
@pytest.mark.parametrize("is_cut_off", [False, True])
@pytest.mark.parametrize("path", ["/order/", "/stock/"])
def test_part_of_an_answer_behind_an_upload_is_not_complete(
    tmp_path, path, is_cut_off
):
    async def scenario():
        async with (
            network_cuts.NetworkCuts().install() as cuts,
            raw_endpoint.RawEndpoint() as endpoint,
            platform_cluster.run_cluster(
                tmp_path, orders=1, instances=3
            ) as cluster,
        ):
            cuts.shape = network_cuts.Shape.REFUSED
            await crashing_fleet.wait_for_placer(cluster)
            await serve_orders(cluster, endpoint)
            if is_cut_off:
                await cut_off(cluster, cuts)
            for seed in range(20):
                endpoint.answer = raw_endpoint.draw_reset_answer(
                    random.Random(seed), reads_body=seed % 2 == 0
                )
                status, stamp, body, is_complete = await call(
                    cluster, path, data=raw_endpoint.UPLOAD
                )
                if is_complete:
                    assert status in (502, 503, 504), body
                    assert stamp is None
            assert endpoint.connections > 20

    asyncio.run(scenario())
