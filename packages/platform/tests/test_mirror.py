"""Tests that the mirror of the store never reverts to older state."""

from __future__ import annotations

import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_platform import kv
from poplarwick_platform import mirror


def put(key, revision, value=b"x"):
    return kv.Change(key, kv.Entry(key, value, revision, revision), revision)


def remove(key, revision):
    return kv.Change(key, None, revision)


def at(revision, era=0):
    return kv.Position(era, revision)


def snapshot(revision, *entries, era=0):
    return kv.Snapshot(
        tuple(kv.Entry(key, b"x", rev, rev) for key, rev in entries),
        revision,
        era,
    )


def read_keys(store_mirror):
    return {entry.key for entry in store_mirror.entries}


@pytest.fixture
def wait(monkeypatch):
    """Returns a function that lets time pass for the mirror."""
    now_s = [100.0]
    monkeypatch.setattr(
        mirror, "clock", types.SimpleNamespace(now_s=lambda: now_s[0])
    )

    def advance(seconds):
        now_s[0] += seconds

    return advance


def test_snapshot_removes_missing_keys_unless_they_are_newer():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 2), put("b", 9)], at(9))
    store_mirror.apply_snapshot(snapshot(5, ("c", 4)))
    assert {entry.key for entry in store_mirror.entries} == {"b", "c"}


def test_older_snapshot_does_not_restore_a_removed_key():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 2)], at(2))
    store_mirror.apply_changes([remove("a", 3)], at(3))
    store_mirror.apply_snapshot(snapshot(2, ("a", 2)))
    assert store_mirror.get("a") is None
    store_mirror.apply_changes([put("a", 4)], at(4))
    assert store_mirror.get("a").mod_revision == 4


def test_listeners_receive_only_new_changes():
    store_mirror = mirror.Mirror()
    received = []
    store_mirror.add_listener(received.append)
    store_mirror.apply_changes([put("a", 2)], at(2))
    store_mirror.apply_changes([put("a", 2), put("a", 1)], at(2))
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
    ordered.apply_changes(changes, at(len(changes)))
    shuffled = changes * 2
    rng.shuffle(shuffled)
    for change in shuffled:
        unordered.apply_changes([change], at(change.revision))
    assert set(ordered.entries) == set(unordered.entries)


def test_changes_since_a_revision_synchronize_another_mirror():
    source, target = mirror.Mirror(), mirror.Mirror()
    for store_mirror in (source, target):
        store_mirror.apply_changes([put("a", 1), put("b", 2)], at(2))
    source.apply_changes([remove("a", 3), put("c", 4)], at(4))
    target.apply_changes(
        source.read_changes_since(target.revision), source.position
    )
    assert set(target.entries) == set(source.entries)
    assert target.revision == 4


def test_restored_store_takes_the_place_of_later_revisions(wait):
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("old", 500), put("new", 990)], at(1_000))
    store_mirror.apply_snapshot(snapshot(602, ("old", 500), era=1))
    assert store_mirror.position == (1, 602)
    assert read_keys(store_mirror) == {"old", "new"}
    store_mirror.apply_changes([put("new", 700)], at(700, era=1))
    assert store_mirror.get("new").mod_revision == 700
    wait(mirror.CARRY_S)
    store_mirror.settle()
    assert read_keys(store_mirror) == {"old", "new"}


def test_key_that_is_not_written_again_after_restore_is_removed(wait):
    store_mirror = mirror.Mirror()
    received = []
    store_mirror.apply_changes([put("old", 500), put("new", 990)], at(1_000))
    store_mirror.apply_snapshot(snapshot(602, ("old", 500), era=1))
    store_mirror.add_listener(received.extend)
    store_mirror.settle()
    assert store_mirror.is_carried("new")
    wait(mirror.CARRY_S)
    store_mirror.settle()
    assert read_keys(store_mirror) == {"old"}
    assert [(c.key, c.entry) for c in received] == [("new", None)]
    assert not store_mirror.is_settling


def test_key_removed_before_restore_stays_removed_until_written_again(wait):
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 500), put("b", 501)], at(501))
    store_mirror.apply_changes([remove("a", 650), remove("b", 651)], at(700))
    store_mirror.apply_snapshot(snapshot(602, ("a", 500), ("b", 501), era=1))
    assert not read_keys(store_mirror)
    store_mirror.apply_changes([put("a", 603)], at(603, era=1))
    assert read_keys(store_mirror) == {"a"}
    wait(mirror.WITHHOLD_S)
    store_mirror.settle()
    assert read_keys(store_mirror) == {"a", "b"}


def test_state_of_an_earlier_era_that_arrives_late_is_dropped():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 1_000)], at(1_000))
    store_mirror.apply_snapshot(snapshot(602, ("a", 400), era=1))
    store_mirror.apply_changes([put("a", 1_001, b"late")], at(1_001))
    store_mirror.apply_snapshot(snapshot(1_002, ("late", 1_002)))
    assert store_mirror.position == (1, 602)
    assert store_mirror.get("a").value == b"x"
    assert store_mirror.get("late") is None


def test_changes_of_a_later_era_wait_for_its_snapshot():
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 1_000)], at(1_000))
    store_mirror.apply_changes([put("b", 603)], at(603, era=1))
    assert store_mirror.position == (0, 1_000)
    assert read_keys(store_mirror) == {"a"}


def test_restores_in_series_keep_what_is_known(wait):
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 900), put("b", 901)], at(1_000))
    store_mirror.apply_changes([remove("b", 950)], at(1_000))
    store_mirror.apply_snapshot(snapshot(602, ("b", 600), era=1))
    store_mirror.apply_snapshot(snapshot(500, ("b", 400), era=2))
    assert read_keys(store_mirror) == {"a"}
    store_mirror.apply_changes([put("a", 501)], at(501, era=2))
    wait(mirror.WITHHOLD_S)
    store_mirror.settle()
    assert read_keys(store_mirror) == {"a", "b"}


def test_late_read_of_a_new_era_hides_no_key_that_was_written_after_it(wait):
    store_mirror = mirror.Mirror()
    store_mirror.apply_changes([put("a", 900)], at(1_000))
    store_mirror.apply_changes([remove("a", 950)], at(1_000))
    store_mirror.apply_snapshot(snapshot(605, ("a", 604), era=1))
    store_mirror.apply_snapshot(snapshot(603, era=1))
    store_mirror.apply_snapshot(snapshot(605, ("a", 604), era=1))
    wait(mirror.WITHHOLD_S)
    store_mirror.settle()
    assert read_keys(store_mirror) == {"a"}


def test_whole_state_of_a_mirror_brings_another_one_to_its_era(wait):
    source, target = mirror.Mirror(), mirror.Mirror()
    for store_mirror in (source, target):
        store_mirror.apply_changes([put("a", 900), put("b", 901)], at(1_000))
        store_mirror.apply_changes([remove("b", 950)], at(1_000))
    source.apply_snapshot(snapshot(602, ("b", 600), era=1))
    source.apply_changes([put("c", 603)], at(603, era=1))
    target.apply_snapshot(source.make_snapshot())
    for store_mirror in (source, target):
        assert store_mirror.position == (1, 603)
        assert read_keys(store_mirror) == {"a", "c"}
        wait(mirror.WITHHOLD_S)
        store_mirror.settle()
        assert read_keys(store_mirror) == {"b", "c"}


class _StoreModel:
    """A store with its history, for random interleavings."""

    def __init__(self):
        self.era = 0
        self.items = {}
        self.revision = 1
        self.history = []

    def write(self, key, is_put):
        self.revision += 1
        if is_put:
            self.items[key] = self.revision
        else:
            self.items.pop(key, None)
        change = (
            put(key, self.revision) if is_put else remove(key, self.revision)
        )
        self.history.append(change)

    def read(self):
        return snapshot(self.revision, *self.items.items(), era=self.era)

    def restore(self, steps_lost):
        kept = self.history[: max(len(self.history) - steps_lost, 0)]
        self.items, self.history = {}, kept
        self.revision = kept[-1].revision if kept else 1
        for change in kept:
            if change.entry is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change.revision
        self.era += 1


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("write"), st.sampled_from("abcd"), st.booleans()),
            st.tuples(st.just("restore"), st.integers(1, 6), st.none()),
            st.tuples(st.just("read"), st.none(), st.none()),
        ),
        max_size=25,
    ),
    st.data(),
)
def test_mirrors_end_equal_to_a_store_that_was_restored(steps, data):
    store, messages = _StoreModel(), []
    for kind, first, second in steps:
        if kind == "write":
            store.write(first, second)
            messages.append(
                (tuple(store.history), at(store.revision, store.era))
            )
        elif kind == "restore":
            store.restore(first)
            messages.append((store.read(), None))
        else:
            messages.append((store.read(), None))
    order = data.draw(st.permutations(messages))
    store_mirror = mirror.Mirror()
    for content, position in [*order, (store.read(), None)]:
        if position is None:
            store_mirror.apply_snapshot(content)
        else:
            store_mirror.apply_changes(content, position)
    store_mirror._era_began_at_s = -mirror.WITHHOLD_S
    store_mirror.settle()
    held = {e.key: e.mod_revision for e in store_mirror.entries}
    assert held == store.items
