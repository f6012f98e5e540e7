"""One stream of messages between a placer and an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from poplarwick_core import clock

HEARTBEAT_PERIOD_S = 0.25
"""Period of beats; at 60 instances a placer sends 240 a second."""

SILENCE_S = 0.8
"""Time without a message after which the other side counts as lost: three
beats, since one or two may be lost or late on a busy machine."""

QUEUE_LIMIT = 4_096
"""Messages that wait for a slow peer before the stream is given up; several
seconds of a whole instance's requests."""

Sent = TypeVar("Sent")


class Outbox(Generic[Sent]):
    """Messages that wait to be sent on a stream."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Sent] = asyncio.Queue(QUEUE_LIMIT)
        self.is_overrun = False

    def put(self, message: Sent) -> None:
        """Queues a message; an overrun ends the stream."""
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            self.is_overrun = True

    async def send_all(self, send: Callable[[Sent], Awaitable[None]]) -> None:
        """Sends messages as they come, until cancelled."""
        while True:
            await send(await self._queue.get())


class Watchdog:
    """Tells whether the other side of a stream was heard recently."""

    def __init__(self) -> None:
        self.heard_at_s = clock.now_s()

    def note(self) -> None:
        """Notes a message."""
        self.heard_at_s = clock.now_s()

    async def wait_for_silence(self, is_overrun: Callable[[], bool]) -> None:
        """Returns once nothing was heard for too long or too much waits."""
        while clock.now_s() - self.heard_at_s < SILENCE_S:
            if is_overrun():
                return
            await asyncio.sleep(HEARTBEAT_PERIOD_S)


async def run_until_first_ends(*coroutines: object) -> None:
    """Runs coroutines until one ends; the others are cancelled.

    Raises:
        Exception: What the coroutine raised that ended first.
    """
    tasks = [asyncio.ensure_future(c) for c in coroutines]  # type: ignore[call-overload]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
