"""What an instance on the users' platform does with entries of members."""

from __future__ import annotations

import asyncio
import types

import pytest

from poplarwick_adapter import keys
from poplarwick_node import platform_instance
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
