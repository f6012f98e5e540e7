"""Conversion between the client's types and the gateway's messages."""

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
    """Returns the error that a refused call raises."""
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
    """Parses a reply."""
    try:
        return msgspec.json.decode(content, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise kv.UnknownResultError(f"malformed reply: {error}") from error


def make_range(key: str, is_prefix: bool) -> messages.RangeRequest:
    """Returns the request for one key or a prefix."""
    start = key.encode()
    return messages.RangeRequest(
        start, find_prefix_end(start) if is_prefix else b""
    )


def find_prefix_end(prefix: bytes) -> bytes:
    """Returns the first key after all keys with this prefix.

    UTF-8 never contains the byte 0xff, so the last byte can grow by one.
    """
    return prefix[:-1] + bytes((prefix[-1] + 1,)) if prefix else b"\0"


def make_compare(condition: kv.Condition) -> messages.Compare:
    """Returns the wire form of a condition."""
    match condition:
        case kv.KeyAbsent(key):
            return messages.Compare(key.encode(), "0")
        case kv.KeyUnchanged(key, mod_revision):
            return messages.Compare(key.encode(), str(mod_revision))


def make_operation(operation: kv.Operation) -> messages.RequestOp:
    """Returns the wire form of an operation."""
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


def make_entry(found: messages.KeyValue) -> kv.Entry:
    """Returns the entry of a wire form."""
    return kv.Entry(
        key=found.key.decode(),
        value=found.value,
        create_revision=kv.Revision(found.create_revision),
        mod_revision=kv.Revision(found.mod_revision),
        lease=kv.LeaseId(found.lease) if found.lease else None,
    )


def make_change(event: messages.Event) -> kv.Change:
    """Returns the change of a wire form."""
    is_removal = event.type == "DELETE"
    return kv.Change(
        key=event.kv.key.decode(),
        entry=None if is_removal else make_entry(event.kv),
        revision=kv.Revision(event.kv.mod_revision),
    )


def find_next_revision(result: messages.WatchResult) -> int:
    """Returns the first revision that a watch has not told, or 0."""
    if result.events:
        return result.events[-1].kv.mod_revision + 1
    if result.created:
        return 0
    return result.header.revision + 1
