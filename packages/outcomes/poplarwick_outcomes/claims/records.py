"""Records of claims as they are stored in the key-value service."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from poplarwick_core import errors


class RecordError(errors.PoplarwickError):
    """A stored value cannot be read by this version."""


class State(enum.IntEnum):
    """How far a claimed call has come.

    Attributes:
        CLAIMED: One attempt may run the call.
        ANSWERED: The call ran and was answered.
        LOST: The call may have run; its end is not known.
        RELEASED: The attempt has not sent the call and never will.
    """

    CLAIMED = 1
    ANSWERED = 2
    LOST = 3
    RELEASED = 4


class Record(msgspec.Struct, frozen=True, array_like=True):
    """State of one attempt to run a call.

    Attributes:
        key: Digest of organisation and idempotency key.
        key_time_ms: Time in the idempotency key.
        content: Digest of the call's content.
        nonce: Random number of the attempt.
        state: How far the call has come.
        run_until_ms: Wall time at which the run has surely ended.
        status: HTTP status of the answer; 0 without one.
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
        headers: Names and values of the headers that belong to the body.
        body: Body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer kept for replay.

    Attributes:
        key: Digest of organisation and idempotency key.
        key_time_ms: Time in the idempotency key.
        nonce: Random number of the attempt that was answered.
        answer: The answer.
    """

    key: bytes
    key_time_ms: int
    nonce: bytes
    answer: Answer


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Head of a shard, rewritten with every change of the shard.

    Attributes:
        epoch: Fencing number of the owner that wrote it.
        next_seq: Number of the next segment.
        nonce: Random number of the write, to find out whose write it was.
        horizon_ms: Keys with an earlier time are forgotten and refused.
    """

    epoch: int
    next_seq: int
    nonce: str
    horizon_ms: int


_HEAD_DECODER = msgspec.json.Decoder(Head)
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[Record])
_ANSWERS_DECODER = msgspec.msgpack.Decoder(list[StoredAnswer])


def encode_head(head: Head) -> bytes:
    """Returns the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Reads a stored head.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _HEAD_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(f"head of a shard: {error}") from error


def encode_items(items: Iterable[Record] | Iterable[StoredAnswer]) -> bytes:
    """Returns the stored form of a segment."""
    return msgspec.msgpack.encode(list(items))


def decode_records(value: bytes) -> list[Record]:
    """Reads a stored segment of records.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _RECORDS_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(f"segment of records: {error}") from error


def decode_answers(value: bytes) -> list[StoredAnswer]:
    """Reads a stored segment of answers.

    Raises:
        RecordError: The value is not valid.
    """
    try:
        return _ANSWERS_DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RecordError(f"segment of answers: {error}") from error


def make_answered(record: Record, answer: Answer) -> Record:
    """Returns the record of an attempt that was answered."""
    return msgspec.structs.replace(
        record, state=State.ANSWERED, status=answer.status
    )


def make_lost(record: Record) -> Record:
    """Returns the record of an attempt whose end is not known."""
    return msgspec.structs.replace(record, state=State.LOST)


def make_released(record: Record) -> Record:
    """Returns the record of an attempt that was given back."""
    return msgspec.structs.replace(record, state=State.RELEASED)


def apply_record(index: dict[bytes, Record], record: Record) -> None:
    """Applies a record to an index of live records by key.

    A release removes only the attempt that it names, so applying it twice
    never removes a later attempt.
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
    """Merges records of consecutive segments into one list.

    Args:
        items: Records in the order in which they were stored.
        horizon_ms: Records of earlier keys are left out.
        is_oldest: Whether no older segment exists, so that releases have
            nothing left to remove.

    Returns:
        The last record of each attempt, in order.
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
