"""Tests for failure detection among many members, on virtual time."""

from __future__ import annotations

import asyncio

import pytest
import simulated_members
import virtual_time

DETECTION_BOUND_S = 3.0


@pytest.mark.parametrize("seed", range(3))
def test_all_members_detect_deaths_within_the_bound(seed, monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(seed, 0.0, 24) as network:
            await asyncio.sleep(10)
            for number in range(8):
                await simulated_members.detect_death(
                    network, f"i-{number}", DETECTION_BOUND_S
                )
                await asyncio.sleep(network.random.uniform(1, 3))
            assert {removed for _, removed in network.removed} == network.dead

    virtual_time.run(scenario, monkeypatch)


def test_one_percent_packet_loss_removes_no_member(monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(1, 0.01, 16) as network:
            await asyncio.sleep(300)
            assert network.removed == []

    virtual_time.run(scenario, monkeypatch)


def test_ping_traffic_per_instance_is_independent_of_fleet_size(monkeypatch):
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


def test_one_way_partition_removes_no_member(monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(1, 0.0, 8) as network:
            await asyncio.sleep(10)
            monitored = {
                (name, str(target))
                for name, view in network.views.items()
                for target in view._monitors
            }
            source, target = min(monitored)
            network.cut.add((source, target))
            incarnation = network.views[target].own.incarnation
            await asyncio.sleep(60)
            assert network.removed == []
            # Helpers reach the target, so there is no suspicion to refute.
            assert network.views[target].own.incarnation == incarnation

    virtual_time.run(scenario, monkeypatch)


def test_new_instance_at_a_reused_address_does_not_keep_the_dead_alive(
    monkeypatch,
):
    async def scenario(loop):
        async with simulated_members.running(1, 0.0, 8) as network:
            await asyncio.sleep(10)
            old = network.views["i-2"]
            await old.__aexit__(None, None, None)
            view = simulated_members.add_member(network, "i-new", "i-2")
            async with view:
                await asyncio.sleep(DETECTION_BOUND_S)
                others = [v for v in network.views.values() if v is not view]
                assert not any(v.find("i-2") for v in others)
                await asyncio.sleep(60)
                assert all(v.find("i-new") for v in others)
            assert {removed for _, removed in network.removed} == {"i-2"}

    virtual_time.run(scenario, monkeypatch)


def test_failed_monitor_is_replaced(monkeypatch):
    async def scenario(loop):
        async with simulated_members.running(1, 0.0, 4) as network:
            await asyncio.sleep(5)
            view = network.views["i-0"]
            view._prober.ping = fail_once(view._prober.ping)
            await asyncio.sleep(5)
            await simulated_members.detect_death(
                network, "i-1", DETECTION_BOUND_S
            )
            assert len(view._monitors) == len(view.members) - 1
            assert not any(task.done() for task in view._monitors.values())

    virtual_time.run(scenario, monkeypatch)


def fail_once(ping):
    failures = iter((ValueError("broken"),))

    async def ping_or_fail(*arguments):
        for failure in failures:
            raise failure
        return await ping(*arguments)

    return ping_or_fail
