"""Entries of the store that instances of two versions write and read."""

from __future__ import annotations

import pytest

DIRECTIONS = [("previous", "present"), ("present", "previous")]


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
def test_member_and_quarantine_are_read_by_the_other_version(
    versions, writer, reader
):
    entries = versions[writer].probe("write_entries")
    meant = versions[writer].probe("read_entries", entries)
    found = versions[reader].probe("read_entries", entries)
    assert found == meant
    assert [kind for kind, _ in found] == ["MemberItem"] + 3 * [
        "QuarantineItem"
    ]


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
def test_entry_of_a_later_version_is_read(versions, writer, reader):
    """A field that is added to an entry must not make it unreadable."""
    entries = versions[writer].probe("write_entries")
    later = [
        [key, value.removesuffix("7d") + b',"later":[1]}'.hex()]
        for key, value in entries
    ]
    found = versions[reader].probe("read_entries", later)
    assert found == versions[reader].probe("read_entries", entries)


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
def test_instance_that_changes_version_knows_its_own_tenure(
    versions, writer, reader
):
    """The entry came back with a copy of the store, without its lease."""
    [[key, value]] = versions[writer].probe("take_tenure")
    [[key_taken_anew, _]] = versions[reader].probe("take_tenure", value)
    assert key_taken_anew == key


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
def test_tenure_of_another_instance_is_left_to_it(versions, writer, reader):
    [[_, value]] = versions[writer].probe("take_tenure")
    other = b"front-9 " + bytes.fromhex(value).split(b" ")[1]
    assert versions[reader].probe("take_tenure", other.hex()) == []
