"""Several instances together: placing, store outages, operators' changes."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

import world as worlds

from poplarwick_adapter import keys
from poplarwick_bench import proxy
from poplarwick_coordination import message_streams
from poplarwick_coordination import store_changes
from poplarwick_coordination import store_followers
from poplarwick_coordination import tenure
from poplarwick_standins import platform_replica

WHOLE = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6))


def play(tmp_path, scenario, **options):
    async def run():
        async with worlds.running(tmp_path, **options) as world:
            await scenario(world)

    asyncio.run(run())


async def stream(world, instance=0):
    async with world.call("/label/", instance, tokens=5_000) as answer:
        assert answer.status == 200
        assert await answer.read() == WHOLE


def find_placer(world):
    for instance in world.instances:
        if instance.part.tenure.epoch is not None:
            return instance
    return None


async def wait_for_links(world, instances):
    await worlds.eventually(
        lambda: all(
            i.part.placement_client.connection is not None for i in instances
        )
    )


def test_one_instance_places_for_all(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placers = {
            i.part.placement_client.connection.placer for i in world.instances
        }
        assert len(placers) == 1
        for number in range(3):
            await stream(world, number)

    play(tmp_path, scenario, instances=3)


def test_a_placer_that_the_store_refuses_hears_changes_from_others(
    tmp_path, monkeypatch
):
    # The placer keeps its tenure all through the test.
    monkeypatch.setattr(tenure, "LEASE_TTL_S", 60.0)

    async def scenario(world):
        async with contextlib.AsyncExitStack() as stack:
            links_to_store = []
            for number in range(3):
                link = await stack.enter_async_context(
                    proxy.Proxy(world.store.address)
                )
                links_to_store.append(link)
                instance = worlds.Instance(
                    f"front-{number}", link.address, tmp_path
                )
                world.instances.append(instance)
                stack.push_async_callback(instance.end)
            await world.wait_ready()
            await wait_for_links(world, world.instances)
            placer = find_placer(world)
            link = links_to_store[world.instances.index(placer)]
            link.apply(proxy.Rules(refuses=True))
            link.reset()
            await worlds.eventually(lambda: placer.part.feed.is_away)
            leaving = world.replicas[0]
            await world.store.put(
                f"servers/{leaving.name}", leaving.make_entry("draining")
            )
            known = placer.part.catalogue.endpoints
            await worlds.eventually(
                lambda: known[leaving.name].endpoint.state.value == "draining"
            )
            assert find_placer(world) is placer

    play(tmp_path, scenario, instances=0)


def test_another_instance_places_after_the_placer_was_killed(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        epoch = placer.part.tenure.epoch
        others = [i for i in world.instances if i is not placer]
        await placer.end()
        for instance in others:
            await stream(world, world.instances.index(instance))
        await worlds.eventually(
            lambda: any((i.part.tenure.epoch or 0) > epoch for i in others)
        )
        await worlds.eventually(
            lambda: all(
                i.part.placement_client.connection
                and i.part.placement_client.connection.epoch > epoch
                for i in others
            )
        )

    play(tmp_path, scenario, instances=3)


def test_serving_goes_on_with_what_is_known_while_the_store_is_down(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        world.store.is_down = True
        await worlds.eventually(
            lambda: not world.instances[0].part.feed.is_reachable
        )
        await asyncio.sleep(2)
        for number in range(2):
            assert await world.is_ready(world.instances[number])
            await stream(world, number)

    play(tmp_path, scenario, instances=2)


def test_entries_that_lapsed_in_an_outage_are_used_until_they_had_their_time(
    tmp_path,
):
    async def scenario(world):
        part = world.instances[0].part
        world.store.is_down = True
        await worlds.eventually(lambda: not part.feed.is_reachable)
        for replica in world.replicas:
            world.store.items.pop(f"servers/{replica.name}")
        world.store.revision += 1
        world.store.compact()
        world.store.is_down = False
        await worlds.eventually(lambda: part.feed.is_reachable)
        await stream(world)
        back = world.replicas[0]
        await world.store.put(f"servers/{back.name}", back.make_entry())
        await worlds.eventually(
            lambda: list(part.catalogue.endpoints) == [back.name]
        )
        await stream(world)

    play(tmp_path, scenario)


def test_an_instance_that_the_store_refuses_learns_from_the_placer(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        other = next(i for i in world.instances if i is not placer)

        class Refusal:
            async def __aenter__(self):
                raise ConnectionError("refused for this test")

            async def __aexit__(self, *_):
                pass

        def refuse(*_, **__):
            return Refusal()

        other.part.store_client._session.request = refuse
        await worlds.eventually(lambda: not other.part.feed.is_reachable)
        await world.store.put("op/config", worlds.make_configuration(7))
        await worlds.eventually(
            lambda: other.part.catalogue.routing.version == 7, 4
        )

    play(tmp_path, scenario, instances=2)


def test_a_new_configuration_is_in_force_within_its_bound(tmp_path):
    async def scenario(world):
        routes = [worlds.make_route("new", "idempotent", "orders")]
        await world.store.put("op/config", worlds.make_configuration(2, routes))
        await worlds.eventually(
            lambda: all(
                i.part.catalogue.routing.version == 2 for i in world.instances
            ),
            2,
        )
        async with world.call("/new/") as answer:
            assert answer.status == 200
        async with world.call("/label/") as answer:
            assert answer.status == 404

    play(tmp_path, scenario, instances=2)


def test_an_older_or_unreadable_configuration_does_not_take_its_place(
    tmp_path,
):
    async def scenario(world):
        part = world.instances[0].part
        await world.store.put("op/config", worlds.make_configuration(5))
        await worlds.eventually(lambda: part.catalogue.routing.version == 5)
        await world.store.put("op/config", worlds.make_configuration(4))
        await world.store.put("op/config", b"\xff\x00")
        await worlds.eventually(lambda: part.catalogue.invalid_count == 1)
        assert part.catalogue.routing.version == 5
        await stream(world)

    play(tmp_path, scenario)


def test_a_revoked_key_is_refused(tmp_path):
    async def scenario(world):
        tenants = [{"name": "one", "api_keys": ["other"], "priority": 1}]
        await world.store.put(
            "op/config", worlds.make_configuration(2, None, tenants)
        )
        part = world.instances[0].part
        await worlds.eventually(lambda: part.catalogue.routing.version == 2)
        async with world.call("/label/", tokens=5_000) as answer:
            assert answer.status == 401

    play(tmp_path, scenario)


def test_a_domain_taken_out_gets_nothing_until_it_is_taken_back(tmp_path):
    async def scenario(world):
        part = world.instances[0].part
        away = world.replicas[0]
        entry = away.make_entry(zone="b")
        await world.store.put(f"servers/{away.name}", entry)
        await world.store.put(keys.EVACUATED_PREFIX + "b", {})
        await worlds.eventually(lambda: "b" in part.catalogue.evacuated)
        before = len(away.runs)
        for _ in range(6):
            await stream(world)
        assert len(away.runs) == before
        await world.store.remove(keys.EVACUATED_PREFIX + "b")
        world.replicas[1].fault = platform_replica.Fault.FULL
        await worlds.eventually(lambda: "b" not in part.catalogue.evacuated)
        await stream(world)
        assert len(away.runs) > before

    play(tmp_path, scenario)


def test_a_draining_endpoint_gets_nothing_new(tmp_path):
    async def scenario(world):
        part = world.instances[0].part
        leaving = world.replicas[0]
        await world.store.put(
            f"servers/{leaving.name}", leaving.make_entry("draining")
        )
        await worlds.eventually(
            lambda: (
                part.catalogue.endpoints[leaving.name].endpoint.state.value
                == "draining"
            )
        )
        before = len(leaving.runs)
        for _ in range(4):
            await stream(world)
        assert len(leaving.runs) == before

    play(tmp_path, scenario)


def test_an_instance_without_a_configuration_is_not_ready_and_promises(
    tmp_path,
):
    async def scenario(world):
        fresh = worlds.Instance("front-9", "127.0.0.1:1", tmp_path)
        world.instances.append(fresh)
        await asyncio.sleep(0.5)
        assert not await world.is_ready(fresh)
        async with world.call("/label/", 1) as answer:
            assert answer.status == 503
        await fresh.end()

    play(tmp_path, scenario)


def test_a_placer_that_is_not_heard_is_not_waited_for(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        other = next(i for i in world.instances if i is not placer)
        # The placer's messages stop, as if its machine stood still.
        other.part.placement_client.handle = lambda *_: None
        began_s = asyncio.get_running_loop().time()
        await stream(world, world.instances.index(other))
        assert asyncio.get_running_loop().time() - began_s < 2

    play(tmp_path, scenario, instances=2)


def test_only_the_placer_and_its_guardians_follow_the_store(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)

        def count():
            return sum(i.part.feed.is_following for i in world.instances)

        await worlds.eventually(
            lambda: count() <= store_followers.STANDBY_FOLLOWERS + 1
        )
        await world.store.put("op/config", worlds.make_configuration(3))
        await worlds.eventually(
            lambda: all(
                i.part.catalogue.routing.version == 3 for i in world.instances
            ),
            2,
        )
        placer = find_placer(world)
        await placer.end()
        others = [i for i in world.instances if i is not placer]
        await world.store.put("op/config", worlds.make_configuration(4))
        await worlds.eventually(
            lambda: all(i.part.catalogue.routing.version == 4 for i in others),
            3,
        )

    play(tmp_path, scenario, instances=5)


def test_a_stopping_placer_hands_over_also_without_the_store(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        others = [i for i in world.instances if i is not placer]
        # The placer knows an instance's state from its first beats.
        await asyncio.sleep(3 * message_streams.HEARTBEAT_PERIOD_S)
        world.store.is_silent = True
        placer.stop.set()
        await worlds.eventually(
            lambda: any(i.part.tenure.epoch for i in others), 1
        )
        (successor,) = [i for i in others if i.part.tenure.epoch]
        name = successor.part.place.instance
        await worlds.eventually(
            lambda: all(
                i.part.placement_client.connection
                and i.part.placement_client.connection.placer == name
                for i in others
            ),
            2,
        )
        await stream(world, world.instances.index(others[0]))

    play(tmp_path, scenario, instances=3)


def test_an_instance_places_in_an_outage_after_the_placer_was_killed(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        others = [i for i in world.instances if i is not placer]
        world.store.is_down = True
        await placer.end()
        await worlds.eventually(
            lambda: any(i.part.tenure.epoch for i in others), 5
        )
        await worlds.eventually(
            lambda: (
                all(i.part.placement_client.connection for i in others)
                and len(
                    {i.part.placement_client.connection.epoch for i in others}
                )
                == 1
            ),
            5,
        )

    play(tmp_path, scenario, instances=4)


def test_a_placer_that_reaches_nobody_steps_down(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        placer = find_placer(world)
        for other in world.instances:
            if other is not placer:
                await other.end()
        await worlds.eventually(lambda: placer.part.tenure.epoch is None, 5)
        await stream(world, world.instances.index(placer))

    play(tmp_path, scenario, instances=3)


def test_a_large_configuration_reaches_all_without_being_pushed(tmp_path):
    async def scenario(world):
        await wait_for_links(world, world.instances)
        routes = [
            worlds.make_route(secrets.token_hex(24), "idempotent", "orders")
            for _ in range(600)
        ]
        await world.store.put("op/config", worlds.make_configuration(2, routes))
        await worlds.eventually(
            lambda: all(
                i.part.catalogue.routing.version == 2 for i in world.instances
            ),
            2,
        )
        for instance in world.instances:
            copy = instance.part.mirror
            changes = store_changes.encode_changes(copy, 0)
            assert store_changes.is_large(changes)

    play(tmp_path, scenario, instances=5)


def test_a_request_waits_a_little_for_an_instance_that_has_just_started(
    tmp_path,
):
    async def scenario(world):
        world.store.is_down = True
        fresh = worlds.Instance("front-9", world.store.address, tmp_path)
        world.instances.append(fresh)
        await asyncio.sleep(0.5)
        asked = asyncio.create_task(stream(world, 1))
        await asyncio.sleep(0.3)
        world.store.is_down = False
        await asked
        await fresh.end()

    play(tmp_path, scenario)
