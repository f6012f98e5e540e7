"""Converts between the client's types and the gateway's messages."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from poplarwick_platform import _gateway_messages as messages
from poplarwick_platform import kv

_CODE_NOT_FOUND = 5
_CODE_RESOURCE_EXHAUSTED = 8
_HTTP_SERVER_ERROR = 500
_HTTP_TOO_MANY_REQUESTS = 429

Reply = TypeVar("Reply", bound=messages.Message)


def make_error(status: int, content: bytes) -> kv.KvError:
    """Returns the exception for an error response."""
    try:
        reply = decode(content, messages.ErrorReply)
    except kv.UnknownResultError:
        reply = messages.ErrorReply(message=f"status {status}")
    if (
        reply.code == _CODE_RESOURCE_EXHAUSTED
        or status == _HTTP_TOO_MANY_REQUESTS
    ):
        return kv.UnavailableError(reply.message)
    if reply.code == _CODE_NOT_FOUND and "lease" in reply.message:
        return kv.LeaseLostError(reply.message)
    if status >= _HTTP_SERVER_ERROR:
        return kv.UnknownResultError(reply.message)
    return kv.KvError(reply.message)


def decode(content: bytes, kind: type[Reply]) -> Reply:
    """Parses a reply.

    Raises:
        kv.UnknownResultError: The reply is malformed.
    """
    try:
        return msgspec.json.decode(content, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise kv.UnknownResultError(f"malformed reply: {error}") from error


def make_range(key: str, is_prefix: bool) -> messages.RangeRequest:
    """Returns a range request for one key or for a prefix."""
    start = key.encode()
    return messages.RangeRequest(
        start, find_prefix_end(start) if is_prefix else b""
    )


def find_prefix_end(prefix: bytes) -> bytes:
    """Returns the first key after all keys with this prefix.

    UTF-8 never contains the byte 0xff, so the last byte can be incremented.
    """
    return prefix[:-1] + bytes((prefix[-1] + 1,)) if prefix else b"\0"


def make_compare(condition: kv.Condition) -> messages.Compare:
    """Converts a condition to its message."""
    match condition:
        case kv.KeyAbsent(key):
            return messages.Compare(key.encode(), "0")
        case kv.KeyUnchanged(key, mod_revision):
            return messages.Compare(key.encode(), str(mod_revision))


def make_operation(operation: kv.Operation) -> messages.RequestOp:
    """Converts an operation to its message."""
    match operation:
        case kv.Put(key, value, lease):
            return messages.RequestOp(
                request_put=messages.PutRequest(
                    key.encode(), value, str(lease or 0)
                )
            )
        case kv.Delete(key):
            return messages.RequestOp(
                request_delete_range=messages.DeleteRangeRequest(key.encode())
            )


def make_entry(message: messages.KeyValue) -> kv.Entry:
    """Converts a key-value message to an entry."""
    return kv.Entry(
        key=message.key.decode(),
        value=message.value,
        create_revision=kv.Revision(message.create_revision),
        mod_revision=kv.Revision(message.mod_revision),
        lease=kv.LeaseId(message.lease) if message.lease else None,
    )


def make_change(event: messages.Event) -> kv.Change:
    """Converts an event message to a change."""
    is_removal = event.type == "DELETE"
    return kv.Change(
        key=event.kv.key.decode(),
        entry=None if is_removal else make_entry(event.kv),
        revision=kv.Revision(event.kv.mod_revision),
    )


def find_next_revision(result: messages.WatchResult) -> int:
    """Returns the first revision that a watch has not delivered, or 0."""
    if result.events:
        return result.events[-1].kv.mod_revision + 1
    if result.created:
        return 0
    return result.header.revision + 1
