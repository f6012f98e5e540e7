"""Instances of two versions serve together while a release goes on."""

from __future__ import annotations

import asyncio

import mixed_fleet


def find_crossings(handovers, version_of):
    """Returns hand-overs between versions as pairs of versions."""
    pairs = {(version_of[a], version_of[b]) for a, b in handovers}
    return {pair for pair in pairs if pair[0] != pair[1]}


def test_placers_of_both_versions_serve_all_and_hand_over(tmp_path, versions):
    async def scenario():
        system = mixed_fleet.MixedFleet(tmp_path, versions)
        async with system:
            await system.move_placer("previous")
            placer = await system.serve_through_all()
            assert placer in system.names["previous"]

            handovers = await system.move_placer("present")
            crossings = find_crossings(handovers, system.version_of)
            assert ("previous", "present") in crossings
            placer = await system.serve_through_all()
            assert placer in system.names["present"]

            handovers = await system.move_placer("previous")
            crossings = find_crossings(handovers, system.version_of)
            assert ("present", "previous") in crossings
            await system.serve_through_all()
        assert system.find_problems() == []

    asyncio.run(scenario())


def test_placer_of_either_version_is_replaced_after_a_kill(tmp_path, versions):
    async def scenario():
        system = mixed_fleet.MixedFleet(tmp_path, versions)
        async with system:
            for version in ("previous", "present"):
                await system.move_placer(version)
                await system.serve_through_all()
                killed = await system.kill_placer()
                await system.serve_through_all()
                await system.start(killed, version)
                await system.serve_through_all()
        assert system.find_problems() == []

    asyncio.run(scenario())


def test_rolling_replacement_loses_no_request(tmp_path, versions):
    async def scenario():
        system = mixed_fleet.MixedFleet(tmp_path, versions)
        async with system:
            await system.move_placer("previous")
            for name in sorted(system.names["previous"]):
                await system.replace(name, "present")
                await system.serve_through_all()
            assert system.names["previous"] == set()
            stored = system.stored
        assert system.find_problems() == []
        prefixes = {key.split("/")[1] for key, _ in stored}
        assert prefixes >= {"instances", "placer"}
        meant = versions["present"].probe("read_entries", stored)
        assert versions["previous"].probe("read_entries", stored) == meant

    asyncio.run(scenario())
