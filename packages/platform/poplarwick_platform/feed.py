"""Keeps a mirror in sync with the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import log_events
from poplarwick_platform import mirror

MIN_RETRY_DELAY_S = 0.1
"""First delay after a failed call; limits an instance to ten calls a second to
a store that resets connections at once."""

MAX_RETRY_DELAY_S = 0.6
"""Longest delay after a failed call. Configuration must be in force within two
seconds of the store's return; this leaves over one second for the read."""

IDLE_POLL_PERIOD_S = 0.1
"""Period at which an idle feed checks whether it is needed."""


GATHER_PERIOD_S = 0.5
"""Shortest time between two watches of an instance that needs changes soon, but
not at once. When a fleet starts, each of its instances causes a change that all
others watch for; configurations come into force within two seconds."""


class Feed:
    """Reads all keys once, then follows their changes.

    Args:
        client: Client of the service.
        target: Mirror to keep in sync.
        on_reachable: Called with whether the service answers each time that
            this changes.
        is_needed: Returns whether this feed must follow the service; other
            instances can forward the changes instead.
        is_prompt: Returns whether changes must be known at once; if not, they
            are gathered, so that a burst of changes costs few calls.

    Attributes:
        is_reachable: Whether the last call to the service succeeded.
        is_following: Whether the feed currently follows the service.
    """

    def __init__(
        self,
        client: kv.KvClient,
        target: mirror.Mirror,
        on_reachable: Callable[[bool], None],
        is_needed: Callable[[], bool] = lambda: True,
        is_prompt: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_prompt = is_prompt
        self._watched_at_s = -GATHER_PERIOD_S
        self.is_reachable = False
        self.is_following = False
        self._client = client
        self._mirror = target
        self._on_reachable = on_reachable
        self._is_needed = is_needed

    @property
    def receives_store_updates(self) -> bool:
        """Whether the feed currently receives changes from the service."""
        return self.is_following and self.is_reachable

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the feed follows the service and gets no answer."""
        return self.is_following and not self.is_reachable

    async def run(self) -> None:
        """Follows the service while needed, until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            self.is_following = self._is_needed()
            if not self.is_following:
                await asyncio.sleep(IDLE_POLL_PERIOD_S)
                continue
            try:
                if not self._mirror.revision:
                    await self._read()
                await self._follow()
                retry_delay_s = MIN_RETRY_DELAY_S
                continue
            except (kv.CompactedError, kv.EraChangedError) as error:
                logs.log(log_events.StoreHistoryGone(reason=str(error)))
                retry_delay_s = await self._resync(retry_delay_s)
                continue
            except kv.KvError as error:
                self._set_reachable(False, error)
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

    async def _resync(self, retry_delay_s: float) -> float:
        """Reads all keys after the history was compacted or replaced.

        Returns:
            Delay in seconds after the next failure.
        """
        try:
            await self._read()
        except kv.KvError as error:
            self._set_reachable(False, error)
            await asyncio.sleep(retry_delay_s)
            return min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
        return MIN_RETRY_DELAY_S

    async def _read(self) -> None:
        snapshot = await self._client.read(
            "", kv.Purpose.CONFIGURATION, is_prefix=True
        )
        self._set_reachable(True)
        self._mirror.apply_snapshot(snapshot)

    async def _follow(self) -> None:
        await self._gather()
        era = self._mirror.era
        start = kv.Revision(self._mirror.revision + 1)
        async for changes in self._client.watch(
            "", start, is_prefix=True, era=era
        ):
            self._set_reachable(True)
            if self._mirror.era != era:
                # Another instance has sent the state of a later era.
                return
            newest = max(
                (change.revision for change in changes),
                default=self._mirror.revision,
            )
            self._mirror.apply_changes(changes, kv.Position(era, newest))
            if not self._is_needed():
                return
            await self._gather()

    async def _gather(self) -> None:
        """Waits until changes have gathered, unless they are needed at once."""
        while not self._is_prompt():
            wait_s = self._watched_at_s + GATHER_PERIOD_S - clock.now_s()
            if wait_s <= 0:
                break
            await asyncio.sleep(min(wait_s, IDLE_POLL_PERIOD_S))
        self._watched_at_s = clock.now_s()

    def _set_reachable(self, reachable: bool, reason: object = None) -> None:
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        revision = self._mirror.revision
        if reachable:
            logs.log(log_events.StoreReached(revision=revision))
        else:
            logs.log(
                log_events.StoreLost(reason=str(reason), revision=revision)
            )
        self._on_reachable(reachable)
