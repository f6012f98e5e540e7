"""Keeps an instance at the newest version of its environment's document."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import xxhash

from poplarwick_configuration import changes
from poplarwick_configuration import document
from poplarwick_configuration import exchange
from poplarwick_configuration import failures
from poplarwick_configuration import holding
from poplarwick_configuration import marks
from poplarwick_configuration import record
from poplarwick_configuration import sections
from poplarwick_configuration import snapshot
from poplarwick_configuration import store
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_core import jsonc
from poplarwick_core import logs
from poplarwick_platform import kv

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
PEER_GRACE_S = 0.3
PEER_PERIOD_S = 10.0
PEER_PERIOD_CUT_OFF_S = 1.0
PARENT_WAIT_S = 2.0
TREE_FANOUT = 4
FORWARD_PEERS = 2
STORE_JITTER_S = 1.0

ViewListener = Callable[[document.View], None]


class Follower:
    """Holds the newest version and watches for newer ones.

    Entering the context starts the watch; leaving it stops the watch. The
    version never goes down. Marks that could not be stored yet are in force
    besides, and are stored when the service answers again.
    """

    def __init__(
        self,
        client: kv.KvClient,
        environment: str,
        peers: exchange.Exchange | None = None,
    ) -> None:
        self._kv = client
        self._store = store.DocumentStore(client, environment)
        self._environment = environment
        self._peers = peers
        self._stored: store.StoredText | None = None
        self._parsed: document.Document | None = None
        self._view: document.View | None = None
        self._sections: dict[str, bytes] = {}
        self._held = holding.HeldMarks()
        self._listeners: list[ViewListener] = []
        self._changed = asyncio.Event()
        self._hint = asyncio.Event()
        self._hinted_peer: ids.InstanceId | None = None
        self._has_unstored = asyncio.Event()
        self._is_connected = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Follower:
        """Starts to follow; a missing service does not delay the start."""
        self._start(self._watch())
        self._start(self._store_held())
        if self._peers is not None:
            self._start(self._ask_peers(self._peers))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stops to follow; the last version stays readable."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    @property
    def view(self) -> document.View | None:
        """The version in force here, or None before the first one."""
        return self._view

    @property
    def version(self) -> int:
        """Number of the version in force here; 0 before the first one."""
        return self._stored.record.version if self._stored is not None else 0

    @property
    def stored(self) -> store.StoredText | None:
        """Record and text of the version in force here."""
        return self._stored

    @property
    def held(self) -> tuple[marks.Mark, ...]:
        """Marks in force here that are not part of a version yet."""
        return self._held.all

    @property
    def known_sections(self) -> dict[str, bytes]:
        """Sections of the version in force here, by digest."""
        return self._sections

    @property
    def is_connected(self) -> bool:
        """Whether the key-value service answered last time."""
        return self._is_connected.is_set()

    def add_listener(self, listener: ViewListener) -> None:
        """Calls `listener` with each new view, and now if there is one."""
        self._listeners.append(listener)
        if self._view is not None:
            listener(self._view)

    async def wait_for_view(self) -> document.View:
        """Waits until there is a version and returns it."""
        return await self.wait_for_version(1)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force and returns it."""
        while self._view is None or self.version < version:
            await self._changed.wait()
        return self._view

    def note_peer_version(self, peer: ids.InstanceId, version: int) -> None:
        """Tells which version another instance has in force."""
        if version > self.version:
            self._hinted_peer = peer
            self._hint.set()

    def apply(self, stored: store.StoredText) -> bool:
        """Puts a version in force unless the present one is as new.

        Returns:
            Whether the version was put in force.

        Raises:
            errors.DocumentError: The text is not valid; nothing changes.
        """
        new = stored.record
        if new.version <= self.version:
            return False
        if self._stored is None or self._stored.record.digest != new.digest:
            source = f"{self._environment} version {new.version}"
            self._parsed = jsonc.decode_checked(
                stored.text, document.Document, source
            )
            parts = sections.split_text(stored.text)
            self._sections = {sections.digest_bytes(p): p for p in parts}
        self._stored = stored
        self._held.settle(new)
        logs.log_event(
            "configuration_in_force",
            version=new.version,
            author=new.author,
            change=new.change_id,
        )
        self._refresh()
        return True

    def hold(self, held: tuple[marks.Mark, ...]) -> tuple[marks.Mark, ...]:
        """Puts marks in force that are not stored yet.

        Returns:
            The marks that were not known here.
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
            self._has_unstored.set()
            self._refresh()
        return new

    async def receive_marks(self, data: bytes) -> None:
        """Holds marks that another instance sends and passes them on.

        Raises:
            snapshot.SnapshotError: The bytes are not marks.
        """
        new = self.hold(snapshot.decode_marks(data))
        if new and self._peers is not None:
            self._start(self._forward(self._peers, new))

    async def make_snapshot(
        self, newer_than: int, known_sections: tuple[str, ...], wait_s: float
    ) -> bytes:
        """Returns this instance's state for another one.

        Args:
            newer_than: Version that the other has.
            known_sections: Sections that need not travel.
            wait_s: How long to wait for a newer version.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.wait_for_version(newer_than + 1)
        stored = self._stored
        if stored is None or stored.record.version <= newer_than:
            state = snapshot.Snapshot(
                environment=self._environment, held=self.held
            )
            return snapshot.encode_snapshot(state)
        known = set(known_sections)
        state = snapshot.Snapshot(
            environment=self._environment,
            record=stored.record,
            sections={
                digest: self._sections[digest]
                for digest in stored.record.sections
                if digest not in known and digest in self._sections
            },
            held=self.held,
        )
        return snapshot.encode_snapshot(state)

    def _refresh(self) -> None:
        """Computes the view anew and tells the listeners."""
        if self._parsed is not None and self._stored is not None:
            out = (*self._stored.record.out, *self._held.all)
            effective = marks.apply_marks(self._parsed, out)
            self._view = document.View(self.version, effective)
            for listener in tuple(self._listeners):
                listener(self._view)
        self._changed.set()
        self._changed = asyncio.Event()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(coroutine))

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
            if self.version > version:
                delay_s = MIN_RETRY_DELAY_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _follow(self) -> None:
        head = await self._store.read_head()
        self._is_connected.set()
        if head.record is not None:
            await self._fetch(head.record)
        start = kv.Revision(head.revision + 1)
        async for batch in self._kv.watch(self._store.head_key, start):
            newest = batch[-1].entry if batch else None
            if newest is not None:
                await self._fetch(record.decode_record(newest.value))

    async def _fetch(self, head: record.VersionRecord) -> None:
        if head.version <= self.version:
            return
        missing = set(head.sections) - set(self._sections)
        if missing and self._peers is not None:
            await self._fetch_from_parent(self._peers, head)
        if head.version <= self.version:
            return
        text = await self._store.read_text(head, self._sections)
        self.apply(store.StoredText(head, text))

    async def _fetch_from_parent(
        self, peers: exchange.Exchange, head: record.VersionRecord
    ) -> None:
        """Asks the instance above in a tree whose root reads the service."""
        parent = find_parent(peers.own, peers.list_peers(), head.version)
        if parent is None:
            return
        try:
            await self._pull(peers, parent, PARENT_WAIT_S)
        except errors.PoplarwickError as error:
            logs.log_event(
                "configuration_pull_failed", peer=parent, reason=error
            )

    async def _ask_peers(self, peers: exchange.Exchange) -> None:
        """Asks one instance after another for newer versions and marks."""
        while True:
            peer = self._choose_peer(peers)
            if peer is not None:
                try:
                    await self._pull(peers, peer, 0.0)
                except errors.PoplarwickError as error:
                    logs.log_event(
                        "configuration_pull_failed", peer=peer, reason=error
                    )
            is_settled = self.is_connected and self._view is not None
            period_s = PEER_PERIOD_S if is_settled else PEER_PERIOD_CUT_OFF_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s * random.uniform(0.5, 1)):
                    await self._hint.wait()
                    # Most often the watch brings the version in this time.
                    await asyncio.sleep(PEER_GRACE_S * random.random())
            self._hint.clear()

    def _choose_peer(self, peers: exchange.Exchange) -> ids.InstanceId | None:
        hinted, self._hinted_peer = self._hinted_peer, None
        if hinted is not None:
            return hinted
        known = peers.list_peers()
        return random.choice(known) if known else None

    async def _pull(
        self, peers: exchange.Exchange, peer: ids.InstanceId, wait_s: float
    ) -> None:
        data = await peers.fetch_snapshot(
            peer,
            newer_than=self.version,
            known_sections=tuple(self._sections),
            wait_s=wait_s,
        )
        state = snapshot.decode_snapshot(data)
        if state.environment != self._environment:
            raise snapshot.SnapshotError(
                f"{peer} follows the environment {state.environment}"
            )
        self.hold(state.held)
        head = state.record
        if head is None or head.version <= self.version:
            return
        known = {**self._sections, **state.sections}
        if any(digest not in known for digest in head.sections):
            raise failures.MissingError(f"{peer} left sections out")
        text = store.join_sections(head, [known[d] for d in head.sections])
        self.apply(store.StoredText(head, text))

    async def _forward(
        self, peers: exchange.Exchange, held: tuple[marks.Mark, ...]
    ) -> None:
        known = list(peers.list_peers())
        random.shuffle(known)
        data = snapshot.encode_marks(held)
        for peer in known[:FORWARD_PEERS]:
            with contextlib.suppress(errors.PoplarwickError):
                await peers.send_marks(peer, data)

    async def _store_held(self) -> None:
        """Stores held marks once the service answers again.

        All instances try after a random delay; the change id lets one succeed.
        """
        while True:
            await self._has_unstored.wait()
            await self._is_connected.wait()
            await asyncio.sleep(STORE_JITTER_S * random.random())
            for mark in self._held.unstored:
                await self._store_mark(mark)
            if not self._held.unstored:
                self._has_unstored.clear()

    async def _store_mark(self, mark: marks.Mark) -> None:
        made = await self._store.make_change(
            changes.TakeOut(mark.target, is_forced=True),
            author=mark.author,
            change_id=mark.change_id,
            time_s=mark.time_s,
            known=self._sections,
        )
        if made.is_ok():
            self._held.note_stored(mark.change_id, made.unwrap().version)
            if self._stored is not None and self._held.settle(
                self._stored.record
            ):
                self._refresh()
            return
        refusal = made.unwrap_err()
        if isinstance(refusal, changes.UnknownTarget):
            logs.log_event("mark_dropped", "WARNING", target=mark.target)
            self._held.drop(mark.change_id)
            self._refresh()


def find_parent(
    own: ids.InstanceId, others: tuple[ids.InstanceId, ...], version: int
) -> ids.InstanceId | None:
    """Returns the instance to ask for a version, or None for the root.

    Instances form a tree whose order differs with each version, so that the
    load of passing versions on is spread.
    """
    ranked = sorted(
        {own, *others},
        key=lambda one: (
            xxhash.xxh64_intdigest(f"{version}:{one}".encode()),
            one,
        ),
    )
    rank = ranked.index(own)
    return ranked[(rank - 1) // TREE_FANOUT] if rank > 0 else None
