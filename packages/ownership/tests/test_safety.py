"""Randomized fault tests of the ownership invariants.

No resource has two valid owners at the same time, and the epochs of each
resource strictly increase.
"""

from __future__ import annotations

import asyncio
import random

import pytest
import simulated
import virtual_time

SEEDS = range(24)
ROUNDS = 40
INSTANCES = 4
RELEASE_TIMEOUT_S = 60


async def apply_fault(fleet, rng, number):
    """Injects or repairs one random fault."""
    names = sorted(fleet.instances)
    name = rng.choice(names)
    client = fleet.instances[name].client
    match rng.randrange(11):
        case 0:
            client.running.clear()
        case 1:
            client.running.set()
        case 2:
            client.is_disconnected = not client.is_disconnected
        case 3:
            fleet.service.is_unavailable = not fleet.service.is_unavailable
        case 4:
            fleet.service.lost_response_rate = rng.choice((0.0, 0.3, 0.9))
        case 5:
            await fleet.kill(name)
            await fleet.start(f"i-{number}-again")
        case 6:
            fleet.present ^= {name}
        case 7:
            fleet.service.delay_s = rng.choice(((0.001, 0.01), (0.1, 0.9)))
        case 9:
            other = rng.choice(names)
            fleet.cut_links ^= {frozenset((name, other))}
        case 10:
            # Some instances lose the service; some also lose their peers.
            for one in names:
                fleet.instances[one].client.is_disconnected = rng.random() < 0.6
                if rng.random() < 0.3:
                    fleet.cut_links |= {
                        frozenset((one, other)) for other in names
                    }
        case 8:
            client.running.set()
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await fleet.instances[name].ownership.release_all()
            await fleet.kill(name)
            await fleet.start(f"i-{number}-next")


@pytest.mark.parametrize("seed", SEEDS)
def test_resource_never_has_two_valid_owners_under_random_faults(
    seed, monkeypatch
):
    async def scenario(loop):
        rng = random.Random(seed)
        async with simulated.running(seed, INSTANCES) as fleet:
            for number in range(ROUNDS):
                await apply_fault(fleet, rng, number)
                await fleet.run_for(rng.uniform(0.01, 2 * simulated.TTL_S))
            fleet.service.is_unavailable = False
            fleet.cut_links.clear()
            fleet.service.lost_response_rate = 0.0
            fleet.service.delay_s = (0.001, 0.01)
            for name, instance in fleet.instances.items():
                instance.client.is_disconnected = False
                instance.client.running.set()
                fleet.present.add(name)
            await fleet.settle(20 * simulated.TTL_S)
            assert len(fleet.started_tenures) > INSTANCES

    virtual_time.run(scenario, monkeypatch)
