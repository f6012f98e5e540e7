"""State that one instance passes to another.

A snapshot is a magic number, a format number, a digest and a compressed body.
"""

from __future__ import annotations

import hashlib
import struct
import zlib

import msgspec

from poplarwick_configuration import drain_marks
from poplarwick_configuration import failures
from poplarwick_configuration import record

MAGIC = b"PWCF"
FORMAT = 1
DIGEST_BYTES = 16
MAX_BODY_BYTES = 16_000_000

_HEADER = struct.Struct(f">4sH{DIGEST_BYTES}s")


class SnapshotError(failures.StoreError):
    """The bytes are not a snapshot that this program can read."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance.

    Attributes:
        environment: Environment that the instance follows.
        record: Record of the version in force there, if it is of use.
        sections: Sections that the receiver does not have, by digest.
        held: Marks that are in force but not stored yet.
    """

    environment: str
    record: record.VersionRecord | None = None
    sections: dict[str, bytes] = {}
    held: tuple[drain_marks.Mark, ...] = ()


def read_version(snapshot: Snapshot) -> int:
    """Returns the version that a snapshot brings; 0 if it brings none."""
    return snapshot.record.version if snapshot.record is not None else 0


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns the transferable form of a snapshot."""
    body = zlib.compress(msgspec.msgpack.encode(snapshot))
    return _HEADER.pack(MAGIC, FORMAT, _digest(body)) + body


def decode_snapshot(data: bytes) -> Snapshot:
    """Reads the transferable form of a snapshot.

    Raises:
        SnapshotError: The bytes are damaged, of another format or too long.
    """
    if len(data) < _HEADER.size:
        raise SnapshotError(f"{len(data)} bytes are too few")
    magic, number, digest = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("not a snapshot")
    if number != FORMAT:
        raise SnapshotError(f"found format {number}; allowed: {FORMAT}")
    if digest != _digest(body):
        raise SnapshotError("the digest does not match")
    return _decode_body(body)


def encode_marks(held: tuple[drain_marks.Mark, ...]) -> bytes:
    """Returns the transferable form of held marks."""
    return msgspec.msgpack.encode(held)


def decode_marks(data: bytes) -> tuple[drain_marks.Mark, ...]:
    """Reads the transferable form of held marks.

    Raises:
        SnapshotError: The bytes are not held marks.
    """
    try:
        return msgspec.msgpack.decode(data, type=tuple[drain_marks.Mark, ...])
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"held marks: {error}") from error


def _decode_body(body: bytes) -> Snapshot:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(body, MAX_BODY_BYTES)
        if not inflater.eof:
            raise SnapshotError(f"more than {MAX_BODY_BYTES} bytes or cut off")
        return msgspec.msgpack.decode(plain, type=Snapshot)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise SnapshotError(f"body: {error}") from error


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
