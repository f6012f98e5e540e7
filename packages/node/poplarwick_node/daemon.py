"""Runs one instance until the process receives a signal to stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_node import builder
from poplarwick_node import instance as instances
from poplarwick_node import log_events
from poplarwick_node import settings
from poplarwick_node import stop_schedule

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

LATENESS_PERIOD_S = 0.25
"""Period of the check how late the event loop runs."""


async def run(instance_settings: settings.Settings) -> None:
    """Runs an instance until it is stopped by a signal.

    The first SIGTERM or SIGINT starts a graceful shutdown; the second one ends
    the process at once.

    Args:
        instance_settings: Settings of the instance.
    """
    lateness = stop_schedule.LoopLateness(LATENESS_PERIOD_S)
    stop_signals = _install_signal_handlers(lateness)
    limit = asyncio.timeout(None)
    try:
        async with limit, contextlib.AsyncExitStack() as stack:
            instance = await builder.build_instance(instance_settings, stack)
            logs.log_event("started", callers=instance_settings.listen.callers)
            watching = asyncio.create_task(_watch_event_loop(lateness))
            stack.callback(watching.cancel)
            await _leave_once_stopped(instance, stop_signals, lateness)
            # Components that wait for a key-value service that does not respond
            # must not keep the process until it is killed.
            limit.reschedule(instance.exits_by_s)
    except TimeoutError:
        if not limit.expired():
            raise
        logs.log(log_events.CleanupUnfinished())
    logs.log_event("stopped")


async def _watch_event_loop(lateness: stop_schedule.LoopLateness) -> None:
    """Records how late the event loop runs, until cancelled."""
    while True:
        lateness.record_check(clock.now_s())
        await asyncio.sleep(LATENESS_PERIOD_S)


async def _leave_once_stopped(
    instance: instances.Instance,
    stop_signals: _StopSignals,
    lateness: stop_schedule.LoopLateness,
) -> None:
    """Shuts an instance down after the first signal, at once after another."""
    await stop_signals.first.wait()
    assert stop_signals.arrival is not None
    leaving = asyncio.create_task(
        instance.leave(stop_signals.arrival, lateness.worst_s)
    )
    forced = asyncio.create_task(stop_signals.second.wait())
    await asyncio.wait((leaving, forced), return_when=asyncio.FIRST_COMPLETED)
    forced.cancel()
    if not leaving.done():
        logs.log_event("stop_forced", "WARNING")
        leaving.cancel()


class _StopSignals:
    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.arrival: stop_schedule.StopSignal | None = None
        self.second = asyncio.Event()

    def record(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


def _install_signal_handlers(
    lateness: stop_schedule.LoopLateness,
) -> _StopSignals:
    stop_signals = _StopSignals()
    loop = asyncio.get_running_loop()

    def handle_signal(*_: object) -> None:
        # Runs between two steps of a callback that takes long, in which the
        # event loop does not see signals.
        if stop_signals.arrival is None:
            stop_signals.arrival = lateness.locate_signal(clock.now_s())
        if not loop.is_closed():
            loop.call_soon_threadsafe(stop_signals.record)

    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, handle_signal)
    return stop_signals
