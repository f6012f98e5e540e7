"""What is stored about each version of a document."""

from __future__ import annotations

import enum

import msgspec

from poplarwick_configuration import drain_marks
from poplarwick_configuration import failures


class Action(enum.Enum):
    """How a version came to be."""

    PUSH = "push"
    PROMOTE = "promote"
    ROLLBACK = "rollback"
    EDIT = "edit"
    OUT = "out"
    IN = "in"


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a document and the change that made it.

    The record of the newest version is the head; the records of all versions
    are the audit trail of accepted changes.

    Attributes:
        version: Version number; it grows by one with each accepted change.
        digest: Digest of the whole text.
        sections: Digests of the sections of the text, in order.
        author: Operator who made the change.
        change_id: Idempotency key of the change.
        action: How the version came to be.
        detail: What the operator asked for, in words.
        time_s: Time of the change in seconds since the Unix epoch.
        out: Targets that are out of service beside the text.
        recent_changes: Ids of the latest changes to `out`, the newest last.
    """

    version: int
    digest: str
    sections: tuple[str, ...]
    author: str
    change_id: str
    action: Action
    detail: str
    time_s: float
    out: tuple[drain_marks.Mark, ...] = ()
    recent_changes: tuple[str, ...] = ()


class RefusalRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was refused.

    Attributes:
        author: Operator who asked for the change.
        change_id: Idempotency key of the change.
        action: What was asked for.
        reason: Why it was refused.
        detail: Details of what was asked for, in words.
        time_s: Time of the refusal in seconds since the Unix epoch.
    """

    author: str
    change_id: str
    action: str
    reason: str
    time_s: float
    detail: str = ""


def encode_record(record: VersionRecord) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> VersionRecord:
    """Reads the stored form of a record.

    Raises:
        failures.RecordError: The bytes are not a record.
    """
    try:
        return msgspec.json.decode(data, type=VersionRecord)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(
            f"stored record is not valid: {error}"
        ) from error


def decode_refusal(data: bytes) -> RefusalRecord:
    """Reads the stored form of a refused change.

    Raises:
        failures.RecordError: The bytes are not a record.
    """
    try:
        return msgspec.json.decode(data, type=RefusalRecord)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(f"stored record: {error}") from error
