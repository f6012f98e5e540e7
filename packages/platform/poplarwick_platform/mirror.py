"""A copy of the platform's key-value service that never goes backwards."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_platform import kv

Listener = Callable[[tuple[kv.Change, ...]], None]

TOMBSTONES_KEPT = 4_096
"""Removed keys whose revisions are remembered, so that an older copy of a key
cannot bring it back; a fleet removes far fewer keys within a history."""


class Mirror:
    """Keeps the newest known state of each key.

    Snapshots and changes may come from several sources, in any order and more
    than once: from the service itself and from other instances.
    """

    def __init__(self) -> None:
        self.revision = kv.Revision(0)
        self._entries: dict[str, kv.Entry] = {}
        self._removed: dict[str, kv.Revision] = {}
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
        """Returns what has changed after a revision, as far as known."""
        written = [
            kv.Change(entry.key, entry, entry.mod_revision)
            for entry in self._entries.values()
            if entry.mod_revision > revision
        ]
        written.extend(
            kv.Change(key, None, removed)
            for key, removed in self._removed.items()
            if removed > revision
        )
        return tuple(written)

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` with each batch of changes that was news."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Listener) -> None:
        """Undoes `add_listener`."""
        self._listeners.remove(listener)

    def apply_snapshot(self, snapshot: kv.Snapshot) -> None:
        """Takes over a read of all keys.

        A known key that the snapshot lacks is gone if the snapshot is newer
        than what is known of the key.
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
        """Takes over changes; those that are no news are left out.

        Args:
            changes: Changes in any order.
            revision: Revision up to which the source knows all changes.
        """
        news = tuple(change for change in changes if self._take(change))
        self.revision = max(self.revision, revision)
        if news:
            for listener in tuple(self._listeners):
                listener(news)

    def _take(self, change: kv.Change) -> bool:
        known = self._entries.get(change.key)
        known_revision = known.mod_revision if known else 0
        removed_revision = self._removed.get(change.key, 0)
        if change.revision <= max(known_revision, removed_revision):
            return False
        if change.entry is not None:
            self._entries[change.key] = change.entry
            self._removed.pop(change.key, None)
            return True
        self._entries.pop(change.key, None)
        self._removed[change.key] = change.revision
        while len(self._removed) > TOMBSTONES_KEPT:
            del self._removed[next(iter(self._removed))]
        return known is not None
