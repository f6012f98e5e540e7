"""A local copy of the key-value service that never reverts to older state.

A service that is restored from a copy begins a new era: its latest changes are
gone and their revisions are given out again. The mirror keeps what it knows
until the owners of the keys have had the time to write them again.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import log_events

Listener = Callable[[tuple[kv.Change, ...]], None]

MAX_TOMBSTONES = 4_096
"""Maximum number of removed keys whose revisions are retained, so that an older
state of a key cannot restore it. A fleet removes far fewer keys within the
history of the service."""

LOGGED_KEYS = 5
"""Most keys that one log line names."""

CARRY_S = 2.5
"""Time after a restore for which keys that the copy lacks are kept. Their
owners write them again within about two seconds."""

WITHHOLD_S = 6.0
"""Time after a restore for which keys that were removed before it are withheld
though the copy has them. The entry of an endpoint that has ended lapses after
three missed heartbeats, within four seconds."""


class Mirror:
    """Keeps the newest known state of each key.

    Snapshots and changes may arrive from the service and from other instances,
    in any order and more than once. Those of an earlier era are dropped. A
    later era begins with a snapshot.

    Attributes:
        position: Point in the history up to which all changes are known.
    """

    def __init__(self) -> None:
        self.position = kv.Position(kv.FIRST_ERA, kv.Revision(0))
        self._entries: dict[str, kv.Entry] = {}
        self._tombstones: dict[str, kv.Revision] = {}
        self._carried: set[str] = set()
        self._withheld: dict[str, kv.Entry] = {}
        self._restored_revision = kv.Revision(0)
        self._era_began_at_s = 0.0
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> kv.Revision:
        """Revision, within the era, up to which all changes are known."""
        return self.position.revision

    @property
    def era(self) -> kv.Era:
        """Era of the service that the mirror has reached."""
        return self.position.era

    @property
    def entries(self) -> tuple[kv.Entry, ...]:
        """All known entries."""
        return tuple(self._entries.values())

    @property
    def is_settling(self) -> bool:
        """Whether the service was restored a moment ago."""
        return bool(self._carried or self._withheld)

    def get(self, key: str) -> kv.Entry | None:
        """Returns the known entry of a key."""
        return self._entries.get(key)

    def is_carried(self, key: str) -> bool:
        """Returns whether an entry is known from an earlier era only."""
        return key in self._carried

    def is_restored(self, key: str) -> bool:
        """Returns whether an entry may come from the copy of a restore."""
        entry = self._entries.get(key)
        return (
            entry is not None and entry.mod_revision <= self._restored_revision
        )

    def make_snapshot(self) -> kv.Snapshot:
        """Returns what the service holds, as far as it is known."""
        held = [
            entry
            for key, entry in self._entries.items()
            if key not in self._carried
        ]
        return kv.Snapshot(
            (*held, *self._withheld.values()), self.revision, self.era
        )

    def read_changes_since(
        self, revision: kv.Revision
    ) -> tuple[kv.Change, ...]:
        """Returns the known changes of this era after a revision."""
        written = [
            kv.Change(entry.key, entry, entry.mod_revision)
            for entry in self._entries.values()
            if entry.mod_revision > revision
        ]
        written.extend(
            kv.Change(key, None, removed)
            for key, removed in self._tombstones.items()
            if removed > revision and key not in self._withheld
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
        if snapshot.era < self.era:
            self._log_dropped(snapshot.position)
            return
        if snapshot.era > self.era and self.revision:
            self._begin_era(snapshot)
            return
        self.position = kv.Position(snapshot.era, self.revision)
        present = {entry.key for entry in snapshot.entries}
        changes = [
            kv.Change(entry.key, entry, entry.mod_revision)
            for entry in snapshot.entries
        ]
        changes.extend(
            kv.Change(key, None, snapshot.revision)
            for key, entry in self._entries.items()
            if key not in present
            and key not in self._carried
            and entry.mod_revision <= snapshot.revision
        )
        self._withheld = {
            key: entry
            for key, entry in self._withheld.items()
            if key in present or entry.mod_revision > snapshot.revision
        }
        self.apply_changes(changes, snapshot.position)

    def apply_changes(
        self, changes: Iterable[kv.Change], position: kv.Position
    ) -> None:
        """Applies changes and ignores those that are already known.

        Args:
            changes: Changes of one era in any order.
            position: Point up to which the source knows all changes. Changes
                of another era are dropped: those of a later one need the
                snapshot with which it begins.
        """
        if position.era != self.era:
            self._log_dropped(position)
            return
        new_changes = tuple(
            change for change in changes if self._apply_if_new(change)
        )
        self.position = max(self.position, position)
        self._notify(new_changes)

    def settle(self) -> None:
        """Ends the exceptions for a restore when their time is over.

        Afterwards the mirror holds what the service holds.
        """
        age_s = clock.now_s() - self._era_began_at_s
        changes: list[kv.Change] = []
        if self._carried and age_s >= CARRY_S:
            for key in self._carried:
                del self._entries[key]
                changes.append(kv.Change(key, None, self.revision))
            self._carried.clear()
        if self._withheld and age_s >= WITHHOLD_S:
            for key, entry in self._withheld.items():
                self._tombstones.pop(key, None)
                self._entries[key] = entry
                changes.append(
                    kv.Change(key, entry, entry.mod_revision, is_restored=True)
                )
            self._withheld.clear()
        self._notify(tuple(changes))

    def _begin_era(self, snapshot: kv.Snapshot) -> None:
        removed_before = set(self._tombstones)
        known_before = self._entries
        self._entries = {}
        self._tombstones = {}
        self._withheld = {}
        changes: list[kv.Change] = []
        for entry in snapshot.entries:
            if entry.key in removed_before:
                self._withheld[entry.key] = entry
                self._tombstones[entry.key] = entry.mod_revision
                continue
            self._entries[entry.key] = entry
            known = known_before.get(entry.key)
            if known is None or known.value != entry.value:
                changes.append(
                    kv.Change(
                        entry.key, entry, entry.mod_revision, is_restored=True
                    )
                )
        self._carried = {
            key for key in known_before if key not in self._entries
        }
        for key in self._carried:
            # Each change of the new era is later than what is carried.
            self._entries[key] = dataclasses.replace(
                known_before[key], mod_revision=kv.Revision(0)
            )
        previous, self.position = self.position, snapshot.position
        self._restored_revision = snapshot.revision
        self._era_began_at_s = clock.now_s()
        logs.log(
            log_events.StoreRestored(
                era=snapshot.era,
                revision=snapshot.revision,
                previous_era=previous.era,
                previous_revision=previous.revision,
                carried=len(self._carried),
                withheld=len(self._withheld),
            )
        )
        self._notify(tuple(changes))

    def _notify(self, changes: tuple[kv.Change, ...]) -> None:
        if changes:
            for listener in tuple(self._listeners):
                try:
                    listener(changes)
                except Exception as error:
                    # The other listeners must not miss the changes.
                    logs.log(
                        log_events.ChangesNotHandled(
                            keys=",".join(c.key for c in changes[:LOGGED_KEYS]),
                            reason=repr(error),
                        )
                    )

    def _log_dropped(self, position: kv.Position) -> None:
        logs.log(
            log_events.StoreStateDropped(
                era=position.era,
                revision=position.revision,
                known_era=self.era,
            )
        )

    def _apply_if_new(self, change: kv.Change) -> bool:
        known = self._entries.get(change.key)
        entry_revision = known.mod_revision if known else 0
        tombstone_revision = self._tombstones.get(change.key, 0)
        if change.revision <= max(entry_revision, tombstone_revision):
            return False
        self._carried.discard(change.key)
        self._withheld.pop(change.key, None)
        if change.entry is not None:
            self._entries[change.key] = change.entry
            self._tombstones.pop(change.key, None)
            return True
        self._entries.pop(change.key, None)
        self._tombstones[change.key] = change.revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return known is not None
