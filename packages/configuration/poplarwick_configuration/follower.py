"""Keeps an instance at the newest version of its environment's document."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from collections.abc import Coroutine
from typing import Any
from typing import Self

from poplarwick_configuration import _contact
from poplarwick_configuration import _mark_writer
from poplarwick_configuration import document
from poplarwick_configuration import drain_marks
from poplarwick_configuration import exchange
from poplarwick_configuration import record
from poplarwick_configuration import snapshot
from poplarwick_configuration import state
from poplarwick_configuration import store
from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
PEER_GRACE_S = 0.3
PEER_PERIOD_S = 2.0
PROBE_AFTER_S = 5.0
PROBE_TIMEOUT_S = 1.0
START_GRACE_S = 1.0


class Follower:
    """Holds the newest version and watches for newer ones.

    Entering the context starts the watch; leaving it stops the watch. The
    version never goes down. Marks that could not be stored yet are in force
    besides, and are stored when the service answers again.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
        peers: Reaches the other instances; None means that there are none.
    """

    def __init__(
        self,
        client: kv.KvClient,
        environment: str,
        peers: exchange.Exchange | None = None,
    ) -> None:
        self._kv = client
        self._store = store.DocumentStore(client, environment)
        self._state = state.VersionState(environment)
        self._contact: _contact.PeerContact | None = None
        self._writer = _mark_writer.MarkWriter(
            self._store, self._state, self._rank_own
        )
        self._hint = asyncio.Event()
        self._is_connected = asyncio.Event()
        self._was_tried = asyncio.Event()
        self._last_answer_s = clock.now_s()
        self._tasks: set[asyncio.Task[None]] = set()
        if peers is not None:
            self.use_peers(peers)

    async def __aenter__(self) -> Self:
        """Starts to follow; a missing service does not delay the start."""
        self._start(self._watch())
        self._start(self._writer.run())
        self._start(self._keep_contact())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops to follow; the last version stays readable."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def view(self) -> document.View | None:
        """The version in force here, or None before the first one."""
        return self._state.view

    @property
    def version(self) -> int:
        """Number of the version in force here; 0 before the first one."""
        return self._state.version

    @property
    def stored(self) -> store.StoredText | None:
        """Record and text of the version in force here."""
        return self._state.stored

    @property
    def held(self) -> tuple[drain_marks.Mark, ...]:
        """Marks in force here that are not part of a version yet."""
        return self._state.held

    @property
    def known_sections(self) -> dict[str, bytes]:
        """Sections of the version in force here, by digest."""
        return self._state.sections

    @property
    def is_connected(self) -> bool:
        """Whether the key-value service answered last time."""
        return self._is_connected.is_set()

    @property
    def isolated_s(self) -> float:
        """Seconds for which neither the service nor a peer has answered."""
        last_s = self._last_answer_s
        if self._contact is not None:
            last_s = max(last_s, self._contact.last_contact_s)
        return clock.now_s() - last_s

    def use_peers(self, peers: exchange.Exchange) -> None:
        """Sets how other instances are reached, before the context opens."""
        self._contact = _contact.PeerContact(peers, self._state)

    def add_listener(self, listener: state.ViewListener) -> None:
        """Calls `listener` with each new view, and now if there is one."""
        self._state.add_listener(listener)

    async def wait_for_view(self) -> document.View:
        """Waits until there is a version and returns it."""
        return await self._state.wait_for_version(1)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force and returns it."""
        return await self._state.wait_for_version(version)

    def record_peer_version(self, peer: ids.InstanceId, version: int) -> None:
        """Tells which version another instance has in force."""
        if self._contact is None:
            return
        if self._contact.note_version(peer, version):
            self._hint.set()

    def hold(
        self, held: tuple[drain_marks.Mark, ...]
    ) -> tuple[drain_marks.Mark, ...]:
        """Puts marks in force and stores them when the service answers.

        Returns:
            The marks that were not known here.
        """
        return self._state.hold(held)

    async def receive_marks(self, data: bytes) -> None:
        """Holds marks that another instance sends and passes them on.

        Raises:
            snapshot.SnapshotError: The bytes are not marks.
        """
        new = self.hold(snapshot.decode_marks(data))
        if new and self._contact is not None:
            self._start(self._contact.forward(new))

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns this instance's state for another one.

        Args:
            newer_than: Version that the other has.
            known_sections: Sections that need not travel.
            wait_s: How long to wait for a newer version, in seconds.
        """
        return await self._state.make_snapshot(
            newer_than, known_sections, wait_s
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event(
                "configuration_task_failed",
                "ERROR",
                reason=repr(task.exception()),
            )

    async def probe(self) -> bool:
        """Asks the key-value service and returns whether it answers."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._read_head()
        except (errors.PoplarwickError, TimeoutError):
            self._is_connected.clear()
        return self.is_connected

    async def _watch(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            version = self.version
            try:
                await self._follow()
            except errors.PoplarwickError as error:
                logs.log_event(
                    "configuration_watch_lost", "WARNING", reason=error
                )
            self._is_connected.clear()
            self._was_tried.set()
            if self.version > version:
                delay_s = MIN_RETRY_DELAY_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _follow(self) -> None:
        head = await self._read_head()
        if head.record is not None:
            await self._fetch(head.record)
        start = kv.Revision(head.revision + 1)
        async for batch in self._kv.watch(self._store.head_key, start):
            self._note_service()
            newest = batch[-1].entry if batch else None
            if newest is not None:
                await self._fetch(record.decode_record(newest.value))

    async def _read_head(self) -> store.Head:
        before = self.version
        head = await self._store.read_head()
        self._note_service()
        self._was_tried.set()
        stored = head.record.version if head.record is not None else 0
        if stored < before:
            logs.log_event(
                "configuration_head_behind",
                "ERROR",
                stored=stored,
                version=before,
            )
        return head

    def _note_service(self) -> None:
        self._is_connected.set()
        self._last_answer_s = clock.now_s()

    async def _fetch(self, head: record.VersionRecord) -> None:
        if head.version <= self.version:
            return
        known = self._state.sections
        if self._contact is not None and any(
            digest not in known for digest in head.sections
        ):
            await self._contact.pull_from_parent(head)
        if head.version <= self.version:
            return
        self._state.apply(
            await self._store.read_text(head, self._state.sections)
        )

    async def _keep_contact(self) -> None:
        """Asks other instances for what is newer, and probes the service.

        The watch opens its connection anew without telling, so silence of the
        service shows in a probe only. Instances that reach each other do not
        probe, and the service is spared.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_GRACE_S):
                await self._was_tried.wait()
        while True:
            if self._contact is not None:
                await self._ask_peers(self._contact)
            if self.isolated_s > PROBE_AFTER_S:
                await self.probe()
            period_s = PEER_PERIOD_S * random.uniform(0.5, 1.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._hint.wait()
                    # Most often the watch brings the version in this time.
                    await asyncio.sleep(PEER_GRACE_S * random.random())
            self._hint.clear()

    async def _ask_peers(self, contact: _contact.PeerContact) -> None:
        if self.view is not None:
            await contact.pull_from_any()
        elif not self.is_connected:
            await contact.learn_first()

    def _rank_own(self, key: str) -> int:
        return self._contact.rank_own(key) if self._contact is not None else 0
