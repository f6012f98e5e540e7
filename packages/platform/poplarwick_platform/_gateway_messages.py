"""Messages of the etcd v3 JSON gateway that the client uses.

Byte strings are encoded in base64 and 64-bit numbers as decimal strings.
Fields with their default value are omitted.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class of all messages."""


class RangeRequest(Message, frozen=True):
    """Reads one key, or the keys from `key` up to `range_end`."""

    key: bytes
    range_end: bytes = b""


class PutRequest(Message, frozen=True):
    """Stores a value."""

    key: bytes
    value: bytes
    lease: str = "0"


class DeleteRangeRequest(Message, frozen=True):
    """Removes one key."""

    key: bytes


class Compare(msgspec.Struct, frozen=True):
    """Condition on the revision at which a key was last written."""

    key: bytes
    mod_revision: str
    result: str = "EQUAL"
    target: str = "MOD"


class RequestOp(Message, frozen=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(Message, frozen=True):
    """Runs `success` if all comparisons hold, otherwise `failure`."""

    compare: tuple[Compare, ...]
    success: tuple[RequestOp, ...]
    failure: tuple[RequestOp, ...]


class LeaseGrantRequest(Message, frozen=True):
    """Creates a lease with an id chosen by the client."""

    id: str = msgspec.field(name="ID")
    ttl: str = msgspec.field(name="TTL")


class LeaseRequest(Message, frozen=True):
    """Renews or revokes a lease."""

    id: str = msgspec.field(name="ID")


class WatchCreateRequest(Message, frozen=True):
    """Watches one key, or the keys from `key` up to `range_end`."""

    key: bytes
    start_revision: str
    range_end: bytes = b""
    progress_notify: bool = False


class WatchRequest(Message, frozen=True):
    """First message of a watch stream."""

    create_request: WatchCreateRequest


class Header(Message, frozen=True):
    """State of the service at the time of a reply."""

    revision: int = 0


class KeyValue(Message, frozen=True):
    """One stored key."""

    key: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RangeReply(Message, frozen=True):
    """Keys found by a range request."""

    header: Header = Header()
    kvs: tuple[KeyValue, ...] = ()


class ResponseOp(Message, frozen=True):
    """Reply to one operation of a transaction."""

    response_range: RangeReply | None = None


class TxnReply(Message, frozen=True):
    """Reply to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: tuple[ResponseOp, ...] = ()


class LeaseReply(Message, frozen=True):
    """Reply to a grant or renewal; a TTL of 0 means that the lease ended."""

    id: int = msgspec.field(name="ID", default=0)
    ttl: int = msgspec.field(name="TTL", default=0)


class KeepAliveReply(Message, frozen=True):
    """Streamed reply to a renewal."""

    result: LeaseReply = LeaseReply()


class Event(Message, frozen=True):
    """A change seen by a watch; a missing type means PUT."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Message, frozen=True):
    """Content of one message of a watch stream."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[Event, ...] = ()


class WatchReply(Message, frozen=True):
    """One message of a watch stream."""

    result: WatchResult = WatchResult()


class Empty(Message, frozen=True):
    """A reply whose content is ignored."""


class ErrorReply(Message, frozen=True):
    """Reply to a call that failed."""

    code: int = 0
    message: str = ""
