"""Local view of all ownership records, synchronized by a single watch."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _records
from poplarwick_platform import kv

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOwner:
    """An owner record and the revision that wrote it."""

    record: _records.OwnerRecord
    revision: kv.Revision


class OwnerView:
    """Owner records of all resources and all live leases.

    Args:
        client: The key-value service.
        notify: Called after each change.

    Attributes:
        is_loaded: Whether all records were read at least once.
    """

    def __init__(self, client: kv.KvClient, notify: Callable[[], None]) -> None:
        self.is_loaded = False
        self._client = client
        self._notify = notify
        self._owners: dict[str, StoredOwner] = {}
        self._holders: dict[kv.LeaseId, ids.InstanceId] = {}
        self._ended_leases: set[kv.LeaseId] = set()

    @property
    def holders(self) -> frozenset[ids.InstanceId]:
        """Instances with a live lease."""
        return frozenset(self._holders.values())

    def find_owner(self, key: str) -> StoredOwner | None:
        """Returns the owner record under a key, or None if there is none."""
        return self._owners.get(key)

    def is_lease_alive(self, lease: kv.LeaseId) -> bool:
        """Returns whether a lease is alive in this view."""
        return lease in self._holders

    def is_lease_ended(self, lease: kv.LeaseId) -> bool:
        """Returns whether this view has seen the end of a lease."""
        return lease in self._ended_leases

    async def sync(self) -> None:
        """Reads all records, then applies their changes until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                snapshot = await self._client.read(
                    _records.PREFIX, kv.Purpose.CLAIM, is_prefix=True
                )
                self._replace(snapshot)
                backoff_s = MIN_BACKOFF_S
                start = kv.Revision(snapshot.revision + 1)
                async for changes in self._client.watch(
                    _records.PREFIX, start, is_prefix=True
                ):
                    self._apply(changes)
            except kv.CompactedError:
                logs.log_event("ownership_watch_compacted")
            except kv.KvError as error:
                logs.log_event("ownership_read_failed", reason=error)
            await asyncio.sleep(random.uniform(0, backoff_s))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def apply_entries(
        self, keys: Iterable[str], entries: Iterable[kv.Entry]
    ) -> None:
        """Applies the entries that a transaction returned.

        Args:
            keys: All keys that the transaction read.
            entries: Entries of those keys that exist.
        """
        found = {entry.key: entry for entry in entries}
        for key in keys:
            entry = found.get(key)
            lease = _records.parse_holder_lease(key)
            if entry is not None:
                self._store_entry(entry)
            elif lease is not None:
                self._end_lease(lease)
        self._notify()

    def apply_local_write(
        self, key: str, record: _records.OwnerRecord, revision: kv.Revision
    ) -> None:
        """Applies a record that this instance has written."""
        self._store_owner(key, StoredOwner(record, revision))

    def _replace(self, snapshot: kv.Snapshot) -> None:
        previous = set(self._holders)
        self._holders = {}
        keys = {entry.key for entry in snapshot.entries}
        self._owners = {
            key: stored
            for key, stored in self._owners.items()
            if key in keys or stored.revision > snapshot.revision
        }
        for entry in snapshot.entries:
            self._store_entry(entry)
        self._ended_leases |= previous - set(self._holders)
        self.is_loaded = True
        self._notify()

    def _apply(self, changes: tuple[kv.Change, ...]) -> None:
        for change in changes:
            if change.entry is not None:
                self._store_entry(change.entry)
                continue
            lease = _records.parse_holder_lease(change.key)
            if lease is not None:
                self._end_lease(lease)
            else:
                self._owners.pop(change.key, None)
        self._notify()

    def _end_lease(self, lease: kv.LeaseId) -> None:
        self._holders.pop(lease, None)
        self._ended_leases.add(lease)

    def _store_entry(self, entry: kv.Entry) -> None:
        lease = _records.parse_holder_lease(entry.key)
        if lease is not None:
            holder = _records.decode_holder(entry.value)
            self._holders[lease] = holder.instance
            return
        record = _records.decode_owner(entry.value)
        self._store_owner(entry.key, StoredOwner(record, entry.mod_revision))

    def _store_owner(self, key: str, update: StoredOwner) -> None:
        current = self._owners.get(key)
        if current is None or current.revision < update.revision:
            self._owners[key] = update
