"""Requests that crash endpoints while the placer changes."""

from __future__ import annotations

import asyncio

import crashing_fleet
import platform_cluster

SENDERS = 6
"""Instances that get copies of the request; one more is the placer."""

COPY_PERIOD_S = 0.15
"""Interval between the copies."""

CRASHING_BODY = b"crash"

HEADERS = {"Prompt-Prefix": "5c1e07a2:100,0bad:4900"}


async def count_crashes(tmp_path, *, placer_ends):
    """Returns how many endpoints the copies of one request crash."""
    tmp_path.mkdir()
    async with platform_cluster.run_cluster(
        tmp_path, pool=20, instances=SENDERS + 1
    ) as cluster:
        await crashing_fleet.wait_for_placer(cluster)
        fleet = crashing_fleet.CrashingFleet(
            cluster, crashing_bodies={CRASHING_BODY}
        )
        name = cluster.instances[0].node.placement_client.connection.placer
        placer = next(i for i in cluster.instances if i.name == name)
        cluster.instances.remove(placer)
        restarts = asyncio.create_task(fleet.restart_crashed())

        async def end_placer():
            await platform_cluster.wait_until(lambda: fleet.crashes >= 2)
            if placer_ends:
                await placer.kill()

        ending = asyncio.create_task(end_placer())
        calls = []
        for number in range(SENDERS):
            calls.append(
                asyncio.create_task(
                    fleet.send(
                        number,
                        f"bad-{number}",
                        tokens=5_000,
                        headers=HEADERS,
                        data=CRASHING_BODY,
                    )
                )
            )
            await asyncio.sleep(COPY_PERIOD_S)
        await asyncio.gather(*calls)
        await ending
        restarts.cancel()
        return fleet.crashes


def test_change_of_placer_costs_one_more_crash_at_most(tmp_path):
    """Crashes that the last placer has seen count for the next one."""

    async def scenario():
        without = await count_crashes(tmp_path / "without", placer_ends=False)
        changed = await count_crashes(tmp_path / "changed", placer_ends=True)
        assert changed <= without + 1

    asyncio.run(scenario())
