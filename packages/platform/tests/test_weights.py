"""Tests the weight store's client and stand-in."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from poplarwick_core import ids
from poplarwick_platform import weights
from poplarwick_standins import _http
from poplarwick_standins import weights as weights_standin

SIZE_BYTES = 300_000
MODEL = ids.ModelId("m/1")


@contextlib.asynccontextmanager
async def run_weight_store(**settings):
    stored = weights_standin.StoredVersion(MODEL, "v2", SIZE_BYTES)
    application = weights_standin.make_application(
        weights_standin.WeightsSettings(versions=(stored,), **settings)
    )
    runner = await _http.start_application(application, "127.0.0.1:0")
    address = _http.find_address(runner)
    try:
        async with weights.WeightStoreClient(address) as client:
            yield client, f"http://{address}/models/m%2F1/versions/v2/content"
    finally:
        await runner.cleanup()


def test_sizes_and_limits_are_read():
    async def scenario():
        async with run_weight_store(bytes_per_s=5e6, max_downloads=2) as (
            client,
            _,
        ):
            found = await client.describe(MODEL, "v2")
            assert found.size_bytes == SIZE_BYTES
            limits = await client.read_limits()
            assert limits == weights.WeightLimits(5e6, 2)
            with pytest.raises(weights.UnknownVersionError):
                await client.describe(MODEL, "v3")

    asyncio.run(scenario())


def test_downloads_share_the_rate_and_excess_ones_are_refused():
    async def scenario():
        async with (
            run_weight_store(bytes_per_s=1e6, max_downloads=2) as (_, url),
            aiohttp.ClientSession() as session,
        ):
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            async with session.get(url) as one, session.get(url) as two:
                async with session.get(url) as three:
                    assert three.status == 429
                    assert int(three.headers["Retry-After"]) > 0
                bodies = await asyncio.gather(one.read(), two.read())
            assert [len(body) for body in bodies] == [SIZE_BYTES] * 2
            assert loop.time() - started_s >= 2 * SIZE_BYTES / 1e6 * 0.9

    asyncio.run(scenario())


def test_unreachable_store_raises_an_error():
    async def scenario():
        async with weights.WeightStoreClient("127.0.0.1:1") as client:
            with pytest.raises(weights.WeightStoreError):
                await client.read_limits()

    asyncio.run(scenario())
