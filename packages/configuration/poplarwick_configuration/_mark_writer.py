"""Stores held marks once the key-value service answers again."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from poplarwick_configuration import changes
from poplarwick_configuration import drain_marks
from poplarwick_configuration import state
from poplarwick_configuration import store
from poplarwick_core import clock

MARK_WRITERS = 3
WRITER_PATIENCE_S = 15.0
STORE_JITTER_S = 1.0
MAX_RETRY_DELAY_S = 5.0


class MarkWriter:
    """Stores held marks.

    A few instances try for each mark, the others only if it takes long. The
    change id lets one of them succeed.

    Args:
        documents: Where marks are stored.
        versions: What is in force here.
        rank_own: Returns this instance's place in an order that differs by
            key; 0 where it is alone.
    """

    def __init__(
        self,
        documents: store.DocumentStore,
        versions: state.VersionState,
        rank_own: Callable[[str], int],
    ) -> None:
        self._store = documents
        self._state = versions
        self._rank_own = rank_own

    async def run(self) -> None:
        """Runs until cancelled."""
        delay_s = STORE_JITTER_S
        while True:
            await self._state.wait_for_unstored()
            await asyncio.sleep(delay_s * random.uniform(0.2, 1.0))
            for mark in self._state.unstored:
                if self._may_store(mark):
                    await self._store_mark(mark)
            is_done = not self._state.unstored
            longer_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
            delay_s = STORE_JITTER_S if is_done else longer_s

    def _may_store(self, mark: drain_marks.Mark) -> bool:
        rank = self._rank_own(mark.change_id)
        age_s = clock.wall_time_s() - mark.time_s
        return rank < MARK_WRITERS or age_s > rank * WRITER_PATIENCE_S

    async def _store_mark(self, mark: drain_marks.Mark) -> None:
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
