"""Tests the client of the instance list against a stand-in."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from poplarwick_platform import instances
from poplarwick_standins import _http
from poplarwick_standins import instances as instances_standin

LISTED = {
    "instance": "i-1",
    "address": "127.0.0.1:7001",
    "domain": "d-1",
    "region": "r-1",
    "state": "live",
}


@contextlib.asynccontextmanager
async def run_instance_list(settings=None):
    application = instances_standin.make_application(settings)
    runner = await _http.start_application(application, "127.0.0.1:0")
    try:
        address = _http.find_address(runner)
        async with (
            instances.InstanceListClient(address) as client,
            aiohttp.ClientSession(f"http://{address}") as platform,
        ):
            yield client, platform
    finally:
        await runner.cleanup()


def test_list_shows_registered_and_leaving_instances():
    async def scenario():
        async with run_instance_list() as (client, platform):
            assert await client.read() == ()
            async with platform.post("/instances", json=LISTED) as response:
                assert response.status == 204
            (found,) = await client.read()
            assert found.state is instances.ListedState.LIVE
            leaving = {**LISTED, "state": "leaving"}
            async with platform.post("/instances", json=leaving):
                pass
            (found,) = await client.read()
            assert found.state is instances.ListedState.LEAVING
            async with platform.delete("/instances/i-1") as response:
                assert response.status == 204
            assert await client.read() == ()

    asyncio.run(scenario())


def test_registration_is_listed_after_the_lag():
    async def scenario():
        settings = instances_standin.InstancesSettings(lag_s=600)
        async with run_instance_list(settings) as (client, platform):
            async with platform.post("/instances", json=LISTED):
                pass
            assert await client.read() == ()
            async with platform.post("/control/lag", json={"lag_s": 0}):
                pass
            assert len(await client.read()) == 1

    asyncio.run(scenario())


def test_unreachable_list_raises_an_error():
    async def scenario():
        async with instances.InstanceListClient("127.0.0.1:1") as client:
            with pytest.raises(instances.InstanceListError):
                await client.read()

    asyncio.run(scenario())


def test_malformed_registration_is_refused():
    async def scenario():
        async with run_instance_list() as (client, platform):
            malformed = {**LISTED, "state": "gone"}
            async with platform.post("/instances", json=malformed) as response:
                assert response.status == 400
            assert await client.read() == ()

    asyncio.run(scenario())
