"""Follows the newest version of an environment's document."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from collections.abc import Coroutine
from typing import Any
from typing import Self

from poplarwick_configuration import _mark_writer
from poplarwick_configuration import _peer_sync
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
WATCH_GRACE_S = 0.3
PEER_PULL_INTERVAL_S = 2.0
PROBE_AFTER_S = 5.0
PROBE_TIMEOUT_S = 1.0
INITIAL_READ_TIMEOUT_S = 1.0


class Follower:
    """Keeps the newest version in force and watches for newer ones.

    Entering the context starts the watch; leaving it stops the watch. The
    version never decreases. Drain marks that could not be stored yet are also
    in force, and are stored once the key-value service is available again.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
        peers: Transport to the other instances; None if there are none.
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
        self._peer_sync: _peer_sync.PeerSync | None = None
        self._writer = _mark_writer.MarkWriter(
            self._store, self._state, self._rank_local
        )
        self._has_newer_version = asyncio.Event()
        self._is_connected = asyncio.Event()
        self._has_tried = asyncio.Event()
        self._last_response_s = clock.now_s()
        self._tasks: set[asyncio.Task[None]] = set()
        if peers is not None:
            self.use_peers(peers)

    async def __aenter__(self) -> Self:
        """Starts following; does not wait for the key-value service."""
        self._start(self._watch())
        self._start(self._writer.run())
        self._start(self._sync_with_peers())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops following; the last version stays readable."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def view(self) -> document.View | None:
        """View of the version in force, or None before the first version."""
        return self._state.view

    @property
    def version(self) -> int:
        """Number of the version in force, or 0 before the first version."""
        return self._state.version

    @property
    def stored(self) -> store.StoredText | None:
        """Record and text of the version in force."""
        return self._state.stored

    @property
    def held(self) -> tuple[drain_marks.Mark, ...]:
        """Drain marks in force that the version in force does not contain."""
        return self._state.held

    @property
    def known_sections(self) -> dict[str, bytes]:
        """Sections of the version in force, by digest."""
        return self._state.sections

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the key-value service succeeded."""
        return self._is_connected.is_set()

    @property
    def isolated_s(self) -> float:
        """Seconds since the last contact with the service or a peer."""
        last_s = self._last_response_s
        if self._peer_sync is not None:
            last_s = max(last_s, self._peer_sync.last_contact_s)
        return clock.now_s() - last_s

    def use_peers(self, peers: exchange.Exchange) -> None:
        """Sets the transport to the other instances.

        Call it before entering the context.
        """
        self._peer_sync = _peer_sync.PeerSync(peers, self._state)

    def add_listener(self, listener: state.ViewListener) -> None:
        """Registers a listener for views.

        It is called with each new view, and at once if there is a view.
        """
        self._state.add_listener(listener)

    async def wait_for_view(self) -> document.View:
        """Waits until a version is in force and returns its view."""
        return await self._state.wait_for_version(1)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force.

        Returns:
            The view of the version in force.
        """
        return await self._state.wait_for_version(version)

    def record_peer_version(self, peer: ids.InstanceId, version: int) -> None:
        """Records the version in force at another instance."""
        if self._peer_sync is None:
            return
        if self._peer_sync.record_version(peer, version):
            self._has_newer_version.set()

    def hold(
        self, held: tuple[drain_marks.Mark, ...]
    ) -> tuple[drain_marks.Mark, ...]:
        """Puts drain marks in force and stores them once the service responds.

        Returns:
            The drain marks that are newly held.
        """
        return self._state.hold(held)

    async def receive_marks(self, data: bytes) -> None:
        """Holds drain marks from another instance and forwards them.

        Raises:
            snapshot.SnapshotError: The data does not decode to drain marks.
        """
        new = self.hold(snapshot.decode_marks(data))
        if new and self._peer_sync is not None:
            self._start(self._peer_sync.forward(new))

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns the encoded state of this instance for another one.

        Args:
            newer_than: Version in force at the other instance.
            known_sections: Digests of sections to leave out.
            wait_s: Maximum time to wait for a newer version, in seconds.
        """
        return await self._state.make_snapshot(
            newer_than, known_sections, wait_s
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event(
                "configuration_task_failed",
                "ERROR",
                reason=repr(task.exception()),
            )

    async def probe(self) -> bool:
        """Probes the key-value service and returns whether it responds."""
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
            self._has_tried.set()
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
            self._record_response()
            newest = batch[-1].entry if batch else None
            if newest is not None:
                await self._fetch(record.decode_record(newest.value))

    async def _read_head(self) -> store.Head:
        before = self.version
        head = await self._store.read_head()
        self._record_response()
        self._has_tried.set()
        stored = head.record.version if head.record is not None else 0
        if stored < before:
            logs.log_event(
                "configuration_head_behind",
                "ERROR",
                stored=stored,
                version=before,
            )
        return head

    def _record_response(self) -> None:
        self._is_connected.set()
        self._last_response_s = clock.now_s()

    async def _fetch(self, head: record.VersionRecord) -> None:
        if head.version <= self.version:
            return
        known_sections = self._state.sections
        if self._peer_sync is not None and any(
            digest not in known_sections for digest in head.sections
        ):
            await self._peer_sync.pull_from_parent(head)
        if head.version <= self.version:
            return
        self._state.apply(
            await self._store.read_text(head, self._state.sections)
        )

    async def _sync_with_peers(self) -> None:
        """Pulls from other instances periodically and probes the service.

        The watch reconnects without notice, so only a probe detects that the
        key-value service does not respond. Instances that reach each other do
        not probe, which limits the load on the service.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_READ_TIMEOUT_S):
                await self._has_tried.wait()
        while True:
            if self._peer_sync is not None:
                await self._pull_from_peers(self._peer_sync)
            if self.isolated_s > PROBE_AFTER_S:
                await self.probe()
            interval_s = PEER_PULL_INTERVAL_S * random.uniform(0.5, 1.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._has_newer_version.wait()
                    # The watch usually delivers the version within this time.
                    await asyncio.sleep(WATCH_GRACE_S * random.random())
            self._has_newer_version.clear()

    async def _pull_from_peers(self, peer_sync: _peer_sync.PeerSync) -> None:
        if self.view is not None:
            await peer_sync.pull_from_any()
        elif not self.is_connected:
            await peer_sync.pull_initial()

    def _rank_local(self, key: str) -> int:
        return (
            self._peer_sync.rank_local(key)
            if self._peer_sync is not None
            else 0
        )
