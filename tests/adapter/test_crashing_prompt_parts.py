"""Parts of prompts that crash every engine that writes an answer on them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json

import crashing_fleet
import platform_cluster
import pytest

from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_catalogue import quarantines
from poplarwick_forwarding import request_runner
from poplarwick_node import quarantine_command
from poplarwick_standins import platform_replica

CRASHES = 5
"""Crashes after which the platform's bound for further requests applies."""

SETTLE_S = 3.0
"""Time after the last of them from which the bound applies."""

LATE_REQUESTS = 3
"""Requests with the part that may reach engines from then on."""

SHARED = "5c1e07a2"
"""Part that all requests share."""

CRASHING = "91bd3f06"


def test_requests_with_a_part_that_crashes_engines_stop_reaching_engines(
    tmp_path,
):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, pool=10, instances=3
        ) as cluster:
            await crashing_fleet.wait_for_placer(cluster)
            fleet = crashing_fleet.CrashingFleet(cluster, {CRASHING})
            restarts = asyncio.create_task(fleet.restart_crashed())
            calls = []
            numbers = itertools.count(1)

            async def send_until(condition):
                while not condition():
                    number = next(numbers)
                    for parts, name in (
                        ((SHARED, CRASHING), "bad"),
                        ((SHARED,), "good"),
                    ):
                        calls.append(
                            asyncio.create_task(fleet.call(number, parts, name))
                        )
                    await asyncio.sleep(0.1)

            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + platform_cluster.TIMEOUT_S
            await send_until(
                lambda: fleet.crashes >= CRASHES or loop.time() > deadline_s
            )
            settled_at_s = loop.time() + SETTLE_S
            await send_until(lambda: loop.time() > settled_at_s)
            await asyncio.gather(*calls)
            arrivals = fleet.count_arrivals()
            good = [
                await fleet.call(next(numbers), (SHARED,), "good")
                for _ in range(10)
            ]
            bad = []
            for number in range(20):
                bad.append(await fleet.call(number, (SHARED, CRASHING), "bad"))
                await asyncio.sleep(0.05)
            restarts.cancel()
            assert fleet.count_arrivals() - arrivals <= LATE_REQUESTS
            assert good == [200] * 10
            assert set(bad[LATE_REQUESTS:]) == {503}

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def run_fleet(tmp_path, crashing_parts, *, pool=8, instances=2):
    async with platform_cluster.run_cluster(
        tmp_path, pool=pool, instances=instances
    ) as cluster:
        await crashing_fleet.wait_for_placer(cluster)
        fleet = crashing_fleet.CrashingFleet(cluster, crashing_parts)
        restarts = asyncio.create_task(fleet.restart_crashed())
        try:
            yield fleet
        finally:
            restarts.cancel()


async def crash_until_quarantined(fleet):
    """Sends both kinds of requests until all instances refuse the part."""
    cluster, calls = fleet.cluster, []
    async with asyncio.timeout(platform_cluster.TIMEOUT_S):
        for number in itertools.count(1):
            known = [i.node.catalogue.quarantines for i in cluster.instances]
            if all(q.in_force_count for q in known):
                break
            for parts, name in (
                ((SHARED, CRASHING), "bad"),
                ((SHARED,), "good"),
            ):
                calls.append(
                    asyncio.create_task(fleet.call(number, parts, name))
                )
            await asyncio.sleep(0.1)
        await asyncio.gather(*calls)


def is_stored(cluster):
    return any(
        key.startswith(keys.QUARANTINE_PREFIX) for key in cluster.store.items
    )


async def expect(fleet, bad, good):
    """Expects the statuses of requests with and without the part."""
    arrivals = fleet.count_arrivals()
    for number in range(2 * len(fleet.cluster.instances)):
        assert await fleet.call(number, (SHARED, CRASHING), "bad") == bad
        assert await fleet.call(number, (SHARED,), "good") == good
    if bad == 503:
        assert fleet.count_arrivals() == arrivals


def test_quarantine_outlives_the_placer_a_restored_store_and_all_instances(
    tmp_path,
):
    async def scenario():
        async with run_fleet(tmp_path, {CRASHING}) as fleet:
            cluster = fleet.cluster
            copy = cluster.store.make_copy()
            await crash_until_quarantined(fleet)
            await platform_cluster.wait_until(lambda: is_stored(cluster))
            # The copy lacks the quarantine; its owners write it again.
            await cluster.store.restore(copy)
            assert not is_stored(cluster)
            await fleet.write_entries()
            await platform_cluster.wait_until(lambda: is_stored(cluster))
            await expect(fleet, 503, 200)
            for instance in list(cluster.instances):
                await instance.kill()
                cluster.instances.remove(instance)
                cluster.instances.append(
                    platform_cluster.Instance(
                        f"later-{instance.caller_address}",
                        cluster.store.address,
                        tmp_path,
                    )
                )
                await cluster.wait_ready()
                await expect(fleet, 503, 200)
            for instance in cluster.instances:
                await instance.kill()

    asyncio.run(scenario())


def test_quarantine_of_a_store_outage_reaches_new_instances_and_the_store(
    tmp_path,
):
    async def scenario():
        async with run_fleet(tmp_path, {CRASHING}) as fleet:
            cluster = fleet.cluster
            cluster.store.is_down = True
            await crash_until_quarantined(fleet)
            assert not is_stored(cluster)
            await expect(fleet, 503, 200)
            cluster.store.is_down = False
            await platform_cluster.wait_until(lambda: is_stored(cluster))

    asyncio.run(scenario())


def test_part_is_served_again_when_operators_lift_its_quarantine(tmp_path):
    async def scenario():
        crashing_parts = {CRASHING}
        async with run_fleet(tmp_path, crashing_parts) as fleet:
            cluster = fleet.cluster
            await crash_until_quarantined(fleet)
            await platform_cluster.wait_until(lambda: is_stored(cluster))
            crashing_parts.clear()
            await expect(fleet, 503, 200)
            (key,) = (
                k
                for k in cluster.store.items
                if k.startswith(keys.QUARANTINE_PREFIX)
            )
            known = cluster.instances[0].node.catalogue.quarantines.known[0]
            await cluster.store.put(
                key,
                json.loads(entry_codec.encode_quarantine(known.lift("ops"))),
            )
            await platform_cluster.wait_until(
                lambda: (
                    not any(
                        i.node.catalogue.quarantines.in_force_count
                        for i in cluster.instances
                    )
                )
            )
            await expect(fleet, 200, 200)
            crashing_parts.add(CRASHING)
            await crash_until_quarantined(fleet)

    asyncio.run(scenario())


def test_operators_list_impose_and_lift_quarantines(tmp_path, capsys):
    async def scenario():
        async with run_fleet(tmp_path, set(), pool=2, instances=1) as fleet:
            address = fleet.cluster.store.address

            async def run(*arguments):
                code = await asyncio.to_thread(
                    quarantine_command.main, ["--store", address, *arguments]
                )
                return code, capsys.readouterr()

            code, _ = await run("impose", "pool", CRASHING)
            assert code == 0
            known = fleet.cluster.instances[0].node.catalogue.quarantines
            await platform_cluster.wait_until(lambda: known.in_force_count)
            await expect(fleet, 503, 200)
            code, printed = await run("list")
            assert code == 0
            assert "in force  pool  parts " + CRASHING in printed.out
            quarantine_id = printed.out.split()[0]
            code, printed = await run("impose", "pool", CRASHING)
            assert code == 2
            assert "in force already" in printed.err
            assert (await run("lift", quarantine_id))[0] == 0
            await platform_cluster.wait_until(lambda: not known.in_force_count)
            await expect(fleet, 200, 200)
            assert (await run("lift", quarantine_id))[0] == 2
            assert (await run("lift", "unknown"))[0] == 2
            code, printed = await run("impose", "pool")
            assert code == 2
            assert "PART: give either parts or --request" in printed.err
            code, _ = await run("impose", "pool", "--request", "f0")
            assert code == 0
            code, printed = await run("list")
            assert "in force  pool  request f0" in printed.out
            code, printed = await run("impose", "pool", "--request", "no")
            assert code == 2
            assert "--request: 'no'" in printed.err
            code, printed = await run("impose", "pool", "no part")
            assert code == 2
            assert "PART: 'no part'" in printed.err

    asyncio.run(scenario())


def test_refusal_names_its_cause_and_when_to_come_back(tmp_path):
    async def scenario():
        async with run_fleet(tmp_path, set(), pool=2, instances=1) as fleet:
            node = fleet.cluster.instances[0].node
            node.catalogue.quarantines.impose(
                quarantines.Quarantine("pool", frozenset({CRASHING}))
            )
            prefix = f"{SHARED}:40,{CRASHING.upper()}:100,ab:60"
            async with fleet.cluster.call(
                "/label/x", tokens=200, headers={"Prompt-Prefix": prefix}
            ) as response:
                assert response.status == 503
                assert await response.text() == "quarantined\n"
                assert float(response.headers["Retry-After"]) == (
                    request_runner.QUARANTINE_RETRY_AFTER_S
                )

    asyncio.run(scenario())


async def lose_power(fleet, engines):
    await asyncio.gather(*(engine.crash() for engine in engines))


async def crash_in_turn(fleet, engines):
    for engine in engines:
        await engine.crash()
        await asyncio.sleep(0.3)


async def end_drains_early(fleet, engines):
    for engine in engines:
        await fleet.cluster.store.put(
            f"servers/{engine.name}", engine.make_entry("draining")
        )
    await asyncio.sleep(0.3)
    await lose_power(fleet, engines)


async def reset_connections(fleet, engines):
    for _ in range(3):
        for engine in engines:
            engine.reset_connections()
        await asyncio.sleep(0.3)


async def break_answers_off(fleet, engines):
    for engine in engines:
        engine.fault = platform_replica.Fault.CUT_INSIDE_EVENT
    await asyncio.sleep(1.5)
    for engine in engines:
        engine.fault = platform_replica.Fault.NONE


@pytest.mark.parametrize(
    "end",
    [
        lose_power,
        crash_in_turn,
        end_drains_early,
        reset_connections,
        break_answers_off,
    ],
)
@pytest.mark.parametrize("are_alike", [False, True])
def test_nothing_is_blamed_on_callers_when_engines_end_otherwise(
    tmp_path, end, are_alike
):
    """Five of ten engines end under requests that all have a part in common.

    In the second variant some of the requests are copies of a single one.
    """

    async def scenario():
        async with run_fleet(tmp_path, set(), pool=10) as fleet:
            for engine in fleet.engines:
                engine.event_count = 20
                engine.event_interval_s = 0.04
            calls = []

            async def send_for(time_s):
                for number in range(int(time_s / 0.03)):
                    parts = (SHARED, f"5e{number % 4:x}")
                    body = None
                    if are_alike and number % 3 == 0:
                        parts, body = (SHARED, "5e0"), b"alike"
                    calls.append(
                        asyncio.create_task(
                            fleet.call(number, parts, "good", body)
                        )
                    )
                    await asyncio.sleep(0.03)

            await send_for(1.5)
            ending = asyncio.create_task(end(fleet, fleet.engines[:5]))
            await send_for(2.5)
            await ending
            await asyncio.gather(*calls)
            for instance in fleet.cluster.instances:
                assert not instance.node.catalogue.quarantines.known
            await expect(fleet, 200, 200)

    asyncio.run(scenario())
