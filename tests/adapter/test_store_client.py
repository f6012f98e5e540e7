"""The store's client against its stand-in, with faults."""

from __future__ import annotations

import asyncio
import types

import pytest

from poplarwick_adapter import store
from poplarwick_platform import call_metrics
from poplarwick_platform import feed
from poplarwick_platform import kv
from poplarwick_platform import mirror
from poplarwick_standins import platform_store

PURPOSE = kv.Purpose.LEASE


def play(scenario):
    async def run():
        async with (
            platform_store.Store() as standin,
            store.StoreClient(standin.address) as client,
        ):
            await scenario(standin, client)

    asyncio.run(run())


def test_pages_are_joined_into_one_snapshot():
    async def scenario(standin, client):
        for number in range(8):
            await standin.put(f"servers/{number}", {"n": number})
        found = await client.read("servers/", PURPOSE, is_prefix=True)
        assert len(found.entries) == 8
        assert found.revision == standin.revision

    play(scenario)


def test_one_of_two_writers_wins():
    async def scenario(standin, client):
        condition = (kv.KeyAbsent("a"),)
        first = await client.commit(condition, (kv.Put("a", b"1"),), PURPOSE)
        second = await client.commit(condition, (kv.Put("a", b"2"),), PURPOSE)
        assert isinstance(first, kv.Committed)
        assert isinstance(second, kv.Conflict)
        assert second.current[0].value == b"1"

    play(scenario)


def test_a_lost_answer_to_a_write_is_told_as_unknown():
    async def scenario(standin, client):
        standin.loses_answers = True
        with pytest.raises(kv.UnknownResultError):
            await client.commit((), (kv.Put("a", b"1"),), PURPOSE)
        assert standin.items["a"].value == b"1"

    play(scenario)


def test_a_refused_call_had_no_effect():
    async def scenario(standin, client):
        standin.is_down = True
        with pytest.raises(kv.UnavailableError):
            await client.commit((), (kv.Put("a", b"1"),), PURPOSE)
        assert not standin.items

    play(scenario)


def test_a_lease_that_is_not_renewed_takes_its_keys_along():
    async def scenario(standin, client):
        lease = await client.grant_lease(0.15, PURPOSE)
        await client.commit((), (kv.Put("a", b"1", lease),), PURPOSE)
        await client.keep_alive(lease)
        await asyncio.sleep(0.4)
        assert "a" not in standin.items
        with pytest.raises(kv.LeaseLostError):
            await client.keep_alive(lease)

    play(scenario)


def test_the_feed_follows_through_outage_and_lost_history():
    async def scenario(standin, client):
        copy = mirror.Mirror()
        reachable = []
        following = feed.Feed(client, copy, reachable.append)
        task = asyncio.create_task(following.run())

        async def wait_for(key):
            async with asyncio.timeout(5):
                while copy.get(key) is None:
                    await asyncio.sleep(0.01)

        await standin.put("a", b"1")
        await wait_for("a")
        standin.is_down = True
        async with asyncio.timeout(5):
            while following.is_reachable:
                await asyncio.sleep(0.01)
        await standin.put("b", b"2")
        await standin.remove("a")
        standin.compact()
        standin.is_down = False
        await wait_for("b")
        assert copy.get("a") is None
        assert reachable == [True, False, True]
        task.cancel()

    play(scenario)


def test_a_silent_store_is_told_within_the_bound_on_configuration():
    async def scenario(standin, client):
        copy = mirror.Mirror()
        following = feed.Feed(client, copy, lambda reachable: None)
        task = asyncio.create_task(following.run())
        await standin.put("a", b"1")
        async with asyncio.timeout(5):
            while copy.get("a") is None:
                await asyncio.sleep(0.01)
        standin.is_silent = True
        await standin.put("b", b"2")
        async with asyncio.timeout(2 + store.WATCH_TIMEOUT_S):
            while following.is_reachable:
                await asyncio.sleep(0.01)
        task.cancel()

    play(scenario)


def test_calls_are_counted_by_purpose_and_result(monkeypatch):
    counted = []
    monkeypatch.setattr(
        call_metrics,
        "_calls",
        types.SimpleNamespace(add=lambda _, labels: counted.append(labels)),
    )

    async def scenario(standin, client):
        await client.read("op/config", PURPOSE)
        standin.is_down = True
        with pytest.raises(kv.UnavailableError):
            await client.grant_lease(1.0, PURPOSE)

    play(scenario)
    assert counted == [
        {"purpose": "lease", "kind": "kv-key", "result": "ok"},
        {"purpose": "lease", "kind": "kv-lease", "result": "unavailable"},
    ]
