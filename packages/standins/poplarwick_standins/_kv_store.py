"""In-memory store of the key-value stand-in."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import operator
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import sortedcontainers

from poplarwick_core import clock
from poplarwick_standins import _kv_messages as messages

MAX_VALUE_BYTES = 1_000_000
_FROM_KEY = b"\0"
_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


class StoreError(Exception):
    """The store rejects a request.

    Args:
        code: gRPC status code of the reply.
        message: Error message of the reply.

    Attributes:
        code: gRPC status code of the reply.
    """

    def __init__(self, code: messages.Code, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(slots=True)
class StoredKey:
    """Value and metadata of one key."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    ttl_s: int
    expires_s: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedEvent:
    """A change in the history; `stored` is None for a deletion."""

    revision: int
    key: bytes
    stored: StoredKey | None


class Store:
    """Keys, leases and history.

    Args:
        history_limit: Number of retained changes; beyond it, the older half is
            compacted.

    Attributes:
        revision: Current revision.
        compact_revision: Revision up to which the history is compacted.
        changed: Notified after changes.
    """

    def __init__(self, history_limit: int = 100_000) -> None:
        self.revision = 1
        self.compact_revision = 0
        self.changed = asyncio.Condition()
        self._keys: sortedcontainers.SortedDict[bytes, StoredKey] = (
            sortedcontainers.SortedDict()
        )
        self._leases: dict[int, Lease] = {}
        self._history: collections.deque[RecordedEvent] = collections.deque()
        self._history_limit = history_limit
        self._next_lease = 1

    @property
    def header(self) -> messages.Header:
        """Header of a reply at the current revision."""
        return messages.Header(revision=str(self.revision))

    def read(self, request: messages.RangeRequest) -> messages.RangeReply:
        """Reads a range of keys."""
        found = list(self._select(request.key, request.range_end))
        limit = request.limit or len(found)
        return messages.RangeReply(
            header=self.header,
            kvs=[make_key_value(k, self._keys[k]) for k in found[:limit]],
            more=len(found) > limit,
            count=str(len(found)),
        )

    def run(self, request: messages.TxnRequest) -> messages.TxnReply:
        """Runs a transaction.

        Raises:
            StoreError: An operation is invalid; none was applied.
        """
        succeeded = all(self._matches(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        self._validate(operations)
        revision = self.revision + 1
        before = len(self._history)
        responses = [self._apply(op, revision) for op in operations]
        if len(self._history) != before:
            self.revision = revision
        self._trim_history()
        return messages.TxnReply(
            header=self.header, succeeded=succeeded, responses=responses
        )

    def compact(self, revision: int) -> None:
        """Compacts the history up to and including `revision`.

        Raises:
            StoreError: The revision is in the future.
        """
        if revision > self.revision:
            raise StoreError(
                messages.Code.OUT_OF_RANGE,
                "etcdserver: mvcc: required revision is a future revision",
            )
        self.compact_revision = max(self.compact_revision, revision)
        while self._history and self._history[0].revision <= revision:
            self._history.popleft()

    def grant_lease(self, lease: int, ttl_s: int) -> int:
        """Creates a lease and returns its id.

        Args:
            lease: Id; 0 lets the store choose one.
            ttl_s: Time to live.

        Raises:
            StoreError: The lease exists already.
        """
        if lease in self._leases:
            raise StoreError(
                messages.Code.FAILED_PRECONDITION,
                "etcdserver: lease already exists",
            )
        if not lease:
            lease = self._next_lease
            self._next_lease += 1
        self._leases[lease] = Lease(ttl_s, clock.now_s() + ttl_s)
        return lease

    def keep_alive(self, lease: int) -> int:
        """Renews a lease.

        Returns:
            Time to live in seconds; 0 if the lease does not exist.
        """
        existing = self._leases.get(lease)
        if existing is None:
            return 0
        existing.expires_s = clock.now_s() + existing.ttl_s
        return existing.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """Revokes a lease and deletes its keys.

        Raises:
            StoreError: The lease does not exist.
        """
        revoked = self._leases.pop(lease, None)
        if revoked is None:
            raise StoreError(
                messages.Code.NOT_FOUND,
                "etcdserver: requested lease not found",
            )
        if not revoked.keys:
            return
        self.revision += 1
        for key in sorted(revoked.keys):
            self._delete(key, self.revision)
        self._trim_history()

    def expire_leases(self) -> bool:
        """Revokes expired leases.

        Returns:
            Whether any lease had expired.
        """
        now_s = clock.now_s()
        expired = [k for k, v in self._leases.items() if v.expires_s <= now_s]
        for lease in expired:
            self.revoke_lease(lease)
        return bool(expired)

    def extend_leases(self) -> None:
        """Resets the leases to their full TTL, as a new leader does."""
        now_s = clock.now_s()
        for lease in self._leases.values():
            lease.expires_s = now_s + lease.ttl_s

    def list_events(
        self, key: bytes, range_end: bytes, start: int
    ) -> list[RecordedEvent]:
        """Returns the changes of a key range, oldest first.

        Args:
            key: Key, or start of the range.
            range_end: End of the range, exclusive; empty for a single key.
            start: Revision of the first change to return.
        """
        found: list[RecordedEvent] = []
        for event in reversed(self._history):
            if event.revision < start:
                break
            if is_within(event.key, key, range_end):
                found.append(event)
        found.reverse()
        return found

    async def notify(self) -> None:
        """Wakes the watches after a change."""
        async with self.changed:
            self.changed.notify_all()

    def _select(self, key: bytes, range_end: bytes) -> Iterator[bytes]:
        if not range_end:
            return iter([key] if key in self._keys else [])
        end = None if range_end == _FROM_KEY else range_end
        return iter(self._keys.irange(key, end, inclusive=(True, False)))

    def _matches(self, compare: messages.Compare) -> bool:
        stored = self._keys.get(compare.key)
        actual: Any
        match compare.target:
            case "VERSION":
                actual = stored.version if stored else 0
                expected: Any = compare.version
            case "CREATE":
                actual = stored.create_revision if stored else 0
                expected = compare.create_revision
            case "MOD":
                actual = stored.mod_revision if stored else 0
                expected = compare.mod_revision
            case "LEASE":
                actual = stored.lease if stored else 0
                expected = compare.lease
            case "VALUE":
                if stored is None:
                    return False
                actual = stored.value
                expected = compare.value
            case _:
                raise StoreError(
                    messages.Code.INVALID_ARGUMENT, "unknown compare target"
                )
        return _COMPARISONS[compare.result](actual, expected)

    def _validate(self, operations: list[messages.RequestOp]) -> None:
        """Validates all operations before any of them is applied."""
        written: set[bytes] = set()
        for operation in operations:
            put = operation.request_put
            if put is None:
                continue
            if put.key in written:
                raise StoreError(
                    messages.Code.INVALID_ARGUMENT,
                    "etcdserver: duplicate key given in txn request",
                )
            written.add(put.key)
            self._validate_put(put)

    def _validate_put(self, put: messages.PutRequest) -> None:
        if not put.key:
            raise StoreError(
                messages.Code.INVALID_ARGUMENT,
                "etcdserver: key is not provided",
            )
        if len(put.value) > MAX_VALUE_BYTES:
            raise StoreError(
                messages.Code.INVALID_ARGUMENT,
                "etcdserver: request is too large",
            )
        if put.lease and put.lease not in self._leases:
            raise StoreError(
                messages.Code.NOT_FOUND,
                "etcdserver: requested lease not found",
            )

    def _apply(
        self, operation: messages.RequestOp, revision: int
    ) -> messages.ResponseOp:
        if operation.request_put is not None:
            self._put(operation.request_put, revision)
            return messages.ResponseOp(response_put=messages.PutReply())
        if operation.request_delete_range is not None:
            request = operation.request_delete_range
            keys = list(self._select(request.key, request.range_end))
            for key in keys:
                self._delete(key, revision)
            return messages.ResponseOp(
                response_delete_range=messages.DeleteRangeReply(
                    deleted=str(len(keys))
                )
            )
        if operation.request_range is not None:
            return messages.ResponseOp(
                response_range=self.read(operation.request_range)
            )
        raise StoreError(messages.Code.INVALID_ARGUMENT, "empty operation")

    def _put(self, put: messages.PutRequest, revision: int) -> None:
        old = self._keys.get(put.key)
        if old is not None and old.lease in self._leases:
            self._leases[old.lease].keys.discard(put.key)
        stored = StoredKey(
            value=put.value,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease=put.lease,
        )
        self._keys[put.key] = stored
        if put.lease:
            self._leases[put.lease].keys.add(put.key)
        self._history.append(RecordedEvent(revision, put.key, stored))

    def _delete(self, key: bytes, revision: int) -> None:
        old = self._keys.pop(key, None)
        if old is None:
            return
        if old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        self._history.append(RecordedEvent(revision, key, None))

    def _trim_history(self) -> None:
        if len(self._history) <= self._history_limit:
            return
        oldest_kept = len(self._history) - self._history_limit // 2
        self.compact(self._history[oldest_kept].revision)


def is_within(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Returns whether a key is within an etcd key range."""
    if not range_end:
        return key == start
    if range_end == _FROM_KEY:
        return key >= start
    return start <= key < range_end


def make_key_value(key: bytes, stored: StoredKey) -> messages.KeyValue:
    """Returns the wire form of a stored key."""
    return messages.KeyValue(
        key=key,
        value=stored.value,
        create_revision=str(stored.create_revision),
        mod_revision=str(stored.mod_revision),
        version=str(stored.version),
        lease=str(stored.lease),
    )
