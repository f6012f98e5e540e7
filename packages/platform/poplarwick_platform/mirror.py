"""A local copy of the key-value service that never reverts to older state."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_platform import kv

Listener = Callable[[tuple[kv.Change, ...]], None]

MAX_TOMBSTONES = 4_096
"""Maximum number of removed keys whose revisions are retained, so that an older
state of a key cannot restore it. A fleet removes far fewer keys within the
history of the service."""


class Mirror:
    """Keeps the newest known state of each key.

    Snapshots and changes may arrive from the service and from other instances,
    in any order and more than once.

    Attributes:
        revision: Revision up to which all changes are known.
    """

    def __init__(self) -> None:
        self.revision = kv.Revision(0)
        self._entries: dict[str, kv.Entry] = {}
        self._tombstones: dict[str, kv.Revision] = {}
        self._listeners: list[Listener] = []

    @property
    def entries(self) -> tuple[kv.Entry, ...]:
        """All known entries."""
        return tuple(self._entries.values())

    def get(self, key: str) -> kv.Entry | None:
        """Returns the known entry of a key."""
        return self._entries.get(key)

    def read_changes_since(
        self, revision: kv.Revision
    ) -> tuple[kv.Change, ...]:
        """Returns the known changes after a revision."""
        written = [
            kv.Change(entry.key, entry, entry.mod_revision)
            for entry in self._entries.values()
            if entry.mod_revision > revision
        ]
        written.extend(
            kv.Change(key, None, removed)
            for key, removed in self._tombstones.items()
            if removed > revision
        )
        return tuple(written)

    def add_listener(self, listener: Listener) -> None:
        """Registers a listener for batches of new changes."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Listener) -> None:
        """Unregisters a listener."""
        self._listeners.remove(listener)

    def apply_snapshot(self, snapshot: kv.Snapshot) -> None:
        """Applies a read of all keys.

        A known key that is missing from the snapshot is removed if the
        snapshot is at least as new as the key.
        """
        present = {entry.key for entry in snapshot.entries}
        changes = [
            kv.Change(entry.key, entry, entry.mod_revision)
            for entry in snapshot.entries
        ]
        changes.extend(
            kv.Change(key, None, snapshot.revision)
            for key, entry in self._entries.items()
            if key not in present and entry.mod_revision <= snapshot.revision
        )
        self.apply_changes(changes, snapshot.revision)

    def apply_changes(
        self, changes: Iterable[kv.Change], revision: kv.Revision
    ) -> None:
        """Applies changes and ignores those that are already known.

        Args:
            changes: Changes in any order.
            revision: Revision up to which the source knows all changes.
        """
        new_changes = tuple(
            change for change in changes if self._apply_if_new(change)
        )
        self.revision = max(self.revision, revision)
        if new_changes:
            for listener in tuple(self._listeners):
                listener(new_changes)

    def _apply_if_new(self, change: kv.Change) -> bool:
        known = self._entries.get(change.key)
        entry_revision = known.mod_revision if known else 0
        tombstone_revision = self._tombstones.get(change.key, 0)
        if change.revision <= max(entry_revision, tombstone_revision):
            return False
        if change.entry is not None:
            self._entries[change.key] = change.entry
            self._tombstones.pop(change.key, None)
            return True
        self._entries.pop(change.key, None)
        self._tombstones[change.key] = change.revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return known is not None
