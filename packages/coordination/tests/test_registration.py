"""What an instance that ends in order leaves in the store."""

from __future__ import annotations

import asyncio
import types

import pytest

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_coordination import registration
from poplarwick_platform import kv
from poplarwick_platform import mirror

KEY = "instances/a"
VALUE = b"a:1"


class Store:
    """Client of a store that records what is committed."""

    result = kv.Committed(kv.Revision(10), 0)

    def __init__(self, error=None):
        self.commits = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._error = error

    async def commit(self, conditions, operations, purpose):
        await self.may_answer.wait()
        self.commits.append((conditions, operations))
        if self._error is not None:
            raise self._error
        return self.result


def make_registration(store, value=VALUE):
    store_mirror = mirror.Mirror()
    entries = (kv.Entry(KEY, value, 5, 5),) if value else ()
    store_mirror.apply_snapshot(kv.Snapshot(entries, kv.Revision(9), 0))
    known = catalogue.Catalogue(store_mirror, lambda *_: None)
    known.routing = types.SimpleNamespace()
    return registration.Registration(
        store, store_mirror, known, "a", "a:1", KEY, VALUE
    )


def test_instance_that_ends_removes_its_entry():
    async def run():
        store = Store()
        await make_registration(store).withdraw()
        assert store.commits == [
            ((kv.KeyUnchanged(KEY, 5),), (kv.Delete(KEY),))
        ]

    asyncio.run(run())


@pytest.mark.parametrize("value", [b"a:2", None])
def test_entry_that_is_not_its_own_stays(value):
    async def run():
        store = Store()
        await make_registration(store, value).withdraw()
        assert store.commits == []

    asyncio.run(run())


def test_store_that_is_away_does_not_fail_the_stop():
    async def run():
        store = Store(kv.UnavailableError("away"))
        await make_registration(store).withdraw()
        assert len(store.commits) == 1

    asyncio.run(run())


# Guards against an entry that stays without a word in the log.
@pytest.mark.parametrize("current", [(kv.Entry(KEY, b"a:2", 5, 8),), ()])
def test_entry_that_changed_before_its_removal_is_logged(current, monkeypatch):
    logged = []
    monkeypatch.setattr(registration.logs, "log", logged.append)

    async def run():
        store = Store()
        store.result = kv.Conflict(kv.Revision(9), current)
        await make_registration(store).withdraw()

    asyncio.run(run())
    (event,) = logged
    assert isinstance(event, log_events.RegistrationNotWithdrawn)
    assert ("anew" in event.reason) is bool(current)


# Guards against an entry that is written while the instance removes it.
def test_removed_entry_is_not_written_again():
    async def run():
        store = Store()
        store.may_answer.clear()
        registered = make_registration(store)
        registered._catalogue.members.clear()
        running = asyncio.create_task(registered.run())
        await asyncio.sleep(0.01)
        withdrawing = asyncio.create_task(registered.withdraw())
        await asyncio.sleep(0.01)
        store.may_answer.set()
        await withdrawing
        await registered._write()
        running.cancel()
        kinds = [type(operation) for _, (operation,) in store.commits]
        assert kinds == [kv.Put, kv.Delete]

    asyncio.run(run())
