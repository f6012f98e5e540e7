"""Encoding of the state that instances exchange.

An encoded snapshot consists of a magic number, a format number, a digest and
a compressed body.
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
    """The data is not a valid snapshot of a supported format."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration state of one instance.

    Attributes:
        environment: Environment that the instance follows.
        record: Record of the version in force, or None if it is not newer
            than the version of the receiver.
        sections: Sections that the receiver lacks, by digest.
        held: Drain marks that are in force but not stored yet.
    """

    environment: str
    record: record.VersionRecord | None = None
    sections: dict[str, bytes] = {}
    held: tuple[drain_marks.Mark, ...] = ()


def get_version(snapshot: Snapshot) -> int:
    """Returns the version in a snapshot, or 0 if it contains none."""
    return snapshot.record.version if snapshot.record is not None else 0


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot for transfer."""
    body = zlib.compress(msgspec.msgpack.encode(snapshot))
    return _HEADER.pack(MAGIC, FORMAT, _digest(body)) + body


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a transferred snapshot.

    Raises:
        SnapshotError: The data is corrupted, has an unsupported format or is
            too large.
    """
    if len(data) < _HEADER.size:
        raise SnapshotError(f"snapshot truncated: got {len(data)} bytes")
    magic, number, digest = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("not a snapshot: wrong magic number")
    if number != FORMAT:
        raise SnapshotError(f"found format {number}; allowed: {FORMAT}")
    if digest != _digest(body):
        raise SnapshotError("snapshot digest does not match")
    return _decode_body(body)


def encode_marks(held: tuple[drain_marks.Mark, ...]) -> bytes:
    """Encodes held drain marks for transfer."""
    return msgspec.msgpack.encode(held)


def decode_marks(data: bytes) -> tuple[drain_marks.Mark, ...]:
    """Decodes transferred drain marks.

    Raises:
        SnapshotError: The data is not a valid list of drain marks.
    """
    try:
        return msgspec.msgpack.decode(data, type=tuple[drain_marks.Mark, ...])
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"invalid drain marks: {error}") from error


def _decode_body(body: bytes) -> Snapshot:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(body, MAX_BODY_BYTES)
        if not decompressor.eof:
            raise SnapshotError(
                f"body is truncated or exceeds {MAX_BODY_BYTES} bytes"
            )
        return msgspec.msgpack.decode(plain, type=Snapshot)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise SnapshotError(f"invalid snapshot body: {error}") from error


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
