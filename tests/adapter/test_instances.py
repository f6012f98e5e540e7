"""Several instances: placement, store outages and operators' changes."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

import platform_cluster

from poplarwick_adapter import keys
from poplarwick_bench import proxy
from poplarwick_coordination import message_streams
from poplarwick_coordination import store_changes
from poplarwick_coordination import store_followers
from poplarwick_coordination import tenure
from poplarwick_platform import kv
from poplarwick_standins import platform_replica

COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)
)


def run_scenario(tmp_path, scenario, **options):
    async def run():
        async with platform_cluster.run_cluster(tmp_path, **options) as cluster:
            await scenario(cluster)

    asyncio.run(run())


async def request_stream(cluster, instance=0):
    async with cluster.call("/label/", instance, tokens=5_000) as response:
        assert response.status == 200
        assert await response.read() == COMPLETE_STREAM


def find_placer(cluster):
    for instance in cluster.instances:
        if instance.node.tenure.epoch is not None:
            return instance
    return None


async def wait_until_connected(cluster, instances):
    await platform_cluster.wait_until(
        lambda: all(
            i.node.placement_client.connection is not None for i in instances
        )
    )


async def wait_until_members_known(cluster):
    names = {i.name for i in cluster.instances}
    await platform_cluster.wait_until(
        lambda: all(
            i.node.catalogue.members.keys() == names for i in cluster.instances
        )
    )


def test_all_instances_follow_one_placer(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placers = {
            i.node.placement_client.connection.placer for i in cluster.instances
        }
        assert len(placers) == 1
        for number in range(3):
            await request_stream(cluster, number)

    run_scenario(tmp_path, scenario, instances=3)


def test_placer_without_store_receives_changes_from_other_instances(
    tmp_path, monkeypatch
):
    # The placer keeps its tenure for the whole test.
    monkeypatch.setattr(tenure, "LEASE_TTL_S", 60.0)

    async def scenario(cluster):
        async with contextlib.AsyncExitStack() as stack:
            store_proxies = []
            for number in range(3):
                store_proxy = await stack.enter_async_context(
                    proxy.Proxy(cluster.store.address)
                )
                store_proxies.append(store_proxy)
                instance = platform_cluster.Instance(
                    f"front-{number}", store_proxy.address, tmp_path
                )
                cluster.instances.append(instance)
                stack.push_async_callback(instance.kill)
            await cluster.wait_ready()
            await wait_until_connected(cluster, cluster.instances)
            placer = find_placer(cluster)
            store_proxy = store_proxies[cluster.instances.index(placer)]
            store_proxy.apply(proxy.Rules(refuses_connections=True))
            store_proxy.reset()
            await platform_cluster.wait_until(
                lambda: placer.node.feed.is_store_unavailable
            )
            leaving = cluster.replicas[0]
            await cluster.store.put(
                f"servers/{leaving.name}", leaving.make_entry("draining")
            )
            endpoints = placer.node.catalogue.endpoints
            await platform_cluster.wait_until(
                lambda: (
                    endpoints[leaving.name].endpoint.state.value == "draining"
                )
            )
            assert find_placer(cluster) is placer

    run_scenario(tmp_path, scenario, instances=0)


def test_another_instance_becomes_placer_after_crash(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        epoch = placer.node.tenure.epoch
        others = [i for i in cluster.instances if i is not placer]
        await placer.kill()
        for instance in others:
            await request_stream(cluster, cluster.instances.index(instance))
        await platform_cluster.wait_until(
            lambda: any((i.node.tenure.epoch or 0) > epoch for i in others)
        )
        await platform_cluster.wait_until(
            lambda: all(
                i.node.placement_client.connection
                and i.node.placement_client.connection.epoch > epoch
                for i in others
            )
        )

    run_scenario(tmp_path, scenario, instances=3)


def test_serving_continues_during_store_outage(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        cluster.store.is_down = True
        await platform_cluster.wait_until(
            lambda: not cluster.instances[0].node.feed.is_reachable
        )
        await asyncio.sleep(2)
        for number in range(2):
            assert await cluster.is_ready(cluster.instances[number])
            await request_stream(cluster, number)

    run_scenario(tmp_path, scenario, instances=2)


def test_entries_expired_during_outage_stay_usable_for_grace_period(tmp_path):
    async def scenario(cluster):
        node = cluster.instances[0].node
        cluster.store.is_down = True
        await platform_cluster.wait_until(lambda: not node.feed.is_reachable)
        for replica in cluster.replicas:
            cluster.store.items.pop(f"servers/{replica.name}")
        cluster.store.revision += 1
        cluster.store.compact()
        cluster.store.is_down = False
        await platform_cluster.wait_until(lambda: node.feed.is_reachable)
        await request_stream(cluster)
        restored = cluster.replicas[0]
        await cluster.store.put(
            f"servers/{restored.name}", restored.make_entry()
        )
        await platform_cluster.wait_until(
            lambda: list(node.catalogue.endpoints) == [restored.name]
        )
        await request_stream(cluster)

    run_scenario(tmp_path, scenario)


def test_instance_without_store_receives_changes_from_placer(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        other = next(i for i in cluster.instances if i is not placer)

        class RefusedRequest:
            async def __aenter__(self):
                raise ConnectionError("refused by the test")

            async def __aexit__(self, *_):
                pass

        def refuse(*_, **__):
            return RefusedRequest()

        other.node.store_client._session.request = refuse
        await platform_cluster.wait_until(
            lambda: not other.node.feed.is_reachable
        )
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(7)
        )
        await platform_cluster.wait_until(
            lambda: other.node.catalogue.routing.version == 7, 4
        )

    run_scenario(tmp_path, scenario, instances=2)


def test_new_configuration_is_applied_within_bound(tmp_path):
    async def scenario(cluster):
        routes = [platform_cluster.make_route("new", "idempotent", "orders")]
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(2, routes)
        )
        await platform_cluster.wait_until(
            lambda: all(
                i.node.catalogue.routing.version == 2 for i in cluster.instances
            ),
            2,
        )
        async with cluster.call("/new/") as response:
            assert response.status == 200
        async with cluster.call("/label/") as response:
            assert response.status == 404

    run_scenario(tmp_path, scenario, instances=2)


def test_older_or_invalid_configuration_is_not_applied(tmp_path):
    async def scenario(cluster):
        node = cluster.instances[0].node
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(5)
        )
        await platform_cluster.wait_until(
            lambda: node.catalogue.routing.version == 5
        )
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(4)
        )
        await cluster.store.put("op/config", b"\xff\x00")
        await platform_cluster.wait_until(
            lambda: node.catalogue.invalid_count == 1
        )
        assert node.catalogue.routing.version == 5
        await request_stream(cluster)

    run_scenario(tmp_path, scenario)


def test_revoked_api_key_is_rejected(tmp_path):
    async def scenario(cluster):
        tenants = [{"name": "one", "api_keys": ["other"], "priority": 1}]
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(2, None, tenants)
        )
        node = cluster.instances[0].node
        await platform_cluster.wait_until(
            lambda: node.catalogue.routing.version == 2
        )
        async with cluster.call("/label/", tokens=5_000) as response:
            assert response.status == 401

    run_scenario(tmp_path, scenario)


def test_evacuated_domain_gets_no_requests_until_restored(tmp_path):
    async def scenario(cluster):
        node = cluster.instances[0].node
        evacuated = cluster.replicas[0]
        entry = evacuated.make_entry(zone="b")
        await cluster.store.put(f"servers/{evacuated.name}", entry)
        await cluster.store.put(keys.EVACUATED_PREFIX + "b", {})
        await platform_cluster.wait_until(
            lambda: "b" in node.catalogue.evacuated
        )
        before = len(evacuated.executions)
        for _ in range(6):
            await request_stream(cluster)
        assert len(evacuated.executions) == before
        await cluster.store.remove(keys.EVACUATED_PREFIX + "b")
        cluster.replicas[1].fault = platform_replica.Fault.FULL
        await platform_cluster.wait_until(
            lambda: "b" not in node.catalogue.evacuated
        )
        await request_stream(cluster)
        assert len(evacuated.executions) > before

    run_scenario(tmp_path, scenario)


def test_draining_endpoint_gets_no_new_requests(tmp_path):
    async def scenario(cluster):
        node = cluster.instances[0].node
        leaving = cluster.replicas[0]
        await cluster.store.put(
            f"servers/{leaving.name}", leaving.make_entry("draining")
        )
        await platform_cluster.wait_until(
            lambda: (
                node.catalogue.endpoints[leaving.name].endpoint.state.value
                == "draining"
            )
        )
        before = len(leaving.executions)
        for _ in range(4):
            await request_stream(cluster)
        assert len(leaving.executions) == before

    run_scenario(tmp_path, scenario)


def test_instance_without_configuration_is_not_ready_and_refuses(tmp_path):
    async def scenario(cluster):
        fresh = platform_cluster.Instance("front-9", "127.0.0.1:1", tmp_path)
        cluster.instances.append(fresh)
        await asyncio.sleep(0.5)
        assert not await cluster.is_ready(fresh)
        async with cluster.call("/label/", 1) as response:
            assert response.status == 503
        await fresh.kill()

    run_scenario(tmp_path, scenario)


def test_unresponsive_placer_is_not_waited_for(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        other = next(i for i in cluster.instances if i is not placer)
        # The placer's messages stop, as if its machine were frozen.
        other.node.placement_client.handle = lambda *_: None
        started_at_s = asyncio.get_running_loop().time()
        await request_stream(cluster, cluster.instances.index(other))
        assert asyncio.get_running_loop().time() - started_at_s < 2

    run_scenario(tmp_path, scenario, instances=2)


def test_only_placer_and_standby_followers_watch_the_store(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)

        def count():
            return sum(i.node.feed.is_following for i in cluster.instances)

        await platform_cluster.wait_until(
            lambda: count() <= store_followers.STANDBY_FOLLOWERS + 1
        )
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(3)
        )
        await platform_cluster.wait_until(
            lambda: all(
                i.node.catalogue.routing.version == 3 for i in cluster.instances
            ),
            2,
        )
        placer = find_placer(cluster)
        await placer.kill()
        others = [i for i in cluster.instances if i is not placer]
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(4)
        )
        await platform_cluster.wait_until(
            lambda: all(i.node.catalogue.routing.version == 4 for i in others),
            3,
        )

    run_scenario(tmp_path, scenario, instances=5)


def test_stopping_placer_hands_over_without_store(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        others = [i for i in cluster.instances if i is not placer]
        # The placer learns an instance's state from its first heartbeats.
        await asyncio.sleep(3 * message_streams.HEARTBEAT_PERIOD_S)
        cluster.store.is_unresponsive = True
        placer.stop.set()
        await platform_cluster.wait_until(
            lambda: any(i.node.tenure.epoch for i in others), 1
        )
        (successor,) = [i for i in others if i.node.tenure.epoch]
        name = successor.node.deployment.instance
        await platform_cluster.wait_until(
            lambda: all(
                i.node.placement_client.connection
                and i.node.placement_client.connection.placer == name
                for i in others
            ),
            2,
        )
        await request_stream(cluster, cluster.instances.index(others[0]))

    run_scenario(tmp_path, scenario, instances=3)


def test_tenure_that_was_handed_over_stays_with_its_successor(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        others = [i for i in cluster.instances if i is not placer]
        await asyncio.sleep(3 * message_streams.HEARTBEAT_PERIOD_S)
        placer.stop.set()
        await platform_cluster.wait_until(
            lambda: any(i.node.tenure.epoch for i in others)
        )
        (successor,) = [i for i in others if i.node.tenure.epoch]
        epoch = successor.node.tenure.epoch
        created = cluster.store.items[keys.PLACER].created
        # The lease of the former placer ends in the meantime.
        await asyncio.sleep(2 * tenure.LEASE_TTL_S)
        assert successor.node.tenure.epoch == epoch
        item = cluster.store.items[keys.PLACER]
        owner = item.value.split(b" ")[0].decode()
        assert owner == successor.node.deployment.instance
        # Replaced, and free for no one in between.
        assert item.created == created

    run_scenario(tmp_path, scenario, instances=3)


def test_placer_is_replaced_during_store_outage(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        # An instance that is cut off from the store before it has received the
        # members cannot find the others.
        await wait_until_members_known(cluster)
        placer = find_placer(cluster)
        others = [i for i in cluster.instances if i is not placer]
        cluster.store.is_down = True
        await placer.kill()
        await platform_cluster.wait_until(
            lambda: any(i.node.tenure.epoch for i in others), 5
        )
        await platform_cluster.wait_until(
            lambda: (
                all(i.node.placement_client.connection for i in others)
                and len(
                    {
                        (
                            i.node.placement_client.connection.placer,
                            i.node.placement_client.connection.epoch,
                        )
                        for i in others
                    }
                )
                == 1
            ),
            5,
        )

    run_scenario(tmp_path, scenario, instances=4)


def test_isolated_placer_steps_down(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        placer = find_placer(cluster)
        for other in cluster.instances:
            if other is not placer:
                await other.kill()
        await platform_cluster.wait_until(
            lambda: placer.node.tenure.epoch is None, 5
        )
        await request_stream(cluster, cluster.instances.index(placer))

    run_scenario(tmp_path, scenario, instances=3)


def test_large_configuration_reaches_all_instances_without_push(tmp_path):
    async def scenario(cluster):
        await wait_until_connected(cluster, cluster.instances)
        routes = [
            platform_cluster.make_route(
                secrets.token_hex(24), "idempotent", "orders"
            )
            for _ in range(600)
        ]
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(2, routes)
        )
        await platform_cluster.wait_until(
            lambda: all(
                i.node.catalogue.routing.version == 2 for i in cluster.instances
            ),
            2,
        )
        for instance in cluster.instances:
            store_mirror = instance.node.mirror
            changes = store_changes.encode_changes(
                store_mirror, kv.Position(store_mirror.era, kv.Revision(0))
            )
            assert store_changes.is_large(changes)

    run_scenario(tmp_path, scenario, instances=5)


def test_request_waits_for_configuration_of_new_instance(tmp_path):
    async def scenario(cluster):
        cluster.store.is_down = True
        fresh = platform_cluster.Instance(
            "front-9", cluster.store.address, tmp_path
        )
        cluster.instances.append(fresh)
        await asyncio.sleep(0.5)
        request = asyncio.create_task(request_stream(cluster, 1))
        await asyncio.sleep(0.3)
        cluster.store.is_down = False
        await request
        await fresh.kill()

    run_scenario(tmp_path, scenario)
