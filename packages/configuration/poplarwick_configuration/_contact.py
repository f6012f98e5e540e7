"""Takes versions and held marks from other instances."""

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
START_PEERS = 8

_PULLS = metrics.make_counter(
    "configuration_pulls", "Questions to other instances about versions"
)


class PeerContact:
    """Asks other instances for what is newer.

    Attributes:
        last_contact_s: Monotonic time at which a peer was last heard of.

    Args:
        peers: Reaches the other instances.
        versions: What is in force here.
    """

    def __init__(
        self, peers: exchange.Exchange, versions: state.VersionState
    ) -> None:
        self.last_contact_s = clock.now_s()
        self._peers = peers
        self._state = versions
        self._hinted: ids.InstanceId | None = None

    def note_version(self, peer: ids.InstanceId, version: int) -> bool:
        """Notes what a peer has; returns whether it is newer than here."""
        self.last_contact_s = clock.now_s()
        if version <= self._state.version:
            return False
        self._hinted = peer
        return True

    def rank_own(self, key: str) -> int:
        """Returns this instance's place in an order that differs by key."""
        own = self._peers.own
        instances = (own, *self._peers.list_peers())
        return rank_instances(instances, key).index(own)

    async def learn_first(self) -> None:
        """Starts from the newest version that several instances have.

        One instance alone might lag behind what this one had before it was
        restarted.
        """
        known = list(self._peers.list_peers())
        random.shuffle(known)
        answers = await asyncio.gather(
            *(self._fetch(one, 0) for one in known[:START_PEERS])
        )
        found = [answer for answer in answers if answer is not None]
        for answer in sorted(found, key=snapshot.read_version, reverse=True):
            self._adopt(answer)

    async def pull_from_any(self) -> None:
        """Asks the instance last heard of with a newer version, or any."""
        version = self._state.version
        peer, self._hinted = self._hinted, None
        if peer is not None:
            await self._pull(peer, version, tuple(self._state.sections))
            return
        known = self._peers.list_peers()
        if known:
            # Seldom brings a version, so the list of sections is spared.
            await self._pull(random.choice(known), version)

    async def pull_from_parent(self, head: record.VersionRecord) -> None:
        """Asks the instance above in a tree whose root reads the service."""
        parent = find_parent(
            self._peers.own, self._peers.list_peers(), head.version
        )
        if parent is not None:
            # An older version is of no use, least of all after a restart.
            await self._pull(
                parent,
                head.version - 1,
                tuple(self._state.sections),
                PARENT_WAIT_S,
                PARENT_TIMEOUT_S,
            )

    async def forward(self, held: tuple[drain_marks.Mark, ...]) -> None:
        """Passes marks on to a few other instances."""
        known = list(self._peers.list_peers())
        random.shuffle(known)
        data = snapshot.encode_marks(held)
        for peer in known[:FORWARD_PEERS]:
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
            self._adopt(found)

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

    def _adopt(self, found: snapshot.Snapshot) -> None:
        try:
            self._state.adopt_snapshot(found)
        except errors.PoplarwickError as error:
            logs.log_event("configuration_refused", "ERROR", reason=error)


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
