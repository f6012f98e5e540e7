"""Version and held drain marks in force at one instance."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_configuration import drain_marks
from poplarwick_configuration import held_drain_marks
from poplarwick_configuration import record
from poplarwick_configuration import snapshot
from poplarwick_configuration import store
from poplarwick_core import jsonc
from poplarwick_core import logs
from poplarwick_core import metrics

ViewListener = Callable[[document.View], None]

_VERSIONS = metrics.make_counter(
    "configuration_versions", "Versions that came in force here"
)
_HELD = metrics.make_counter(
    "configuration_marks_held", "Marks that came in force before storage"
)


class VersionState:
    """Puts versions and drain marks in force; the version never decreases.

    Args:
        environment: Name of the environment.
    """

    def __init__(self, environment: str) -> None:
        self._environment = environment
        self._stored: store.StoredText | None = None
        self._parsed: document.Document | None = None
        self._view: document.View | None = None
        self._sections: dict[str, bytes] = {}
        self._held = held_drain_marks.HeldDrainMarks()
        self._listeners: list[ViewListener] = []
        self._changed = asyncio.Event()
        self._has_unstored = asyncio.Event()

    @property
    def view(self) -> document.View | None:
        """View of the version in force, or None before the first version."""
        return self._view

    @property
    def version(self) -> int:
        """Number of the version in force, or 0 before the first version."""
        return self._stored.record.version if self._stored is not None else 0

    @property
    def stored(self) -> store.StoredText | None:
        """Record and text of the version in force."""
        return self._stored

    @property
    def sections(self) -> dict[str, bytes]:
        """Sections of the version in force, by digest."""
        return self._sections

    @property
    def held(self) -> tuple[drain_marks.Mark, ...]:
        """Drain marks in force that the version in force does not contain."""
        return self._held.all

    @property
    def unstored(self) -> tuple[drain_marks.Mark, ...]:
        """Held drain marks that are not known to be stored."""
        return self._held.unstored

    def add_listener(self, listener: ViewListener) -> None:
        """Registers a listener for views.

        It is called with each new view, and at once if there is a view.
        """
        self._listeners.append(listener)
        if self._view is not None:
            listener(self._view)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force.

        Returns:
            The view of the version in force.
        """
        while self._view is None or self.version < version:
            await self._changed.wait()
        return self._view

    def apply(self, stored: store.StoredText) -> bool:
        """Puts a version in force if it is newer than the current one.

        Returns:
            Whether the version was put in force.

        Raises:
            errors.DocumentError: The text is invalid; the state is unchanged.
        """
        new = stored.record
        if new.version <= self.version:
            return False
        if self._stored is None or self._stored.record.digest != new.digest:
            self._replace_text(stored)
        self._stored = stored
        self._held.reconcile(new)
        logs.log_event(
            "configuration_in_force",
            version=new.version,
            author=new.author,
            change=new.change_id,
        )
        _VERSIONS.add(1)
        self._refresh()
        return True

    def hold(
        self, held: tuple[drain_marks.Mark, ...]
    ) -> tuple[drain_marks.Mark, ...]:
        """Puts drain marks in force that are not stored yet.

        Returns:
            The drain marks that are newly held.
        """
        head = self._stored.record if self._stored is not None else None
        new = self._held.add(held, head)
        for mark in new:
            logs.log_event(
                "mark_held",
                "WARNING",
                target=mark.target,
                author=mark.author,
                change=mark.change_id,
            )
        if new:
            _HELD.add(len(new))
            self._has_unstored.set()
            self._refresh()
        return new

    async def wait_for_unstored(self) -> None:
        """Waits until a held drain mark is not known to be stored."""
        while not self.unstored:
            self._has_unstored.clear()
            await self._has_unstored.wait()

    def record_stored(self, mark: drain_marks.Mark, version: int) -> None:
        """Records which version contains the change of a held drain mark."""
        self._held.record_stored(mark.change_id, version)
        head = self._stored.record if self._stored is not None else None
        if head is not None and self._held.reconcile(head):
            self._refresh()

    def drop(self, mark: drain_marks.Mark) -> None:
        """Stops holding a drain mark that can never be stored."""
        logs.log_event("mark_dropped", "WARNING", target=mark.target)
        self._held.drop(mark.change_id)
        self._refresh()

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns the encoded state for another instance.

        Args:
            newer_than: Version in force at the other instance.
            known_sections: Digests of sections to leave out.
            wait_s: Maximum time to wait for a newer version, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.wait_for_version(newer_than + 1)
        head: record.VersionRecord | None = None
        parts: dict[str, bytes] = {}
        if self._stored is not None and self.version > newer_than:
            head = self._stored.record
            missing = set(head.sections).difference(known_sections)
            parts = {digest: self._sections[digest] for digest in missing}
        state = snapshot.Snapshot(
            environment=self._environment,
            record=head,
            sections=parts,
            held=self.held,
        )
        return snapshot.encode_snapshot(state)

    def apply_snapshot(
        self, received: snapshot.Snapshot
    ) -> tuple[drain_marks.Mark, ...]:
        """Applies a snapshot of another instance.

        Puts its version in force if it is newer, and holds its drain marks.

        Returns:
            The drain marks that are newly held.

        Raises:
            failures.StoreError: The snapshot is incomplete or belongs to
                another environment.
            errors.DocumentError: The text is invalid.
        """
        if received.environment != self._environment:
            raise snapshot.SnapshotError(
                f"found environment {received.environment}; "
                f"allowed: {self._environment}"
            )
        head = received.record
        if head is not None and head.version > self.version:
            known_sections = {**self._sections, **received.sections}
            self.apply(store.join_sections(head, known_sections))
        return self.hold(received.held)

    def _replace_text(self, stored: store.StoredText) -> None:
        source = f"{self._environment} version {stored.record.version}"
        self._parsed = jsonc.decode_checked(
            stored.text, document.Document, source
        )
        self._sections = dict(stored.parts)

    def _refresh(self) -> None:
        """Recomputes the view and notifies the listeners."""
        if self._parsed is not None and self._stored is not None:
            out = (*self._stored.record.out, *self._held.all)
            effective = drain_marks.apply_marks(self._parsed, out)
            self._view = document.View(self.version, effective)
            for listener in tuple(self._listeners):
                _notify_listener(listener, self._view)
        self._changed.set()
        self._changed = asyncio.Event()


def _notify_listener(listener: ViewListener, view: document.View) -> None:
    """Calls a listener; an exception in it must not block later versions."""
    try:
        listener(view)
    except Exception as error:
        logs.log_event(
            "configuration_listener_failed",
            "ERROR",
            version=view.version,
            reason=repr(error),
        )
