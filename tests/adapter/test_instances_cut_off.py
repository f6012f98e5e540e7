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

from poplarwick_standins import platform_replica

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
    async with (
        network_cuts.NetworkCuts().install() as cuts,
        platform_cluster.run_cluster(
            tmp_path, pool=ENGINES, orders=3, instances=INSTANCES
        ) as cluster,
    ):
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


async def cut_first(cluster, cuts):
    """Cuts an instance other than the placer off, and waits until it knows."""
    cut = sort_placer_first(cluster)[-1]
    await network_cuts.cut_off(cluster, cuts, cut)
    return cut, Callers(cluster)


def set_replicas(cluster, **changes):
    for replica in cluster.replicas:
        for name, value in changes.items():
            setattr(replica, name, value)


def get_relays(cluster):
    return [
        instance
        for instance in cluster.instances
        if instance.node.relay_server.connection_count
    ]


def count_opened(cluster):
    return [i.node.relay_server.opened_count for i in cluster.instances]


def test_connections_are_direct_again_within_a_second_of_healing(tmp_path):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cut, callers = await cut_first(cluster, cuts)
            assert await callers.call(cut, "/label/x")
            cuts.heal()
            await platform_cluster.wait_until(
                lambda: not cut.node.reach.is_cut_off, 1.0
            )
            relayed = count_opened(cluster)
            assert await callers.measure([cut], 1.0) == 1.0
            assert relayed == count_opened(cluster)

    asyncio.run(scenario())


def test_nothing_is_relayed_while_nobody_is_cut_off(tmp_path):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, _):
            callers = Callers(cluster)
            assert await callers.measure(cluster.instances, 1.0) == 1.0
            await cluster.replicas[0].crash()
            assert await callers.measure(cluster.instances, 2.0) > 0.95
            assert not any(count_opened(cluster))

    asyncio.run(scenario())


def test_end_of_all_endpoints_is_not_taken_for_a_cut_for_ever(tmp_path):
    """No instance reaches any; nothing goes round, and all serve again."""

    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cuts.cut(cluster.instances, cluster.replicas)
            callers = Callers(cluster)
            assert await callers.measure(cluster.instances, 2.0) == 0.0
            cuts.heal()
            await asyncio.sleep(2.0)
            assert await callers.measure(cluster.instances, 1.0) > 0.95

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["NONE", "UNDELIMITED"])
def test_stream_through_a_relay_that_is_killed_is_resumed(tmp_path, fault):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cut, _ = await cut_first(cluster, cuts)
            set_replicas(
                cluster,
                event_count=40,
                event_interval_s=0.05,
                fault=platform_replica.Fault[fault],
            )

            async def stream():
                async with cluster.call(
                    "/label/x", cluster.instances.index(cut), tokens=3_000
                ) as response:
                    return await response.read()

            task = asyncio.create_task(stream())
            await asyncio.sleep(0.6)
            (relay,) = get_relays(cluster)
            await relay.kill()
            lines = (await task).decode().splitlines()
            assert [line for line in lines if line.startswith("id:")] == [
                f"id: {number}" for number in range(1, 41)
            ]

    asyncio.run(scenario())


def test_request_of_a_caller_that_leaves_ends_behind_the_relay(tmp_path):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cut, _ = await cut_first(cluster, cuts)
            set_replicas(cluster, response_delay_s=30.0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.4):
                    async with cluster.call(
                        "/stock/x",
                        cluster.instances.index(cut),
                        headers={"Request-Id": "left"},
                    ):
                        pass
            executions = [
                execution
                for replica in cluster.replicas
                for execution in replica.executions
                if execution.request_id == "left"
            ]
            assert executions
            await platform_cluster.wait_until(
                lambda: all(e.outcome != "running" for e in executions), 0.5
            )
            assert not get_relays(cluster)

    asyncio.run(scenario())


def test_stopping_relay_lets_its_connections_end(tmp_path):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            cut, callers = await cut_first(cluster, cuts)
            set_replicas(cluster, response_delay_s=1.5)
            calls = [
                asyncio.create_task(callers.call(cut, "/order/x"))
                for _ in range(3)
            ]
            await asyncio.sleep(0.3)
            relays = get_relays(cluster)
            assert relays
            for relay in relays:
                relay.stop.set()
            assert all(await asyncio.gather(*calls))

    asyncio.run(scenario())


def test_placer_that_is_cut_off_takes_no_endpoint_for_crashed(tmp_path):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, cuts):
            placer, *others = sort_placer_first(cluster)
            cuts.cut([placer], cluster.replicas)
            callers = Callers(cluster)
            assert await callers.measure(others, 3.0) > 0.95
            assert await callers.measure([placer], 1.0) > 0.95
            for instance in cluster.instances:
                assert not instance.node.catalogue.quarantines.known

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("hello", "answer"),
    [
        (b"poplarwick-relay/1 127.0.0.1:9 -\n", b"r"),
        (b"GET / HTTP/1.1\r\n", b"r"),
        (b"\xff\n", b"r"),
        (b"x" * 1_000, b""),
        (b"poplarwick-relay/1 ", b""),
        # Not from the host of an instance.
        (None, b"r"),
    ],
)
def test_relay_refuses_strangers_and_unknown_addresses(tmp_path, hello, answer):
    async def scenario():
        async with run_cut_cluster(tmp_path) as (cluster, _):
            deployment = cluster.instances[0].node.deployment
            host, _, port = deployment.relay_address.rpartition(":")
            endpoint = cluster.replicas[0].address
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(hello or f"poplarwick-relay/1 {endpoint} -\n".encode())
            received = b""
            with contextlib.suppress(ConnectionResetError):
                async with asyncio.timeout(3.0):
                    received = await reader.read()
            assert received == answer
            writer.close()

    asyncio.run(scenario())
