"""Pulls versions and held drain marks from other instances."""

from __future__ import annotations

import asyncio
import contextlib
import random

import xxhash

from poplarwick_configuration import drain_marks
from poplarwick_configuration import exchange
from poplarwick_configuration import record
from poplarwick_configuration import snapshot
from poplarwick_configuration import state
from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_core import metrics

PARENT_WAIT_S = 0.8
FETCH_TIMEOUT_S = 2.0
PARENT_TIMEOUT_S = 1.0
TREE_FANOUT = 4
FORWARD_PEERS = 2
INITIAL_PEERS = 8

_PULLS = metrics.make_counter(
    "configuration_pulls", "Questions to other instances about versions"
)


class PeerSync:
    """Pulls newer versions and held drain marks from other instances.

    Attributes:
        last_contact_s: Monotonic time of the last contact with a peer.

    Args:
        peers: Transport to the other instances.
        versions: Version and drain marks in force at this instance.
    """

    def __init__(
        self, peers: exchange.Exchange, versions: state.VersionState
    ) -> None:
        self.last_contact_s = clock.now_s()
        self._peers = peers
        self._state = versions
        self._newer_peer: ids.InstanceId | None = None

    def record_version(self, peer: ids.InstanceId, version: int) -> bool:
        """Records the version of a peer.

        Returns:
            Whether it is newer than the version in force here.
        """
        self.last_contact_s = clock.now_s()
        if version <= self._state.version:
            return False
        self._newer_peer = peer
        return True

    def rank_local(self, key: str) -> int:
        """Returns the rank of this instance in the order for a key."""
        local = self._peers.own
        instances = (local, *self._peers.list_peers())
        return rank_instances(instances, key).index(local)

    async def pull_initial(self) -> None:
        """Pulls the newest version that a sample of instances has.

        A single instance could lag behind the version that this instance had
        before a restart.
        """
        peers = list(self._peers.list_peers())
        random.shuffle(peers)
        replies = await asyncio.gather(
            *(self._fetch(peer, 0) for peer in peers[:INITIAL_PEERS])
        )
        snapshots = [reply for reply in replies if reply is not None]
        for found in sorted(snapshots, key=snapshot.get_version, reverse=True):
            self._apply(found)

    async def pull_from_any(self) -> None:
        """Pulls from the last peer seen with a newer version, or any peer."""
        version = self._state.version
        peer, self._newer_peer = self._newer_peer, None
        if peer is not None:
            await self._pull(peer, version, tuple(self._state.sections))
            return
        peers = self._peers.list_peers()
        if peers:
            # A random peer seldom has a newer version, so the request omits the
            # list of known sections.
            await self._pull(random.choice(peers), version)

    async def pull_from_parent(self, head: record.VersionRecord) -> None:
        """Pulls from the parent in a tree whose root reads from the store."""
        parent = find_parent(
            self._peers.own, self._peers.list_peers(), head.version
        )
        if parent is not None:
            # Versions older than the head are of no use, in particular after a
            # restart.
            await self._pull(
                parent,
                head.version - 1,
                tuple(self._state.sections),
                PARENT_WAIT_S,
                PARENT_TIMEOUT_S,
            )

    async def forward(self, held: tuple[drain_marks.Mark, ...]) -> None:
        """Forwards drain marks to a few random instances."""
        peers = list(self._peers.list_peers())
        random.shuffle(peers)
        data = snapshot.encode_marks(held)
        for peer in peers[:FORWARD_PEERS]:
            with contextlib.suppress(errors.PoplarwickError):
                await self._peers.send_marks(peer, data)

    async def _pull(
        self,
        peer: ids.InstanceId,
        newer_than: int,
        known_sections: tuple[str, ...] = (),
        wait_s: float = 0.0,
        timeout_s: float = FETCH_TIMEOUT_S,
    ) -> None:
        found = await self._fetch(
            peer, newer_than, known_sections, wait_s, timeout_s
        )
        if found is not None:
            self._apply(found)

    async def _fetch(
        self,
        peer: ids.InstanceId,
        newer_than: int,
        known_sections: tuple[str, ...] = (),
        wait_s: float = 0.0,
        timeout_s: float = FETCH_TIMEOUT_S,
    ) -> snapshot.Snapshot | None:
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._peers.fetch_snapshot(
                    peer,
                    newer_than=newer_than,
                    known_sections=known_sections,
                    wait_s=wait_s,
                )
            self.last_contact_s = clock.now_s()
            found = snapshot.decode_snapshot(data)
        except (errors.PoplarwickError, TimeoutError) as error:
            reason = str(error) or "timeout"
            logs.log_event(
                "configuration_pull_failed", peer=peer, reason=reason
            )
            _PULLS.add(1, {"result": "failed"})
            return None
        _PULLS.add(1, {"result": "answered"})
        return found

    def _apply(self, found: snapshot.Snapshot) -> None:
        try:
            self._state.apply_snapshot(found)
        except errors.PoplarwickError as error:
            logs.log_event("configuration_refused", "ERROR", reason=error)


def find_parent(
    local: ids.InstanceId, others: tuple[ids.InstanceId, ...], version: int
) -> ids.InstanceId | None:
    """Returns the parent of this instance in the distribution tree.

    The order of the instances in the tree depends on the version, so that the
    load of distributing versions is spread over the instances.

    Args:
        local: This instance.
        others: The other instances.
        version: The version to distribute.

    Returns:
        The instance to pull the version from, or None for the root.
    """
    ranked = rank_instances((local, *others), str(version))
    rank = ranked.index(local)
    return ranked[(rank - 1) // TREE_FANOUT] if rank > 0 else None


def rank_instances(
    instances: tuple[ids.InstanceId, ...], key: str
) -> list[ids.InstanceId]:
    """Returns the instances in an order that depends on the key."""
    return sorted(
        set(instances),
        key=lambda instance: (
            xxhash.xxh64_intdigest(f"{key}:{instance}".encode()),
            instance,
        ),
    )
