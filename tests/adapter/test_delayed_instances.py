"""Weak instances that fall behind: who turns callers away, and who does not."""

from __future__ import annotations

import asyncio

import platform_cluster

from poplarwick_coordination import relief_grants

INSTANCES = 5
CORES = 0.361


def run_scenario(tmp_path, scenario):
    async def run():
        async with platform_cluster.run_cluster(
            tmp_path, instances=INSTANCES, cores=CORES
        ) as cluster:
            await scenario(cluster)

    asyncio.run(run())


def set_behind(instance, monkeypatch, *, is_behind):
    """Lets an instance find itself behind, or caught up."""
    delay = instance.node.delay_guard.delay
    delay.is_behind = is_behind
    monkeypatch.setattr(delay, "record_sample", lambda *sample: False)


def list_relieved(cluster):
    return [
        number
        for number, instance in enumerate(cluster.instances)
        if instance.node.delay_guard.is_relieved
    ]


def find_placer(cluster):
    (placer,) = [i for i in cluster.instances if i.node.is_placer]
    return placer


def test_one_of_five_instances_turns_callers_away_and_returns(
    tmp_path, monkeypatch
):
    async def scenario(cluster):
        await platform_cluster.wait_until(
            lambda: any(i.node.is_placer for i in cluster.instances)
        )
        for instance in cluster.instances:
            if not instance.node.is_placer:
                set_behind(instance, monkeypatch, is_behind=True)
        await platform_cluster.wait_until(lambda: list_relieved(cluster))
        await asyncio.sleep(1.0)
        (number,) = list_relieved(cluster)
        relieved = cluster.instances[number]
        assert not await cluster.is_ready(relieved)
        # Callers that are still connected are served, and then move.
        for path, tokens in (("/stock/", None), ("/label/", 5_000)):
            async with cluster.call(path, number, tokens=tokens) as response:
                assert response.status == 200
                assert response.headers["Connection"] == "close"
                await response.read()
        set_behind(relieved, monkeypatch, is_behind=False)
        await platform_cluster.wait_until(
            lambda: list_relieved(cluster) not in ([], [number])
        )
        assert await cluster.is_ready(relieved)
        async with cluster.call("/stock/", number) as response:
            assert response.headers.get("Connection") != "close"

    run_scenario(tmp_path, scenario)


def test_no_instance_turns_callers_away_without_a_placer(tmp_path, monkeypatch):
    """It has lost its placer and is served by its own scheduler."""

    async def scenario(cluster):
        await platform_cluster.wait_until(
            lambda: any(i.node.is_placer for i in cluster.instances)
        )
        instance = next(i for i in cluster.instances if not i.node.is_placer)
        set_behind(instance, monkeypatch, is_behind=True)
        await platform_cluster.wait_until(lambda: list_relieved(cluster))
        client = instance.node.placement_client
        monkeypatch.setattr(client, "attach", lambda connection: False)
        client.detach(client.connection, "test")
        await asyncio.sleep(relief_grants.GRANT_TTL_S + 0.3)
        assert not instance.node.delay_guard.is_relieved
        assert await cluster.is_ready(instance)
        async with cluster.call("/stock/", 0) as response:
            assert response.status == 200

    run_scenario(tmp_path, scenario)


def test_placer_that_is_behind_hands_over_to_a_stronger_instance_only(
    tmp_path, monkeypatch
):
    async def scenario(cluster):
        await platform_cluster.wait_until(
            lambda: any(i.node.is_placer for i in cluster.instances)
        )
        placer = find_placer(cluster)
        set_behind(placer, monkeypatch, is_behind=True)
        await asyncio.sleep(0.5)
        # All have the same strength.
        assert placer.node.is_placer
        placer.node.deployment.strength = 0.01
        await platform_cluster.wait_until(lambda: not placer.node.is_placer)
        await platform_cluster.wait_until(
            lambda: any(i.node.is_placer for i in cluster.instances)
        )
        assert find_placer(cluster) is not placer

    run_scenario(tmp_path, scenario)
