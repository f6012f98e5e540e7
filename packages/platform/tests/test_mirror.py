"""Tests that the mirror of the store never reverts to older state."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_platform import kv
from poplarwick_platform import mirror


def put(key, revision, value=b"x"):
    return kv.Change(key, kv.Entry(key, value, revision, revision), revision)


def remove(key, revision):
    return kv.Change(key, None, revision)


def snapshot(revision, *entries):
    return kv.Snapshot(
        tuple(kv.Entry(key, b"x", rev, rev) for key, rev in entries), revision
    )


def test_snapshot_removes_missing_keys_unless_they_are_newer():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 2), put("b", 9)], 9)
    store_mirror.apply_snapshot(snapshot(5, ("c", 4)))
    assert {entry.key for entry in store_mirror.entries} == {"b", "c"}


def test_older_snapshot_does_not_restore_a_removed_key():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 2)], 2)
    store_mirror.apply_changes([remove("a", 3)], 3)
    store_mirror.apply_snapshot(snapshot(2, ("a", 2)))
    assert store_mirror.get("a") is None
    store_mirror.apply_changes([put("a", 4)], 4)
    assert store_mirror.get("a").mod_revision == 4


def test_listeners_receive_only_new_changes():
    store_mirror = mirror.Mirror()
    received = []
    store_mirror.add_listener(received.append)
    store_mirror.apply_changes([put("a", 2)], 2)
    store_mirror.apply_changes([put("a", 2), put("a", 1)], 2)
    assert len(received) == 1


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12),
    st.randoms(use_true_random=False),
)
def test_order_of_changes_does_not_affect_the_final_state(steps, rng):
    changes = [
        put(key, number) if is_put else remove(key, number)
        for number, (key, is_put) in enumerate(steps, 1)
    ]
    ordered, unordered = mirror.Mirror(), mirror.Mirror()
    ordered.apply_changes(changes, len(changes))
    shuffled = changes * 2
    rng.shuffle(shuffled)
    for change in shuffled:
        unordered.apply_changes([change], change.revision)
    assert set(ordered.entries) == set(unordered.entries)


def test_changes_since_a_revision_synchronize_another_mirror():
    source, target = mirror.Mirror(), mirror.Mirror()
    for store_mirror in (source, target):
        store_mirror.apply_changes([put("a", 1), put("b", 2)], 2)
    source.apply_changes([remove("a", 3), put("c", 4)], 4)
    target.apply_changes(
        source.read_changes_since(target.revision), source.revision
    )
    assert set(target.entries) == set(source.entries)
    assert target.revision == 4
