"""Time limits that allow for an event loop that is late.

Load pattern: the event loop stands still beyond a time limit. What the limit
waits for has happened meanwhile, but both are due in the same turn of the loop,
and the limit wins.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

MIN_LATENESS_S = 0.01
"""Lateness of a timer up to which the event loop counts as on time."""


@contextlib.asynccontextmanager
async def limit_time(limit_s: float) -> AsyncIterator[None]:
    """Limits the time of a block, like `asyncio.timeout`.

    If the event loop is late when the limit is due, the limit is extended by
    that lateness, at most to twice its length.

    Args:
        limit_s: Time limit.

    Raises:
        TimeoutError: The block did not end in time.
    """
    loop = asyncio.get_running_loop()
    due_at_s = loop.time() + limit_s

    def end_or_extend() -> None:
        now_s = loop.time()
        lateness_s = now_s - due_at_s
        if lateness_s > MIN_LATENESS_S:
            timeout.reschedule(now_s + min(lateness_s, limit_s))
        else:
            timeout.reschedule(now_s)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_at(due_at_s, end_or_extend)
        try:
            yield
        finally:
            timer.cancel()
