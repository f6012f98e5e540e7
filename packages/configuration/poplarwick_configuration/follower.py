"""Keeps an instance at the newest version of its environment's document."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_configuration import record
from poplarwick_configuration import sections
from poplarwick_configuration import store
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_platform import kv

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0

ViewListener = Callable[[document.View], None]


class Follower:
    """Holds the newest version and watches for newer ones.

    Entering the context starts the watch; leaving it stops the watch. The
    version never goes down.
    """

    def __init__(self, client: kv.KvClient, environment: str) -> None:
        self._kv = client
        self._store = store.DocumentStore(client, environment)
        self._environment = environment
        self._view: document.View | None = None
        self._stored: store.StoredText | None = None
        self._known_sections: dict[str, bytes] = {}
        self._listeners: list[ViewListener] = []
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Follower:
        """Starts to follow; a missing service does not delay the start."""
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops to follow; the last version stays readable."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    @property
    def view(self) -> document.View | None:
        """The version in force here, or None before the first one."""
        return self._view

    @property
    def version(self) -> int:
        """Number of the version in force here; 0 before the first one."""
        return self._view.version if self._view is not None else 0

    @property
    def stored(self) -> store.StoredText | None:
        """Record and text of the version in force here."""
        return self._stored

    def add_listener(self, listener: ViewListener) -> None:
        """Calls `listener` with each new version, and now if there is one."""
        self._listeners.append(listener)
        if self._view is not None:
            listener(self._view)

    async def wait_for_view(self) -> document.View:
        """Waits until there is a version and returns it."""
        return await self.wait_for_version(1)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force and returns it."""
        while self._view is None or self._view.version < version:
            await self._changed.wait()
        return self._view

    def apply(self, stored: store.StoredText) -> bool:
        """Puts a version in force unless the present one is as new.

        Returns:
            Whether the version was put in force.

        Raises:
            errors.DocumentError: The text is not valid; nothing changes.
        """
        if stored.record.version <= self.version:
            return False
        view = store.make_view(self._environment, stored)
        self._view = view
        self._stored = stored
        parts = sections.split_text(stored.text)
        self._known_sections = {sections.digest_bytes(p): p for p in parts}
        self._changed.set()
        self._changed = asyncio.Event()
        logs.log_event(
            "configuration_in_force",
            version=view.version,
            author=stored.record.author,
            change=stored.record.change_id,
        )
        for listener in tuple(self._listeners):
            listener(view)
        return True

    async def _run(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            version = self.version
            try:
                await self._follow()
            except errors.PoplarwickError as error:
                logs.log_event(
                    "configuration_watch_lost", "WARNING", reason=error
                )
            if self.version > version:
                delay_s = MIN_RETRY_DELAY_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _follow(self) -> None:
        head = await self._store.read_head()
        if head.record is not None:
            await self._fetch(head.record)
        start = kv.Revision(head.revision + 1)
        async for changes in self._kv.watch(self._store.head_key, start):
            newest = changes[-1].entry if changes else None
            if newest is not None:
                await self._fetch(record.decode_record(newest.value))

    async def _fetch(self, version_record: record.VersionRecord) -> None:
        if version_record.version <= self.version:
            return
        text = await self._store.read_text(version_record, self._known_sections)
        self.apply(store.StoredText(version_record, text))
