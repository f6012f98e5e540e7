"""Tests the gateway client against a stand-in for the key-value service."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

from poplarwick_platform import gateway
from poplarwick_platform import kv
from poplarwick_standins import _http
from poplarwick_standins import _kv_faults
from poplarwick_standins import kv as kv_standin

CLAIM = kv.Purpose.CLAIM
TEST_TIMEOUT_S = 20


@contextlib.asynccontextmanager
async def run_gateway(settings=None, timeout_s=5.0):
    application = kv_standin.make_application(settings)
    runner = await _http.start_application(application, "127.0.0.1:0")
    try:
        address = _http.find_address(runner)
        async with gateway.connect(
            (address,), instance="i-1", timeout_s=timeout_s
        ) as client:
            yield client, address
    finally:
        await runner.cleanup()


async def set_faults(address, **faults):
    body = msgspec.json.encode(_kv_faults.Faults(**faults))
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/control/faults"
        async with session.post(url, data=body) as response:
            assert response.status == 200


async def read_stats(address):
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/control/stats"
        async with session.get(url) as response:
            return await response.json()


def test_compare_and_swap_lets_one_writer_win():
    async def scenario():
        async with run_gateway() as (client, _):
            absent = (kv.KeyAbsent("a/1"),)
            first = await client.commit(absent, (kv.Put("a/1", b"x"),), CLAIM)
            assert isinstance(first, kv.Committed)
            second = await client.commit(absent, (kv.Put("a/1", b"y"),), CLAIM)
            assert isinstance(second, kv.Conflict)
            assert [e.value for e in second.current] == [b"x"]
            unchanged = (kv.KeyUnchanged("a/1", first.revision),)
            third = await client.commit(
                unchanged, (kv.Delete("a/1"), kv.Put("a/2", b"z")), CLAIM
            )
            assert isinstance(third, kv.Committed)
            found = await client.read("a/", CLAIM, is_prefix=True)
            assert [(e.key, e.value) for e in found.entries] == [("a/2", b"z")]
            assert found.entries[0].mod_revision == third.revision

    asyncio.run(scenario())


def test_lease_expiry_removes_keys_and_is_seen_by_watch():
    async def scenario():
        async with run_gateway() as (client, _):
            lease = await client.grant_lease(1, CLAIM)
            put = kv.Put("o/1", b"x", lease)
            committed = await client.commit((), (put,), CLAIM)
            assert await client.keep_alive(lease) == 1
            changes = client.watch("o/", committed.revision, is_prefix=True)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                (created,) = await anext(changes)
                assert created.entry is not None
                assert created.entry.lease == lease
                (removed,) = await anext(changes)
            assert removed.entry is None
            assert removed.key == "o/1"
            with pytest.raises(kv.LeaseLostError):
                await client.keep_alive(lease)
            with pytest.raises(kv.LeaseLostError):
                await client.commit((), (put,), CLAIM)

    asyncio.run(scenario())


def test_watch_of_compacted_history_is_refused():
    async def scenario():
        settings = kv_standin.KvSettings(history=4)
        async with run_gateway(settings) as (client, _):
            for value in range(20):
                put = kv.Put("k", str(value).encode())
                await client.commit((), (put,), CLAIM)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                with pytest.raises(kv.CompactedError):
                    await anext(client.watch("k", kv.Revision(2)))

    asyncio.run(scenario())


def test_watch_resumes_after_outage_without_a_gap():
    async def scenario():
        async with run_gateway() as (client, address):
            committed = await client.commit((), (kv.Put("k", b"1"),), CLAIM)
            changes = client.watch("k", committed.revision)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await anext(changes))[0].entry.value == b"1"
                await set_faults(address, outage=True)
                with pytest.raises(kv.UnavailableError):
                    await client.read("k", CLAIM)
                with pytest.raises(kv.UnknownResultError):
                    await client.commit((), (kv.Put("k", b"no"),), CLAIM)
                await set_faults(address)
                await client.commit((), (kv.Put("k", b"2"),), CLAIM)
                assert (await anext(changes))[0].entry.value == b"2"

    asyncio.run(scenario())


def test_lost_reply_of_applied_write_is_an_unknown_result():
    async def scenario():
        async with run_gateway() as (client, address):
            await set_faults(address, lost_writes=1)
            with pytest.raises(kv.UnknownResultError):
                await client.commit((), (kv.Put("k", b"1"),), CLAIM)
            found = await client.read("k", CLAIM)
            assert found.entries[0].value == b"1"
            assert (await read_stats(address))["lost"] == 1

    asyncio.run(scenario())


def test_writes_above_the_rate_limit_are_refused_without_effect():
    async def scenario():
        async with run_gateway() as (client, address):
            await set_faults(address, writes_per_s=3)
            refused = 0
            for number in range(10):
                put = kv.Put(f"k/{number}", b"")
                try:
                    await client.commit((), (put,), CLAIM)
                except kv.UnavailableError:
                    refused += 1
            found = await client.read("k/", CLAIM, is_prefix=True)
            assert len(found.entries) == 10 - refused
            stats = await read_stats(address)
            assert stats["refused"] == refused > 0
            assert stats["peak_writes_per_s"] <= 3

    asyncio.run(scenario())


def test_refused_connection_has_no_effect_and_fails_over():
    async def scenario():
        async with run_gateway() as (_, address):
            closed = "127.0.0.1:1"
            async with gateway.connect((closed,)) as client:
                with pytest.raises(kv.UnavailableError):
                    await client.commit((), (kv.Put("k", b""),), CLAIM)
            async with gateway.connect((closed, address)) as client:
                await client.commit((), (kv.Put("k", b""),), CLAIM)

    asyncio.run(scenario())


def test_reply_after_timeout_is_an_unknown_result():
    async def scenario():
        async with run_gateway(timeout_s=0.2) as (client, address):
            await set_faults(address, delay_s=2)
            with pytest.raises(kv.UnknownResultError):
                await client.commit((), (kv.Put("k", b"1"),), CLAIM)
            with pytest.raises(kv.UnavailableError):
                await client.read("k", CLAIM)

    asyncio.run(scenario())


def test_partition_affects_only_the_partitioned_instance():
    async def scenario():
        async with run_gateway() as (client, address):
            await set_faults(address, cut_off=("i-1",))
            with pytest.raises(kv.UnavailableError):
                await client.read("k", CLAIM)
            async with gateway.connect((address,), instance="i-2") as other:
                await other.read("k", CLAIM)

    asyncio.run(scenario())


def test_values_above_the_size_limit_are_refused():
    async def scenario():
        async with run_gateway() as (client, _):
            largest = bytes(kv.MAX_VALUE_BYTES)
            await client.commit((), (kv.Put("k", largest),), CLAIM)
            with pytest.raises(kv.KvError, match="too large"):
                await client.commit((), (kv.Put("k", largest + b"x"),), CLAIM)

    asyncio.run(scenario())
