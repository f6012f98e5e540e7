"""When a peer counts as unresponsive."""

from __future__ import annotations

import asyncio
import time

from poplarwick_coordination import message_streams

STANDSTILL_S = 1.2
WAIT_S = 20.0


# Guards against a placer that closes its sessions, and takes itself for
# isolated, as its own process stood still.
def test_own_standstill_is_no_silence_of_the_peer():
    async def run():
        watchdog = message_streams.Watchdog()
        waiting = asyncio.create_task(
            watchdog.wait_until_unresponsive(lambda: False)
        )
        await asyncio.sleep(0.01)
        asyncio.get_running_loop().call_soon(time.sleep, STANDSTILL_S)
        await asyncio.sleep(0)
        # After the check that was due during the standstill.
        await asyncio.sleep(0.05)
        assert not waiting.done()
        async with asyncio.timeout(WAIT_S):
            await waiting

    asyncio.run(run())
