"""Membership of a few instances under faults."""

from __future__ import annotations

import asyncio
import dataclasses

import fleet_of_members as fleets

from poplarwick_core import ids
from poplarwick_peers import membership

State = membership.MemberState


def test_instances_find_each_other_and_lose_a_dead_one():
    async def scenario():
        async with fleets.running(6) as fleet:
            await fleet.kill("i-3")
            await fleet.agree("i-3", State.DEAD)
            await fleet.join_all()

    asyncio.run(scenario())


def test_paused_instance_is_removed_and_comes_back_when_it_wakes():
    async def scenario():
        async with fleets.running(6) as fleet:
            before = fleet.nodes["i-2"].view.own.incarnation
            fleet.pause("i-2")
            await fleet.agree("i-2", State.DEAD)
            fleet.wake("i-2")
            await fleet.agree("i-2", State.ALIVE)
            assert fleet.nodes["i-2"].view.own.incarnation > before
            await fleet.join_all()

    asyncio.run(scenario())


def test_partition_in_halves_heals():
    async def scenario():
        async with fleets.running(6) as fleet:
            left, right = ("i-0", "i-1", "i-2"), ("i-3", "i-4", "i-5")
            for one in left:
                for other in right:
                    fleet.cut(one, other)
                    fleet.cut(other, one)
            await fleet.agree("i-4", State.DEAD, left)
            await fleet.agree("i-1", State.DEAD, right)
            fleet.links.cut.clear()
            await fleet.join_all()

    asyncio.run(scenario())


def test_leaving_is_told_to_all_and_survives_pings():
    async def scenario():
        async with fleets.running(4) as fleet:
            fleet.nodes["i-1"].view.announce_leaving()
            await fleet.agree("i-1", State.LEAVING)
            await fleet.kill("i-1")
            await fleet.agree("i-1", State.DEAD)

    asyncio.run(scenario())


def test_address_reused_by_a_new_instance():
    async def scenario():
        async with fleets.running(5) as fleet:
            address = fleet.nodes["i-2"].view.own.address
            await fleet.kill("i-2")
            await fleet.start("i-new", address)
            await fleet.agree("i-2", State.DEAD)
            await fleet.agree("i-new", State.ALIVE)

    asyncio.run(scenario())


def test_restarted_instance_supersedes_its_earlier_life():
    async def scenario():
        async with fleets.running(4) as fleet:
            before = fleet.nodes["i-1"].view.own.incarnation
            await fleet.kill("i-1")
            await fleet.start("i-1")
            address = fleet.nodes["i-1"].view.own.address

            def has_new_life(view):
                found = view.find(ids.InstanceId("i-1"))
                return found is not None and (
                    found.incarnation > before and found.address == address
                )

            await fleets.until(
                lambda: all(
                    has_new_life(node.view) for node in fleet.nodes.values()
                )
            )

    asyncio.run(scenario())


def test_messages_and_channels_stay_bounded_in_a_larger_fleet():
    async def scenario():
        async with fleets.running(16) as fleet:
            view = fleet.nodes["i-0"].view
            for number in range(500):
                view._roster.merge(
                    dataclasses.replace(
                        view.own, instance=f"x-{number}", address="127.0.0.1:1"
                    )
                )
            request = view.make_ping(ids.InstanceId("i-1"))
            assert len(request.updates) <= 9
            assert len(view._monitors) <= 3
            assert len(view._channels) <= 32

    asyncio.run(scenario())
