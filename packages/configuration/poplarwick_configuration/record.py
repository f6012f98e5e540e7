"""What is stored about each version of a document."""

from __future__ import annotations

import enum

import msgspec

from poplarwick_core import errors


class RecordError(errors.PoplarwickError):
    """A stored record cannot be read."""


class Action(enum.Enum):
    """How a version came to be."""

    PUSH = "push"
    PROMOTE = "promote"
    ROLLBACK = "rollback"
    EDIT = "edit"


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a document and the change that made it.

    The record of the newest version is the head; all records together are the
    audit trail.

    Attributes:
        version: Version number; it grows by one with each accepted change.
        digest: Digest of the whole text.
        sections: Digests of the sections of the text, in order.
        author: Operator who made the change.
        change_id: Idempotency key of the change.
        action: How the version came to be.
        detail: What the operator asked for, in words.
        time_s: Time of the change in seconds since the Unix epoch.
    """

    version: int
    digest: str
    sections: tuple[str, ...]
    author: str
    change_id: str
    action: Action
    detail: str
    time_s: float


def encode_record(record: VersionRecord) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> VersionRecord:
    """Reads the stored form of a record.

    Raises:
        RecordError: The bytes are not a record.
    """
    try:
        return msgspec.json.decode(data, type=VersionRecord)
    except msgspec.MsgspecError as error:
        raise RecordError(f"stored record is not valid: {error}") from error
