"""Keeps an instance at the newest version of its environment's document."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types
from collections.abc import Coroutine
from typing import Any
from typing import Self

import xxhash

from poplarwick_configuration import changes
from poplarwick_configuration import document
from poplarwick_configuration import exchange
from poplarwick_configuration import marks
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
PARENT_WAIT_S = 2.0
TREE_FANOUT = 4
FORWARD_PEERS = 2
START_PEERS = 8
START_GRACE_S = 1.0
MARK_WRITERS = 3
WRITER_PATIENCE_S = 15.0
STORE_JITTER_S = 1.0


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
        self._peers = peers
        self._state = state.VersionState(environment)
        self._hint = asyncio.Event()
        self._hinted_peer: ids.InstanceId | None = None
        self._has_unstored = asyncio.Event()
        self._is_connected = asyncio.Event()
        self._was_tried = asyncio.Event()
        self._last_contact_s = clock.now_s()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Starts to follow; a missing service does not delay the start."""
        self._start(self._watch())
        self._start(self._store_held())
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
    def held(self) -> tuple[marks.Mark, ...]:
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
        return clock.now_s() - self._last_contact_s

    def use_peers(self, peers: exchange.Exchange) -> None:
        """Sets how other instances are reached, before the context opens."""
        self._peers = peers

    def add_listener(self, listener: state.ViewListener) -> None:
        """Calls `listener` with each new view, and now if there is one."""
        self._state.add_listener(listener)

    async def wait_for_view(self) -> document.View:
        """Waits until there is a version and returns it."""
        return await self._state.wait_for_version(1)

    async def wait_for_version(self, version: int) -> document.View:
        """Waits until `version` or a newer one is in force and returns it."""
        return await self._state.wait_for_version(version)

    def note_peer_version(self, peer: ids.InstanceId, version: int) -> None:
        """Tells which version another instance has in force."""
        self._last_contact_s = clock.now_s()
        if version > self.version:
            self._hinted_peer = peer
            self._hint.set()

    def hold(self, held: tuple[marks.Mark, ...]) -> tuple[marks.Mark, ...]:
        """Puts marks in force and stores them when the service answers.

        Returns:
            The marks that were not known here.
        """
        new = self._state.hold(held)
        if new:
            self._has_unstored.set()
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
            wait_s: How long to wait for a newer version, in seconds.
        """
        return await self._state.make_snapshot(
            newer_than, known_sections, wait_s
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

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
        head = await self._store.read_head()
        self._note_service()
        self._was_tried.set()
        return head

    def _note_service(self) -> None:
        self._is_connected.set()
        self._last_contact_s = clock.now_s()

    async def _fetch(self, head: record.VersionRecord) -> None:
        if head.version <= self.version:
            return
        known = self._state.sections
        if self._peers is not None and not known.keys() >= set(head.sections):
            await self._fetch_from_parent(self._peers, head)
        if head.version <= self.version:
            return
        text = await self._store.read_text(head, self._state.sections)
        self._state.apply(store.StoredText(head, text))

    async def _fetch_from_parent(
        self, peers: exchange.Exchange, head: record.VersionRecord
    ) -> None:
        """Asks the instance above in a tree whose root reads the service."""
        parent = find_parent(peers.own, peers.list_peers(), head.version)
        if parent is not None:
            # An older version is of no use, least of all after a restart.
            await self._pull(peers, parent, head.version - 1, PARENT_WAIT_S)

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
            if self._peers is not None:
                await self._ask_peers(self._peers)
            if self.isolated_s > PROBE_AFTER_S:
                await self.probe()
            period_s = PEER_PERIOD_S * random.uniform(0.5, 1.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._hint.wait()
                    # Most often the watch brings the version in this time.
                    await asyncio.sleep(PEER_GRACE_S * random.random())
            self._hint.clear()

    async def _ask_peers(self, peers: exchange.Exchange) -> None:
        if self.view is not None:
            await self._pull_from_any(peers)
        elif not self.is_connected:
            await self._learn_first(peers)

    async def _learn_first(self, peers: exchange.Exchange) -> None:
        """Starts from the newest version that several instances have.

        One instance alone might lag behind what this one had before it was
        restarted.
        """
        known = list(peers.list_peers())
        random.shuffle(known)
        answers = await asyncio.gather(
            *(self._fetch_snapshot(peers, one) for one in known[:START_PEERS])
        )
        found = [answer for answer in answers if answer is not None]
        for answer in sorted(found, key=snapshot.read_version, reverse=True):
            self._adopt(answer)

    def _adopt(self, found: snapshot.Snapshot) -> None:
        try:
            if self._state.adopt_snapshot(found):
                self._has_unstored.set()
        except errors.PoplarwickError as error:
            logs.log_event("configuration_refused", "ERROR", reason=error)

    async def _pull_from_any(self, peers: exchange.Exchange) -> None:
        """Asks the instance last heard of with a newer version, or any."""
        peer, self._hinted_peer = self._hinted_peer, None
        if peer is not None:
            await self._pull(peers, peer, self.version, 0.0)
            return
        known = peers.list_peers()
        if known:
            # Seldom brings a version, so the list of sections is spared.
            found = await self._fetch_snapshot(
                peers, random.choice(known), self.version
            )
            if found is not None:
                self._adopt(found)

    async def _pull(
        self,
        peers: exchange.Exchange,
        peer: ids.InstanceId,
        newer_than: int,
        wait_s: float,
    ) -> None:
        known = tuple(self._state.sections)
        found = await self._fetch_snapshot(
            peers, peer, newer_than, known, wait_s
        )
        if found is not None:
            self._adopt(found)

    async def _fetch_snapshot(
        self,
        peers: exchange.Exchange,
        peer: ids.InstanceId,
        newer_than: int = 0,
        known_sections: tuple[str, ...] = (),
        wait_s: float = 0.0,
    ) -> snapshot.Snapshot | None:
        try:
            data = await peers.fetch_snapshot(
                peer,
                newer_than=newer_than,
                known_sections=known_sections,
                wait_s=wait_s,
            )
            self._last_contact_s = clock.now_s()
            return snapshot.decode_snapshot(data)
        except errors.PoplarwickError as error:
            logs.log_event("configuration_pull_failed", peer=peer, reason=error)
            return None

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

        A few instances try for each mark, the others only if it takes long.
        The change id lets one of them succeed.
        """
        delay_s = STORE_JITTER_S
        while True:
            await self._has_unstored.wait()
            await asyncio.sleep(delay_s * random.uniform(0.2, 1.0))
            for mark in self._state.unstored:
                if self._may_store(mark):
                    await self._store_mark(mark)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
            if not self._state.unstored:
                self._has_unstored.clear()
                delay_s = STORE_JITTER_S

    def _may_store(self, mark: marks.Mark) -> bool:
        if self._peers is None or self.isolated_s > WRITER_PATIENCE_S:
            return True
        own = self._peers.own
        ranked = rank_instances(
            (own, *self._peers.list_peers()), mark.change_id
        )
        rank = ranked.index(own)
        age_s = clock.wall_time_s() - mark.time_s
        return rank < MARK_WRITERS or age_s > rank * WRITER_PATIENCE_S

    async def _store_mark(self, mark: marks.Mark) -> None:
        made = await self._store.make_change(
            changes.TakeOut(mark.target, is_forced=True),
            author=mark.author,
            change_id=mark.change_id,
            time_s=mark.time_s,
            known=self._state.sections,
        )
        if made.is_ok():
            self._state.note_stored(mark, made.unwrap().version)
        elif isinstance(made.unwrap_err(), changes.UnknownTarget):
            self._state.drop(mark)


def find_parent(
    own: ids.InstanceId, others: tuple[ids.InstanceId, ...], version: int
) -> ids.InstanceId | None:
    """Returns the instance to ask for a version, or None for the root.

    Instances form a tree whose order differs with each version, so that the
    load of passing versions on is spread.
    """
    ranked = rank_instances((own, *others), str(version))
    rank = ranked.index(own)
    return ranked[(rank - 1) // TREE_FANOUT] if rank > 0 else None


def rank_instances(
    instances: tuple[ids.InstanceId, ...], key: str
) -> list[ids.InstanceId]:
    """Returns instances in an order that differs with each key."""
    return sorted(
        set(instances),
        key=lambda one: (xxhash.xxh64_intdigest(f"{key}:{one}".encode()), one),
    )
