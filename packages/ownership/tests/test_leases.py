"""Tests for ownership under single faults, on virtual time."""

from __future__ import annotations

import asyncio

import pytest
import simulated
import virtual_time

from poplarwick_ownership import _flap_damping

TTL_S = simulated.TTL_S


def test_resources_get_one_owner_and_hand_over_is_immediate(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=2) as fleet:
            assert await fleet.settle(5) < _flap_damping.STARTUP_S + 1
            await fleet.run_for(20)
            first = fleet.instances["i-0"]
            held = len(first.listener.current)
            assert held
            await first.ownership.release_all()
            assert first.listener.planned_ends >= held
            assert not first.listener.current
            fleet.present.discard("i-0")
            assert await fleet.settle(20) < simulated.TTL_S
            assert first.listener.unplanned_ends == 0

    virtual_time.run(scenario, monkeypatch)


# Guards against leaving instances that hold a new lease until it expires.
@pytest.mark.parametrize("is_acquiring", [False, True])
def test_instance_that_has_handed_over_takes_no_new_lease(
    monkeypatch, is_acquiring
):
    async def scenario(loop):
        async with simulated.running(count=2) as fleet:
            await fleet.settle(5)
            leaving = fleet.instances["i-0"]
            if is_acquiring:
                fleet.service.delay_s = (0.5, 0.5)
                leaving = await fleet.start("i-2")
                await asyncio.sleep(0.7)
            await leaving.ownership.release_all()
            fleet.service.delay_s = (0.001, 0.01)
            await fleet.run_for(TTL_S / 2)
            holders = fleet.instances["i-1"].ownership._view.holders
            assert leaving.name not in holders

    virtual_time.run(scenario, monkeypatch)


def test_instances_that_start_together_share_without_hand_over(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=4, resources=16) as fleet:
            await fleet.settle(5)
            assert len(fleet.started_tenures) == 16
            await fleet.run_for(30)
            assert len(fleet.started_tenures) == 16
            for instance in fleet.instances.values():
                assert instance.listener.current

    virtual_time.run(scenario, monkeypatch)


def test_dead_owner_is_replaced_after_lease_expiry_and_wait(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=3) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            await fleet.kill(name)
            taken_s = await fleet.settle(60)
            assert taken_s > TTL_S
            assert taken_s < 4 * TTL_S

    virtual_time.run(scenario, monkeypatch)


def test_paused_owner_ends_its_tenures_when_it_resumes(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=3) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            paused = fleet.instances[name]
            tenure = paused.listener.current["e-0"]
            paused.client.running.clear()
            await fleet.run_for(6 * TTL_S)
            paused.client.running.set()
            assert not tenure.is_valid()
            await fleet.run_for(1)
            assert paused.listener.unplanned_ends
            assert fleet.list_valid("e-0") != [name]

    virtual_time.run(scenario, monkeypatch)


def test_claims_with_lost_responses_are_read_back(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=1) as fleet:
            await fleet.settle(5)
            fleet.service.lost_response_rate = 1.0
            await fleet.kill("i-0")
            await fleet.run_for(3 * TTL_S)
            fleet.service.lost_response_rate = 0.5
            await fleet.start("i-1")
            await fleet.settle(60)

    virtual_time.run(scenario, monkeypatch)


def test_owner_without_the_service_stops_when_its_lease_expires(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=3) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            fleet.instances[name].client.is_disconnected = True
            await fleet.run_for(TTL_S * 1.1)
            assert not fleet.instances[name].ownership.tenures
            await fleet.run_for(4 * TTL_S)
            assert fleet.is_settled()

    virtual_time.run(scenario, monkeypatch)


def test_joining_instance_takes_over_only_its_share(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=4, resources=60) as fleet:
            await fleet.settle(10)
            await fleet.run_for(60)
            before = len(fleet.started_tenures)
            await fleet.start("i-4")
            await fleet.run_for(60)
            moved = fleet.started_tenures[before:]
            assert fleet.is_settled()
            assert {name for _, _, name in moved} == {"i-4"}
            assert 0 < len(moved) <= 60 // 5 * 2

    virtual_time.run(scenario, monkeypatch)


def test_flapping_instance_causes_few_hand_overs(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=4, resources=40) as fleet:
            await fleet.settle(10)
            await fleet.run_for(60)
            before = len(fleet.started_tenures)
            for _ in range(30):
                fleet.present.discard("i-3")
                await fleet.run_for(3)
                fleet.present.add("i-3")
                await fleet.run_for(3)
            moved = len(fleet.started_tenures) - before
            assert moved <= 40, moved
            assert fleet.is_settled()

    virtual_time.run(scenario, monkeypatch)


def test_removed_resource_is_released(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=1) as fleet:
            await fleet.settle(5)
            only = fleet.instances["i-0"]
            only.ownership.set_resources(fleet.resources[1:])
            await fleet.run_for(2)
            assert "e-0" not in only.listener.current
            assert only.listener.planned_ends == 1
            assert len(only.ownership.tenures) == len(fleet.resources) - 1
            await asyncio.sleep(0)

    virtual_time.run(scenario, monkeypatch)


def test_tenures_continue_during_a_full_outage(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=4) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            before = len(fleet.started_tenures)
            fleet.service.is_unavailable = True
            await fleet.run_for(3 * TTL_S)
            assert fleet.is_settled()
            await fleet.run_for(60)
            assert fleet.is_settled()
            fleet.service.store.extend_leases()
            fleet.service.is_unavailable = False
            await fleet.run_for(20)
            assert fleet.is_settled()
            assert len(fleet.started_tenures) == before

    virtual_time.run(scenario, monkeypatch)


def test_death_of_an_instance_in_an_outage_does_not_end_other_tenures(
    monkeypatch,
):
    async def scenario(loop):
        async with simulated.running(count=4) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            fleet.service.is_unavailable = True
            await fleet.run_for(2 * TTL_S)
            await fleet.kill(name)
            await fleet.run_for(30)
            assert fleet.list_valid("e-0") == []
            others = [r.id for r in fleet.resources if fleet.list_valid(r.id)]
            assert others
            fleet.service.is_unavailable = False
            await fleet.settle(60)

    virtual_time.run(scenario, monkeypatch)


def test_instance_without_service_and_peers_ends_its_tenures(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=4) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            fleet.service.is_unavailable = True
            fleet.cut_links |= {frozenset((name, n)) for n in fleet.instances}
            await fleet.run_for(TTL_S * 1.1)
            assert not fleet.instances[name].ownership.tenures
            assert any(fleet.list_valid(r.id) for r in fleet.resources)

    virtual_time.run(scenario, monkeypatch)


def test_minority_with_the_service_waits_for_the_majority_without_it(
    monkeypatch,
):
    """Three of four instances lose the service and the link to the fourth.

    The fourth must not take over before the others acknowledge its claims.
    """

    async def scenario(loop):
        async with simulated.running(count=4, resources=12) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            fleet.cut_links |= {
                frozenset(("i-0", f"i-{n}")) for n in range(1, 4)
            }
            for number in range(1, 4):
                fleet.instances[f"i-{number}"].client.is_disconnected = True
            await fleet.run_for(30)
            assert fleet.is_settled()
            fleet.cut_links.clear()
            await fleet.run_for(30)
            assert fleet.is_settled()
            assert all(
                fleet.list_valid(r.id) == ["i-0"] for r in fleet.resources
            )

    virtual_time.run(scenario, monkeypatch)


def test_call_rate_is_bounded_during_and_after_an_outage(monkeypatch):
    async def scenario(loop):
        count = 12
        async with simulated.running(count=count, resources=48) as fleet:
            await fleet.settle(20)
            await fleet.run_for(60)
            service = fleet.service
            service.is_unavailable = True
            await fleet.run_for(5)
            service.calls = 0
            await fleet.run_for(30)
            # Each instance retries at most ten times per lease lifetime.
            assert service.calls <= 30 * count * 10 / TTL_S
            # All leases have expired when the service recovers.
            service.store.expire_leases()
            service.calls = 0
            service.is_unavailable = False
            await fleet.run_for(1)
            # Renewal, new lease and its key, a claim and its retry.
            assert service.calls <= 6 * count
            await fleet.settle(40)

    virtual_time.run(scenario, monkeypatch)


def test_excluded_instance_hands_over_and_claims_nothing(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=3, resources=12) as fleet:
            await fleet.settle(5)
            await fleet.run_for(20)
            name = fleet.list_valid("e-0")[0]
            out = fleet.instances[name]
            held = len(out.listener.current)
            assert held
            for one in fleet.instances.values():
                one.ownership.set_excluded(frozenset({name}))
            await fleet.run_for(TTL_S)
            assert not out.listener.current
            assert out.listener.planned_ends >= held
            assert out.listener.unplanned_ends == 0
            begun = len(fleet.started_tenures)
            await fleet.run_for(60)
            assert fleet.is_settled()
            assert len(fleet.started_tenures) == begun
            for one in fleet.instances.values():
                one.ownership.set_excluded(frozenset())
            await fleet.run_for(60)
            assert fleet.is_settled()
            assert out.listener.current

    virtual_time.run(scenario, monkeypatch)


def test_rebalancing_does_not_start_during_an_outage(monkeypatch):
    async def scenario(loop):
        async with simulated.running(count=1, resources=12) as fleet:
            await fleet.settle(5)
            await fleet.start("i-1")
            # The new instance is not stable yet when the outage starts.
            await fleet.run_for(1)
            fleet.service.is_unavailable = True
            await fleet.run_for(5 * TTL_S)
            assert fleet.is_settled()
            fleet.service.store.extend_leases()
            fleet.service.is_unavailable = False
            await fleet.run_for(30)
            assert fleet.is_settled()
            assert fleet.instances["i-1"].listener.current

    virtual_time.run(scenario, monkeypatch)
