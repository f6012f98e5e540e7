"""Random faults against the two promises of ownership.

No resource ever has two valid owners, and epochs strictly increase.
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
GENEROUS_S = 60


async def apply_fault(fleet, chance, number):
    """Applies one random fault or repair."""
    names = sorted(fleet.instances)
    name = chance.choice(names)
    client = fleet.instances[name].client
    match chance.randrange(11):
        case 0:
            client.awake.clear()
        case 1:
            client.awake.set()
        case 2:
            client.is_cut = not client.is_cut
        case 3:
            fleet.service.is_out = not fleet.service.is_out
        case 4:
            fleet.service.lost_share = chance.choice((0.0, 0.3, 0.9))
        case 5:
            await fleet.kill(name)
            await fleet.start(f"i-{number}-again")
        case 6:
            fleet.present ^= {name}
        case 7:
            fleet.service.delay_s = chance.choice(((0.001, 0.01), (0.1, 0.9)))
        case 9:
            other = chance.choice(names)
            fleet.cut_links ^= {frozenset((name, other))}
        case 10:
            # Some lose the service, and some of these the others too.
            for one in names:
                fleet.instances[one].client.is_cut = chance.random() < 0.6
                if chance.random() < 0.3:
                    fleet.cut_links |= {
                        frozenset((one, other)) for other in names
                    }
        case 8:
            client.awake.set()
            async with asyncio.timeout(GENEROUS_S):
                await fleet.instances[name].ownership.release_all()
            await fleet.kill(name)
            await fleet.start(f"i-{number}-next")


@pytest.mark.parametrize("seed", SEEDS)
def test_no_two_valid_owners_whatever_happens(seed, monkeypatch):
    async def scenario(loop):
        chance = random.Random(seed)
        async with simulated.running(seed, INSTANCES) as fleet:
            for number in range(ROUNDS):
                await apply_fault(fleet, chance, number)
                await fleet.pass_time(chance.uniform(0.01, 2 * simulated.TTL_S))
            fleet.service.is_out = False
            fleet.cut_links.clear()
            fleet.service.lost_share = 0.0
            fleet.service.delay_s = (0.001, 0.01)
            for name, instance in fleet.instances.items():
                instance.client.is_cut = False
                instance.client.awake.set()
                fleet.present.add(name)
            await fleet.settle(20 * simulated.TTL_S)
            assert len(fleet.begun) > INSTANCES

    virtual_time.run(scenario, monkeypatch)
