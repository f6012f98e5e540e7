"""Keeps a mirror up to date from the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import log_events
from poplarwick_platform import mirror

RETRY_MIN_S = 0.1
"""First pause after a failed call; a store that resets at once is not hit
more than ten times a second by an instance."""

RETRY_MAX_S = 0.6
"""Longest pause; leaves over a second of a two-second bound on configuration
for the read itself once the store is back."""

REST_S = 0.1
"""Period at which a feed that is not needed looks whether it is."""


class Feed:
    """Reads all keys once, then follows their changes.

    Args:
        client: Client of the service.
        target: Mirror to keep up to date.
        on_reachable: Called with whether the service answers, at each change.
        is_needed: Tells whether the mirror is to be kept up to date from
            here; other instances may do it.
    """

    def __init__(
        self,
        client: kv.KvClient,
        target: mirror.Mirror,
        on_reachable: Callable[[bool], None],
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.is_reachable = False
        self.is_following = False
        self._client = client
        self._mirror = target
        self._on_reachable = on_reachable
        self._is_needed = is_needed

    @property
    def receives_store_updates(self) -> bool:
        """Whether changes come in from the service now."""
        return self.is_following and self.is_reachable

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the service is followed and does not answer."""
        return self.is_following and not self.is_reachable

    async def run(self) -> None:
        """Follows the service while needed, until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            self.is_following = self._is_needed()
            if not self.is_following:
                await asyncio.sleep(REST_S)
                continue
            try:
                if not self._mirror.revision:
                    await self._read()
                await self._follow()
                pause_s = RETRY_MIN_S
                continue
            except kv.CompactedError as error:
                logs.log(log_events.StoreHistoryGone(reason=str(error)))
                pause_s = await self._read_again(pause_s)
                continue
            except kv.KvError as error:
                self._note(False, error)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    async def _read_again(self, pause_s: float) -> float:
        """Reads all keys after a gap; returns the pause after a failure."""
        try:
            await self._read()
        except kv.KvError as error:
            self._note(False, error)
            await asyncio.sleep(pause_s)
            return min(pause_s * 2, RETRY_MAX_S)
        return RETRY_MIN_S

    async def _read(self) -> None:
        snapshot = await self._client.read(
            "", kv.Purpose.CONFIGURATION, is_prefix=True
        )
        self._note(True)
        self._mirror.apply_snapshot(snapshot)

    async def _follow(self) -> None:
        start = kv.Revision(self._mirror.revision + 1)
        async for changes in self._client.watch("", start, is_prefix=True):
            self._note(True)
            newest = max(
                (change.revision for change in changes),
                default=self._mirror.revision,
            )
            self._mirror.apply_changes(changes, newest)
            if not self._is_needed():
                return

    def _note(self, reachable: bool, reason: object = None) -> None:
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
