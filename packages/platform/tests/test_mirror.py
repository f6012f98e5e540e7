"""The mirror of the store never goes backwards."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_platform import kv
from poplarwick_platform import mirror


def put(key, revision, value=b"x"):
    return kv.Change(key, kv.Entry(key, value, revision, revision), revision)


def gone(key, revision):
    return kv.Change(key, None, revision)


def snapshot(revision, *entries):
    return kv.Snapshot(
        tuple(kv.Entry(key, b"x", rev, rev) for key, rev in entries), revision
    )


def test_a_snapshot_removes_what_it_lacks_unless_that_is_newer():
    copy = mirror.Mirror()
    copy.apply_changes([put("a", 2), put("b", 9)], 9)
    copy.apply_snapshot(snapshot(5, ("c", 4)))
    assert {entry.key for entry in copy.entries} == {"b", "c"}


def test_an_older_copy_does_not_bring_a_removed_key_back():
    copy = mirror.Mirror()
    copy.apply_changes([put("a", 2)], 2)
    copy.apply_changes([gone("a", 3)], 3)
    copy.apply_snapshot(snapshot(2, ("a", 2)))
    assert copy.get("a") is None
    copy.apply_changes([put("a", 4)], 4)
    assert copy.get("a").mod_revision == 4


def test_listeners_hear_news_only():
    copy = mirror.Mirror()
    heard = []
    copy.add_listener(heard.append)
    copy.apply_changes([put("a", 2)], 2)
    copy.apply_changes([put("a", 2), put("a", 1)], 2)
    assert len(heard) == 1


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12),
    st.randoms(use_true_random=False),
)
def test_any_order_of_sources_ends_in_the_same_state(steps, draw):
    changes = [
        put(key, number) if is_put else gone(key, number)
        for number, (key, is_put) in enumerate(steps, 1)
    ]
    straight, mixed = mirror.Mirror(), mirror.Mirror()
    straight.apply_changes(changes, len(changes))
    shuffled = changes * 2
    draw.shuffle(shuffled)
    for change in shuffled:
        mixed.apply_changes([change], change.revision)
    assert set(straight.entries) == set(mixed.entries)


def test_changes_since_a_revision_bring_another_mirror_up_to_date():
    source, target = mirror.Mirror(), mirror.Mirror()
    for copy in (source, target):
        copy.apply_changes([put("a", 1), put("b", 2)], 2)
    source.apply_changes([gone("a", 3), put("c", 4)], 4)
    target.apply_changes(
        source.read_changes_since(target.revision), source.revision
    )
    assert set(target.entries) == set(source.entries)
    assert target.revision == 4
