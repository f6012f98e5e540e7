"""View of all ownership records, kept up to date by one watch."""

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

RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOwner:
    """A record and the revision that wrote it."""

    record: _records.OwnerRecord
    revision: kv.Revision


class OwnerView:
    """Records of all resources and all living leases.

    Args:
        client: The key-value service.
        notify: Called after each change.
    """

    def __init__(self, client: kv.KvClient, notify: Callable[[], None]) -> None:
        self.is_loaded = False
        self._client = client
        self._notify = notify
        self._owners: dict[str, KnownOwner] = {}
        self._holders: dict[kv.LeaseId, ids.InstanceId] = {}
        self._ended_leases: set[kv.LeaseId] = set()

    @property
    def holders(self) -> frozenset[ids.InstanceId]:
        """Instances whose lease lives."""
        return frozenset(self._holders.values())

    def find_owner(self, key: str) -> KnownOwner | None:
        """Returns the record under a key, or None if there is none."""
        return self._owners.get(key)

    def is_lease_alive(self, lease: kv.LeaseId) -> bool:
        """Returns whether a lease is known to live."""
        return lease in self._holders

    def is_lease_ended(self, lease: kv.LeaseId) -> bool:
        """Returns whether a lease is known to have ended."""
        return lease in self._ended_leases

    async def follow(self) -> None:
        """Reads all records, then follows their changes, until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                snapshot = await self._client.read(
                    _records.PREFIX, kv.Purpose.CLAIM, is_prefix=True
                )
                self._replace(snapshot)
                pause_s = RETRY_MIN_S
                start = kv.Revision(snapshot.revision + 1)
                async for changes in self._client.watch(
                    _records.PREFIX, start, is_prefix=True
                ):
                    self._apply(changes)
            except kv.CompactedError:
                logs.log_event("ownership_watch_compacted")
            except kv.KvError as error:
                logs.log_event("ownership_read_failed", reason=error)
            await asyncio.sleep(random.uniform(0, pause_s))
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def learn(self, keys: Iterable[str], entries: Iterable[kv.Entry]) -> None:
        """Takes over what a transaction told about some keys.

        Args:
            keys: All keys that the transaction looked at.
            entries: Those of them that exist.
        """
        found = {entry.key: entry for entry in entries}
        for key in keys:
            entry = found.get(key)
            lease = _records.read_holder_lease(key)
            if entry is not None:
                self._put(entry)
            elif lease is not None:
                self._end_lease(lease)
        self._notify()

    def learn_own_write(
        self, key: str, record: _records.OwnerRecord, revision: kv.Revision
    ) -> None:
        """Takes over a record that this instance has written."""
        self._put_owner(key, KnownOwner(record, revision))

    def _replace(self, snapshot: kv.Snapshot) -> None:
        before = set(self._holders)
        self._holders = {}
        keys = {entry.key for entry in snapshot.entries}
        self._owners = {
            key: known
            for key, known in self._owners.items()
            if key in keys or known.revision > snapshot.revision
        }
        for entry in snapshot.entries:
            self._put(entry)
        self._ended_leases |= before - set(self._holders)
        self.is_loaded = True
        self._notify()

    def _apply(self, changes: tuple[kv.Change, ...]) -> None:
        for change in changes:
            if change.entry is not None:
                self._put(change.entry)
                continue
            lease = _records.read_holder_lease(change.key)
            if lease is not None:
                self._end_lease(lease)
            else:
                self._owners.pop(change.key, None)
        self._notify()

    def _end_lease(self, lease: kv.LeaseId) -> None:
        self._holders.pop(lease, None)
        self._ended_leases.add(lease)

    def _put(self, entry: kv.Entry) -> None:
        lease = _records.read_holder_lease(entry.key)
        if lease is not None:
            holder = _records.decode_holder(entry.value)
            self._holders[lease] = holder.instance
            return
        record = _records.decode_owner(entry.value)
        self._put_owner(entry.key, KnownOwner(record, entry.mod_revision))

    def _put_owner(self, key: str, told: KnownOwner) -> None:
        known = self._owners.get(key)
        if known is None or known.revision < told.revision:
            self._owners[key] = told
