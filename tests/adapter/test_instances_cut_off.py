"""Instances that reach no endpoint while the others reach all."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import aiohttp
import crashing_fleet
import network_cuts
import platform_cluster
import pytest

SETTLE_S = 3.0
"""Time after the beginning of a cut from which the platform's bound applies."""

SERVED_SHARE = 2 / 3
"""Share of the first tries at the others that must be served as well."""

ENGINES = 6
INSTANCES = 4


class Callers:
    """Sends first tries to instances and counts those that are served."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._numbers = itertools.count(1)

    async def call(self, instance, path):
        number = next(self._numbers)
        try:
            async with self._cluster.call(
                path,
                self._cluster.instances.index(instance),
                tokens=3_000 if path.startswith("/label") else None,
                headers={"Request-Id": f"c{number}"},
                data=f"call {number}".encode(),
            ) as response:
                await response.read()
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def measure(self, instances, seconds=2.0):
        """Returns the share of requests that are served at instances."""
        calls = []
        ends_at_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at_s:
            for instance in instances:
                for path in ("/label/x", "/label/x", "/stock/x", "/order/x"):
                    calls.append(asyncio.create_task(self.call(instance, path)))
            await asyncio.sleep(0.1)
        served = await asyncio.gather(*calls)
        return sum(served) / len(served)


@contextlib.asynccontextmanager
async def run_cut_cluster(tmp_path):
    with network_cuts.NetworkCuts().install() as cuts:
        async with platform_cluster.run_cluster(
            tmp_path, pool=ENGINES, orders=3, instances=INSTANCES
        ) as cluster:
            await crashing_fleet.wait_for_placer(cluster)
            yield cluster, cuts


def sort_placer_first(cluster):
    return sorted(cluster.instances, key=lambda i: i.node.tenure.epoch is None)


@pytest.mark.parametrize("shape", network_cuts.Shape)
@pytest.mark.parametrize(
    "choose",
    [
        pytest.param(lambda ordered: ordered[2:], id="half"),
        pytest.param(lambda ordered: ordered[:2], id="placer_among_them"),
        pytest.param(lambda ordered: ordered[1:], id="all_but_one"),
    ],
)
def test_callers_of_instances_cut_off_from_all_endpoints_are_served(
    tmp_path, shape, choose
):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cuts.shape = shape
            cut = choose(sort_placer_first(cluster))
            others = [i for i in cluster.instances if i not in cut]
            callers = Callers(cluster)
            cuts.cut(cut, cluster.replicas)
            await callers.measure(cluster.instances, SETTLE_S)
            served_there, served_elsewhere = await asyncio.gather(
                callers.measure(cut), callers.measure(others)
            )
            assert served_elsewhere > 0.95
            assert served_there >= SERVED_SHARE * served_elsewhere

    asyncio.run(scenario())
