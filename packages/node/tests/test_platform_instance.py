"""What becomes of the entries of instances on the users' platform."""

from __future__ import annotations

import asyncio
import types
from unittest import mock

import pytest

from poplarwick_adapter import keys
from poplarwick_core import clock
from poplarwick_node import platform_instance
from poplarwick_node import stop_schedule
from poplarwick_platform import kv
from poplarwick_platform import mirror

KEY = keys.MEMBER_PREFIX + "b"


class Store:
    """Client of a store whose entry may be newer than what is known."""

    def __init__(self, revision):
        self.revision = revision
        self.calls = 0

    async def commit(self, conditions, operations, purpose):
        self.calls += 1
        if all(c.mod_revision == self.revision for c in conditions):
            self.revision = None
            return kv.Committed(kv.Revision(10), 0)
        return kv.Conflict(kv.Revision(9), ())


def remove(store, store_mirror):
    remover = types.SimpleNamespace(store_client=store, mirror=store_mirror)
    asyncio.run(platform_instance.PlatformInstance.remove_member(remover, "b"))


def make_mirror(*entries):
    store_mirror = mirror.Mirror()
    for number, present in enumerate(entries):
        snapshot = kv.Snapshot(present, kv.Revision(9), number)
        store_mirror.apply_snapshot(snapshot)
    return store_mirror


# Guards against the removal of what a new process has just written.
@pytest.mark.parametrize(("revision", "is_removed"), [(5, True), (7, False)])
def test_only_the_known_entry_is_removed(revision, is_removed):
    store = Store(revision)
    remove(store, make_mirror((kv.Entry(KEY, b"", 5, 5),)))
    assert store.calls == 1
    assert (store.revision is None) is is_removed


def test_entry_that_a_restore_has_lost_is_not_removed():
    store = Store(0)
    remove(store, make_mirror((kv.Entry(KEY, b"", 5, 5),), ()))
    assert store.calls == 0


async def wait_forever():
    await asyncio.Event().wait()


def make_stopping(drain, withdraw):
    stopping = object.__new__(platform_instance.PlatformInstance)
    stopping._reservations = types.SimpleNamespace(drain=drain)
    stopping._registration = types.SimpleNamespace(withdraw=withdraw)
    stopping._stop_signal = stop_schedule.StopSignal(0.0, 0.0)
    stopping._lateness = stopping._graceful_stop = mock.MagicMock()
    stopping.deployment = stopping.placement_client = mock.MagicMock()
    stopping._placer_role = None
    stopping.tenure = mock.MagicMock(epoch=None)
    stopping.tenure.resign = mock.AsyncMock()
    for name in ("frontend", "relay_server"):
        server = mock.MagicMock(in_progress=0)
        server.wait_until_idle = mock.AsyncMock(return_value=True)
        server.accept_waiting = server.close_connections = mock.AsyncMock()
        setattr(stopping, name, server)
    return stopping


# Guards against a slow release that leaves the removal of the entry no time.
@pytest.mark.parametrize("is_slow", [False, True])
def test_entry_is_removed_in_time_and_after_releases_that_end(
    is_slow, monkeypatch
):
    steps = []

    async def drain():
        await (wait_forever() if is_slow else asyncio.sleep(0))
        steps.append("released")

    async def withdraw():
        await asyncio.sleep(0)
        steps.append("withdrawn")

    async def run():
        now_s = clock.now_s()
        until_s = now_s + 0.8
        monkeypatch.setattr(
            stop_schedule,
            "make_schedule",
            lambda *_: stop_schedule.StopSchedule(
                *[now_s] * 6, until_s, until_s
            ),
        )
        await make_stopping(drain, withdraw)._leave()

    asyncio.run(run())
    assert steps == (["withdrawn"] if is_slow else ["released", "withdrawn"])


# Guards against a stop that goes on beyond its schedule.
def test_end_does_not_wait_beyond_its_time(monkeypatch):
    async def run():
        now_s = clock.now_s()
        schedule = stop_schedule.StopSchedule(*[now_s] * 6, *[now_s + 0.2] * 2)
        monkeypatch.setattr(stop_schedule, "make_schedule", lambda *_: schedule)
        async with asyncio.timeout(5.0):
            await make_stopping(wait_forever, wait_forever)._leave()

    asyncio.run(run())
