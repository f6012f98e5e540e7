"""Runs one instance until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from poplarwick_core import logs
from poplarwick_node import builder
from poplarwick_node import settings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(checked: settings.Settings) -> None:
    """Runs an instance.

    The first signal to stop begins a graceful shutdown; a second one ends the
    process at once.

    Args:
        checked: Settings of the instance.
    """
    stop = _catch_signals()
    async with contextlib.AsyncExitStack() as stack:
        instance = await builder.build_instance(checked, stack)
        logs.log_event("started", callers=checked.listen.callers)
        await stop.first.wait()
        leaving = asyncio.create_task(instance.leave())
        forced = asyncio.create_task(stop.second.wait())
        await asyncio.wait(
            (leaving, forced), return_when=asyncio.FIRST_COMPLETED
        )
        forced.cancel()
        if not leaving.done():
            logs.log_event("stop_forced", "WARNING")
            leaving.cancel()
    logs.log_event("stopped")


class _Stop:
    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()

    def note(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


def _catch_signals() -> _Stop:
    stop = _Stop()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.note)
    return stop
