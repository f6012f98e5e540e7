"""Drain marks in force that the key-value service has not stored yet."""

from __future__ import annotations

from poplarwick_configuration import drain_marks
from poplarwick_configuration import record


class HeldDrainMarks:
    """Holds drain marks until a version that contains them is in force."""

    def __init__(self) -> None:
        self._held: dict[str, drain_marks.Mark] = {}
        self._stored_at: dict[str, int] = {}

    @property
    def all(self) -> tuple[drain_marks.Mark, ...]:
        """All held drain marks."""
        return tuple(self._held.values())

    @property
    def unstored(self) -> tuple[drain_marks.Mark, ...]:
        """Held drain marks that are not known to be stored."""
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
        """Holds drain marks that are neither held nor in the version in force.

        Args:
            added: Drain marks to hold.
            head: Record of the version in force, or None.

        Returns:
            The drain marks that are newly held.
        """
        new = tuple(
            mark
            for mark in added
            if mark.change_id not in self._held
            and not _contains_change(head, mark.change_id)
        )
        self._held.update((mark.change_id, mark) for mark in new)
        return new

    def drop(self, change_id: str) -> None:
        """Stops holding the drain mark of a change."""
        self._held.pop(change_id, None)
        self._stored_at.pop(change_id, None)

    def record_stored(self, change_id: str, version: int) -> None:
        """Records the version that contains a change.

        The version need not be in force at this instance yet.
        """
        self._stored_at[change_id] = version

    def reconcile(self, head: record.VersionRecord) -> bool:
        """Drops the drain marks that the version in force contains.

        Returns:
            Whether any drain mark was dropped.
        """
        contained = [
            change_id
            for change_id in self._held
            if _contains_change(head, change_id)
            or self._stored_at.get(change_id, head.version + 1) <= head.version
        ]
        for change_id in contained:
            self.drop(change_id)
        return bool(contained)


def _contains_change(head: record.VersionRecord | None, change_id: str) -> bool:
    if head is None:
        return False
    return change_id in head.recent_changes or any(
        mark.change_id == change_id for mark in head.out
    )
