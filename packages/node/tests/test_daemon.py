"""Tests for the end of an instance in the product's own mode."""

from __future__ import annotations

import asyncio
import types

from poplarwick_core import clock
from poplarwick_node import builder
from poplarwick_node import daemon

WAIT_S = 20.0


class FakeInstance:
    """Leaves at once and has to have exited at a given time."""

    def __init__(self, exits_by_s):
        self.exits_by_s = exits_by_s

    async def leave(self, stop_signal, lateness_s):
        del stop_signal, lateness_s


def run_daemon(monkeypatch, exits_by_s, close):
    """Runs an instance that is stopped at once, with a component to close."""
    closed = []

    async def build(instance_settings, stack):
        del instance_settings
        stack.callback(closed.append, "first")
        stack.push_async_callback(close)
        stack.callback(closed.append, "last")
        return FakeInstance(exits_by_s)

    def install(lateness):
        stop_signals = daemon._StopSignals()
        stop_signals.arrival = lateness.locate_signal(clock.now_s())
        stop_signals.record()
        return stop_signals

    monkeypatch.setattr(builder, "build_instance", build)
    monkeypatch.setattr(daemon, "_install_signal_handlers", install)
    settings = types.SimpleNamespace(
        listen=types.SimpleNamespace(callers="127.0.0.1:1")
    )

    async def run():
        async with asyncio.timeout(WAIT_S):
            await daemon.run(settings)

    asyncio.run(run())
    return closed


# Guards against a process that is killed while it waits for a key-value service
# that does not respond.
def test_component_that_does_not_close_does_not_delay_the_exit(
    monkeypatch, lines
):
    closed = run_daemon(monkeypatch, clock.now_s() + 0.05, asyncio.Event().wait)
    assert closed == ["last", "first"]
    assert any("event=cleanup_unfinished" in line for line in lines)
    assert "event=stopped" in lines[-1]


def test_components_have_time_to_close_without_a_grace_period(
    monkeypatch, lines
):
    async def close():
        await asyncio.sleep(0.05)

    closed = run_daemon(monkeypatch, None, close)
    assert closed == ["last", "first"]
    assert not any("event=cleanup_unfinished" in line for line in lines)
