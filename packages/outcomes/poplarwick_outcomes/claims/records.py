"""Serialized records of claims in the key-value service."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from poplarwick_core import errors


class RecordError(errors.PoplarwickError):
    """A stored value cannot be decoded by this version."""


class State(enum.IntEnum):
    """State of a claimed call.

    Attributes:
        CLAIMED: One attempt may run the call.
        ANSWERED: The call ran and was answered.
        LOST: The call may have run; its outcome is unknown.
        RELEASED: The attempt has not sent the call and never will.
    """

    CLAIMED = 1
    ANSWERED = 2
    LOST = 3
    RELEASED = 4


class Record(msgspec.Struct, frozen=True, array_like=True):
    """State of one attempt to run a call.

    Attributes:
        key: Digest of the organisation and the idempotency key.
        key_time_ms: Creation time in the idempotency key, in milliseconds
            since the Unix epoch.
        content: Digest of the call's content.
        nonce: Random ID of the attempt.
        state: State of the call.
        run_until_ms: Wall-clock time, in milliseconds since the Unix epoch,
            by which the run is certain to have ended.
        status: HTTP status of the answer, or 0 if there is none.
    """

    key: bytes
    key_time_ms: int
    content: bytes
    nonce: bytes
    state: State
    run_until_ms: int
    status: int = 0


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a call.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers that describe the body.
        body: Response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer stored for replay.

    Attributes:
        key: Digest of the organisation and the idempotency key.
        key_time_ms: Creation time in the idempotency key, in milliseconds
            since the Unix epoch.
        nonce: Random ID of the attempt that was answered.
        answer: Answer to the call.
    """

    key: bytes
    key_time_ms: int
    nonce: bytes
    answer: Answer


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Head of a shard, rewritten by every transaction on the shard.

    Attributes:
        epoch: Fencing token of the owner that wrote it.
        next_seq: Sequence number of the next segment.
        nonce: Random ID of the write, by which its writer recognizes it.
        horizon_ms: Keys created before this time, in milliseconds since the
            Unix epoch, are refused and their records may be deleted.
    """

    epoch: int
    next_seq: int
    nonce: str
    horizon_ms: int


_HEAD_DECODER = msgspec.json.Decoder(Head)
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[Record])
_ANSWERS_DECODER = msgspec.msgpack.Decoder(list[StoredAnswer])


def encode_head(head: Head) -> bytes:
    """Serializes a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Deserializes a head.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _HEAD_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(f"cannot decode shard head: {error}") from error


def encode_items(items: Iterable[Record] | Iterable[StoredAnswer]) -> bytes:
    """Serializes the records or answers of a segment."""
    return msgspec.msgpack.encode(list(items))


def decode_records(value: bytes) -> list[Record]:
    """Deserializes a segment of records.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _RECORDS_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(
            f"cannot decode segment of records: {error}"
        ) from error


def decode_answers(value: bytes) -> list[StoredAnswer]:
    """Deserializes a segment of answers.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _ANSWERS_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(
            f"cannot decode segment of answers: {error}"
        ) from error


def make_answered(record: Record, answer: Answer) -> Record:
    """Returns the record of an attempt in state `ANSWERED`."""
    return msgspec.structs.replace(
        record, state=State.ANSWERED, status=answer.status
    )


def make_lost(record: Record) -> Record:
    """Returns the record of an attempt in state `LOST`."""
    return msgspec.structs.replace(record, state=State.LOST)


def make_released(record: Record) -> Record:
    """Returns the record of an attempt in state `RELEASED`."""
    return msgspec.structs.replace(record, state=State.RELEASED)


def apply_record(index: dict[bytes, Record], record: Record) -> None:
    """Applies a record to an index of current records by key.

    A release removes only the attempt with its nonce, so applying it twice
    never removes a later attempt.

    Args:
        index: Current record of each key; updated in place.
        record: Record to apply.
    """
    if record.state is not State.RELEASED:
        index[record.key] = record
        return
    current = index.get(record.key)
    if current is not None and current.nonce == record.nonce:
        del index[record.key]


def merge_records(
    items: Iterable[Record], horizon_ms: int, *, is_oldest: bool
) -> list[Record]:
    """Merges the records of consecutive segments.

    Args:
        items: Records in storage order.
        horizon_ms: Records whose key was created before this time are
            omitted, in milliseconds since the Unix epoch.
        is_oldest: Whether no older segment exists. Releases are then omitted,
            because they have no earlier claim to remove.

    Returns:
        The last record of each attempt, in storage order.
    """
    last: dict[tuple[bytes, bytes], Record] = {}
    claimed: set[tuple[bytes, bytes]] = set()
    for record in items:
        attempt = (record.key, record.nonce)
        last.pop(attempt, None)
        last[attempt] = record
        if record.state is State.CLAIMED:
            claimed.add(attempt)
    return [
        record
        for attempt, record in last.items()
        if record.key_time_ms >= horizon_ms
        and not (
            record.state is State.RELEASED and (is_oldest or attempt in claimed)
        )
    ]
