"""Detection and false removals among many members, on virtual time."""

from __future__ import annotations

import asyncio

import pytest
import simulated_members
import virtual_time

DETECTION_BOUND_S = 3.0


@pytest.mark.parametrize("seed", range(3))
def test_deaths_are_seen_in_time_by_all(seed, monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(seed, 0.0, 24) as network:
            await asyncio.sleep(10)
            for number in range(8):
                await simulated_members.detect_death(
                    network, f"i-{number}", DETECTION_BOUND_S
                )
                await asyncio.sleep(network.random.uniform(1, 3))
            assert {gone for _, gone in network.removed} == network.dead

    virtual_time.run(scenario, monkeypatch)


def test_one_percent_loss_removes_no_one(monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(1, 0.01, 16) as network:
            await asyncio.sleep(300)
            assert network.removed == []

    virtual_time.run(scenario, monkeypatch)


def test_pings_of_an_instance_do_not_grow_with_the_fleet(monkeypatch):
    async def scenario(loop):
        rates = []
        for count in (8, 48):
            async with simulated_members.running(1, 0.0, count) as network:
                await asyncio.sleep(20)
                network.pings = network.bytes = 0
                await asyncio.sleep(10)
                rates.append((network.pings / count, network.bytes / count))
        small, large = rates
        assert large[0] <= small[0] * 1.2
        assert large[1] <= small[1] * 1.5

    virtual_time.run(scenario, monkeypatch)
