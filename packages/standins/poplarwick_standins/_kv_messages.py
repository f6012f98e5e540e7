"""Messages of the etcd v3 JSON gateway that the stand-in supports.

Byte strings are encoded in base64 and 64-bit integers as decimal strings.
Replies omit fields with default values.
"""

from __future__ import annotations

import enum

import msgspec


class Code(enum.IntEnum):
    """gRPC status codes of error replies."""

    INVALID_ARGUMENT = 3
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNAVAILABLE = 14


class RangeRequest(msgspec.Struct):
    """Reads one key, or the keys from `key` up to `range_end`."""

    key: bytes = b""
    range_end: bytes = b""
    limit: int = 0


class PutRequest(msgspec.Struct):
    """Stores a value."""

    key: bytes = b""
    value: bytes = b""
    lease: int = 0


class DeleteRangeRequest(msgspec.Struct):
    """Deletes one key, or the keys from `key` up to `range_end`."""

    key: bytes = b""
    range_end: bytes = b""


class Compare(msgspec.Struct):
    """A condition of a transaction."""

    key: bytes = b""
    target: str = "VERSION"
    result: str = "EQUAL"
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RequestOp(msgspec.Struct):
    """An operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(msgspec.Struct):
    """Runs `success` if all comparisons succeed, else `failure`."""

    compare: list[Compare] = msgspec.field(default_factory=list)
    success: list[RequestOp] = msgspec.field(default_factory=list)
    failure: list[RequestOp] = msgspec.field(default_factory=list)


class CompactionRequest(msgspec.Struct):
    """Compacts the history up to and including `revision`."""

    revision: int = 0


class LeaseGrantRequest(msgspec.Struct):
    """Creates a lease; the service assigns the id if it is 0."""

    ttl: int = msgspec.field(name="TTL", default=0)
    id: int = msgspec.field(name="ID", default=0)


class LeaseRequest(msgspec.Struct):
    """Renews or revokes a lease."""

    id: int = msgspec.field(name="ID", default=0)


class WatchCreateRequest(msgspec.Struct):
    """Watches one key, or the keys from `key` up to `range_end`."""

    key: bytes = b""
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False


class WatchRequest(msgspec.Struct):
    """First message of a watch stream."""

    create_request: WatchCreateRequest


class Reply(msgspec.Struct, omit_defaults=True):
    """Base class of all replies."""


class Header(Reply):
    """Revision of the store at the time of a reply."""

    revision: str = "0"


class KeyValue(Reply):
    """A stored key with its value and metadata."""

    key: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    value: bytes = b""
    lease: str = "0"


class RangeReply(Reply):
    """Reply to a range request."""

    header: Header | None = None
    kvs: list[KeyValue] = msgspec.field(default_factory=list)
    more: bool = False
    count: str = "0"


class PutReply(Reply):
    """Reply to a put."""

    header: Header | None = None


class DeleteRangeReply(Reply):
    """Reply to a delete-range request."""

    header: Header | None = None
    deleted: str = "0"


class ResponseOp(Reply):
    """Reply to an operation of a transaction."""

    response_range: RangeReply | None = None
    response_put: PutReply | None = None
    response_delete_range: DeleteRangeReply | None = None


class TxnReply(Reply):
    """Reply to a transaction."""

    header: Header | None = None
    succeeded: bool = False
    responses: list[ResponseOp] = msgspec.field(default_factory=list)


class LeaseReply(Reply):
    """Reply to a grant or a renewal; without a TTL the lease is gone."""

    header: Header | None = None
    id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class Event(Reply):
    """A change of a watched key; the default type PUT is omitted."""

    type: str = "PUT"
    kv: KeyValue | None = None


class WatchReply(Reply):
    """A message of a watch stream."""

    header: Header | None = None
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[Event] = msgspec.field(default_factory=list)


class StreamReply(Reply):
    """Envelope of a streamed reply."""

    result: WatchReply | LeaseReply


class ErrorReply(Reply):
    """Reply to a failed call."""

    error: str
    code: int
    message: str
