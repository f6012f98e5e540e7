"""Keeps a mirror up to date from the platform's key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from poplarwick_core import clock
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


class Feed:
    """Reads all keys once, then follows their changes.

    Args:
        client: Client of the service.
        target: Mirror to keep up to date.
        on_reachable: Called with whether the service answers, at each change.
    """

    def __init__(
        self,
        client: kv.KvClient,
        target: mirror.Mirror,
        on_reachable: Callable[[bool], None],
    ) -> None:
        self.is_reachable = False
        self.answered_at_s = 0.0
        self._client = client
        self._mirror = target
        self._on_reachable = on_reachable

    async def run(self) -> None:
        """Follows the service until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._read()
                pause_s = RETRY_MIN_S
                await self._follow()
            except kv.CompactedError as error:
                logs.log(log_events.StoreHistoryGone(reason=str(error)))
                continue
            except kv.KvError as error:
                self._note(False, error)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)

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

    def _note(self, reachable: bool, reason: object = None) -> None:
        if reachable:
            self.answered_at_s = clock.now_s()
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
