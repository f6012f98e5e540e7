"""Tests for the stand-in of an endpoint of the platform."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_standins import platform_replica

WAIT_S = 20.0
FOREVER_S = 600.0


# Guards against a soak that waits for ever for an endpoint without requests, as
# the last one left while it was about to get its slot.
@pytest.mark.parametrize("steps", range(6))
def test_replica_is_idle_once_its_last_request_has_left(steps):
    async def run():
        replica = platform_replica.Replica("i-0", "pool")
        replica.slots = 1

        async def hold_slot():
            async with replica._take_slot():
                await asyncio.sleep(FOREVER_S)

        async def start(coroutine):
            task = asyncio.create_task(coroutine)
            await asyncio.sleep(0.01)
            return task

        running = await start(hold_slot())
        waiting = await start(replica.wait_until_idle())
        queued = await start(hold_slot())
        running.cancel()
        for _ in range(steps):
            await asyncio.sleep(0)
        queued.cancel()
        async with asyncio.timeout(WAIT_S):
            await waiting

    asyncio.run(run())
