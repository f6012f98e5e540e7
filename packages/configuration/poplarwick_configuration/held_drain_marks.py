"""Marks that are in force while the key-value service cannot store them."""

from __future__ import annotations

from poplarwick_configuration import drain_marks
from poplarwick_configuration import record


class HeldDrainMarks:
    """Holds marks until a version that contains their change is in force."""

    def __init__(self) -> None:
        self._held: dict[str, drain_marks.Mark] = {}
        self._stored_at: dict[str, int] = {}

    @property
    def all(self) -> tuple[drain_marks.Mark, ...]:
        """All held marks."""
        return tuple(self._held.values())

    @property
    def unstored(self) -> tuple[drain_marks.Mark, ...]:
        """Held marks that are not known to be stored."""
        return tuple(
            mark
            for change_id, mark in self._held.items()
            if change_id not in self._stored_at
        )

    def add(
        self,
        added: tuple[drain_marks.Mark, ...],
        head: record.VersionRecord | None,
    ) -> tuple[drain_marks.Mark, ...]:
        """Holds marks and returns those that are new here.

        Args:
            added: The marks.
            head: Version in force; changes that it contains are left out.
        """
        new = tuple(
            mark
            for mark in added
            if mark.change_id not in self._held
            and not _contains(head, mark.change_id)
        )
        self._held.update((mark.change_id, mark) for mark in new)
        return new

    def drop(self, change_id: str) -> None:
        """Stops to hold a mark."""
        self._held.pop(change_id, None)
        self._stored_at.pop(change_id, None)

    def note_stored(self, change_id: str, version: int) -> None:
        """Notes that a version holds the change, in force here or not yet."""
        self._stored_at[change_id] = version

    def settle(self, head: record.VersionRecord) -> bool:
        """Drops marks whose change the version in force contains.

        Returns:
            Whether a mark was dropped.
        """
        settled = [
            change_id
            for change_id in self._held
            if _contains(head, change_id)
            or self._stored_at.get(change_id, head.version + 1) <= head.version
        ]
        for change_id in settled:
            self.drop(change_id)
        return bool(settled)


def _contains(head: record.VersionRecord | None, change_id: str) -> bool:
    if head is None:
        return False
    return change_id in head.recent_changes or any(
        mark.change_id == change_id for mark in head.out
    )
