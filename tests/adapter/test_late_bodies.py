"""Requests whose body ends late in the grace period of their instance."""

from __future__ import annotations

import asyncio
import contextlib

import crashing_fleet
import late_requests
import network_cuts
import platform_cluster
import pytest

GRACE_S = 8.0
OFFSETS_S = (0.3, 1.5, 2.4, 2.7, 3.5, 4.5, 5.5, 6.5, 7.1)
"""Times after SIGTERM at which bodies end."""

INSTANCES = 3


@contextlib.asynccontextmanager
async def _run_situation(tmp_path, situation):
    async with (
        network_cuts.NetworkCuts().install() as cuts,
        platform_cluster.run_cluster(
            tmp_path,
            pool=6,
            orders=3,
            instances=INSTANCES,
            grace_s=GRACE_S,
            free_ms=20_000,
        ) as cluster,
    ):
        cuts.shape = network_cuts.Shape.REFUSED
        await crashing_fleet.wait_for_placer(cluster)
        placer = next(i for i in cluster.instances if i.node.is_placer)
        others = [i for i in cluster.instances if i is not placer]
        match situation:
            case "calm" | "store_away" | "placer_leaves_too":
                stopped = others[0]
            case "placer":
                stopped = placer
            case "relayed":
                stopped = others[0]
                await network_cuts.cut_off(cluster, cuts, stopped)
        yield cluster, stopped, placer


# Guards against requests that are taken late in the grace period, passed on and
# cut at its end (LOST).
@pytest.mark.parametrize(
    "situation",
    ["calm", "placer", "placer_leaves_too", "store_away", "relayed"],
)
def test_request_whose_body_ends_late_in_a_stop_is_answered(
    tmp_path, situation
):
    async def scenario():
        async with _run_situation(tmp_path, situation) as (
            cluster,
            stopped,
            placer,
        ):
            # A stream takes about 3 s beside others.
            for replica in cluster.replicas:
                replica.event_interval_s, replica.event_count = 0.1, 20
            requests = [
                (late_requests.LateRequest(path, tokens), offset_s)
                for offset_s in OFFSETS_S
                for path, tokens in (
                    ("/order/", None),
                    ("/stock/", None),
                    ("/label/", 5_000),
                    ("/label/", 500_000),
                )
            ]
            await asyncio.gather(*(r.open(stopped) for r, _ in requests))
            await asyncio.sleep(0.2)
            if situation == "store_away":
                cluster.store.is_unresponsive = True
            if situation == "placer_leaves_too":
                placer.stop.set()
            stopped.stop.set()
            ends = await asyncio.gather(*(r.end(o) for r, o in requests))
            unanswered = [
                (request.path, request.tokens, offset_s, status)
                for (request, offset_s), (status, is_whole) in zip(
                    requests, ends, strict=True
                )
                if not is_whole
            ]
            assert unanswered == []
            runs = [e for r in cluster.replicas for e in r.executions]
            ran = {e.request_id for e in runs}
            refused = {
                request.id
                for (request, _), (status, _) in zip(
                    requests, ends, strict=True
                )
                if status in (408, 421, 429, 503)
            }
            assert ran & refused == set()

    asyncio.run(scenario())
