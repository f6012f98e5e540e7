"""Tests for the encoding of snapshots exchanged by instances."""

import struct

import hypothesis
import pytest
from hypothesis import strategies

from poplarwick_configuration import drain_marks
from poplarwick_configuration import record
from poplarwick_configuration import snapshot
from poplarwick_configuration import state

MARK = drain_marks.Mark(
    target=drain_marks.Target(drain_marks.TargetKind.INSTANCE, "i1"),
    author="anna",
    change_id="c1",
    time_s=1.0,
)
RECORD = record.VersionRecord(
    version=3,
    digest="d",
    sections=("s",),
    author="anna",
    change_id="c0",
    action=record.Action.PUSH,
    detail="",
    time_s=1.0,
    out=(MARK,),
)
FULL = snapshot.Snapshot(
    environment="trial", record=RECORD, sections={"s": b"x"}, held=(MARK,)
)
DATA = snapshot.encode_snapshot(FULL)


def test_snapshot_round_trip():
    assert snapshot.decode_snapshot(DATA) == FULL


@hypothesis.given(
    strategies.integers(0, len(DATA) - 1), strategies.integers(1, 255)
)
def test_corrupted_snapshot_is_rejected(position, flip):
    damaged = bytearray(DATA)
    damaged[position] ^= flip
    with pytest.raises(snapshot.SnapshotError):
        snapshot.decode_snapshot(bytes(damaged))


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_snapshot_error(data):
    with pytest.raises(snapshot.SnapshotError):
        snapshot.decode_snapshot(data)


def test_error_names_unsupported_format():
    other = DATA[:4] + struct.pack(">H", snapshot.FORMAT + 1) + DATA[6:]
    with pytest.raises(snapshot.SnapshotError, match="found format 2"):
        snapshot.decode_snapshot(other)


def test_snapshot_of_another_environment_is_rejected():
    versions = state.VersionState("production")
    with pytest.raises(snapshot.SnapshotError, match="found environment"):
        versions.apply_snapshot(FULL)
    assert versions.version == 0
    assert versions.held == ()
