"""Tests for the membership of a few instances under faults."""

from __future__ import annotations

import asyncio
import dataclasses

import fleet_of_members as fleets

from poplarwick_core import ids
from poplarwick_peers import membership

State = membership.MemberState


def test_instances_discover_each_other_and_remove_a_dead_one():
    async def scenario():
        async with fleets.running(6) as fleet:
            await fleet.kill("i-3")
            await fleet.wait_for_state("i-3", State.DEAD)
            await fleet.wait_for_full_view()

    asyncio.run(scenario())


def test_paused_instance_is_removed_and_rejoins_after_the_pause():
    async def scenario():
        async with fleets.running(6) as fleet:
            before = fleet.nodes["i-2"].view.own.incarnation
            fleet.pause("i-2")
            await fleet.wait_for_state("i-2", State.DEAD)
            fleet.resume("i-2")
            await fleet.wait_for_state("i-2", State.ALIVE)
            assert fleet.nodes["i-2"].view.own.incarnation > before
            await fleet.wait_for_full_view()

    asyncio.run(scenario())


def test_views_converge_after_a_partition_into_halves():
    async def scenario():
        async with fleets.running(6) as fleet:
            left, right = ("i-0", "i-1", "i-2"), ("i-3", "i-4", "i-5")
            for one in left:
                for other in right:
                    fleet.cut(one, other)
                    fleet.cut(other, one)
            await fleet.wait_for_state("i-4", State.DEAD, left)
            await fleet.wait_for_state("i-1", State.DEAD, right)
            fleet.links.cut.clear()
            await fleet.wait_for_full_view()

    asyncio.run(scenario())


def test_leaving_state_reaches_all_and_is_not_reset_by_pings():
    async def scenario():
        async with fleets.running(4) as fleet:
            fleet.nodes["i-1"].view.announce_leaving()
            await fleet.wait_for_state("i-1", State.LEAVING)
            await fleet.kill("i-1")
            await fleet.wait_for_state("i-1", State.DEAD)

    asyncio.run(scenario())


def test_new_instance_can_reuse_the_address_of_a_dead_one():
    async def scenario():
        async with fleets.running(5) as fleet:
            address = fleet.nodes["i-2"].view.own.address
            await fleet.kill("i-2")
            await fleet.start("i-new", address)
            await fleet.wait_for_state("i-2", State.DEAD)
            await fleet.wait_for_state("i-new", State.ALIVE)

    asyncio.run(scenario())


def test_restarted_instance_replaces_its_previous_incarnation():
    async def scenario():
        async with fleets.running(4) as fleet:
            before = fleet.nodes["i-1"].view.own.incarnation
            await fleet.kill("i-1")
            await fleet.start("i-1")
            address = fleet.nodes["i-1"].view.own.address

            def has_restarted(view):
                found = view.find(ids.InstanceId("i-1"))
                return found is not None and (
                    found.incarnation > before and found.address == address
                )

            await fleets.wait_until(
                lambda: all(
                    has_restarted(node.view) for node in fleet.nodes.values()
                )
            )

    asyncio.run(scenario())


def test_messages_monitors_and_channels_are_bounded_in_a_large_fleet():
    async def scenario():
        async with fleets.running(16) as fleet:
            view = fleet.nodes["i-0"].view
            for number in range(500):
                view._member_table.merge(
                    dataclasses.replace(
                        view.own, instance=f"x-{number}", address="127.0.0.1:1"
                    )
                )
            request = view.make_ping(ids.InstanceId("i-1"))
            assert len(request.updates) <= 9
            assert len(view._monitors) <= 3
            assert len(view._channels) <= 32

    asyncio.run(scenario())
