"""Records of document versions and refused changes, and their encoding."""

from __future__ import annotations

import enum

import msgspec

from poplarwick_configuration import drain_marks
from poplarwick_configuration import failures


class Action(enum.Enum):
    """Operation that created a version."""

    PUSH = "push"
    PROMOTE = "promote"
    ROLLBACK = "rollback"
    EDIT = "edit"
    OUT = "out"
    IN = "in"


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a document and the change that created it.

    The record of the newest version is the head. The records of all versions
    form the audit trail of accepted changes.

    Attributes:
        version: Version number; increases by one with each accepted change.
        digest: Digest of the complete text.
        sections: Digests of the sections of the text, in order.
        author: Operator who made the change.
        change_id: Idempotency key of the change.
        action: Operation that created the version.
        detail: Human-readable description of the change.
        time_s: Time of the change in seconds since the Unix epoch.
        out: Drain marks; they apply in addition to the text.
        recent_changes: Ids of the latest changes to `out`, newest last.
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
        author: Operator who requested the change.
        change_id: Idempotency key of the change.
        action: Requested operation.
        reason: Reason for the refusal.
        detail: Human-readable description of the request.
        time_s: Time of the refusal in seconds since the Unix epoch.
    """

    author: str
    change_id: str
    action: str
    reason: str
    time_s: float
    detail: str = ""


def encode_record(record: VersionRecord) -> bytes:
    """Encodes a record for storage."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> VersionRecord:
    """Decodes a stored record.

    Raises:
        failures.RecordError: The data is not a valid record.
    """
    try:
        return msgspec.json.decode(data, type=VersionRecord)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(
            f"invalid stored version record: {error}"
        ) from error


def decode_refusal(data: bytes) -> RefusalRecord:
    """Decodes the stored record of a refused change.

    Raises:
        failures.RecordError: The data is not a valid record.
    """
    try:
        return msgspec.json.decode(data, type=RefusalRecord)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(
            f"invalid stored refusal record: {error}"
        ) from error
