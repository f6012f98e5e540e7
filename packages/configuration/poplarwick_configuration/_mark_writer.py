"""Stores held drain marks once the key-value service is available again."""

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
WRITER_DELAY_PER_RANK_S = 15.0
STORE_JITTER_S = 1.0
MAX_RETRY_DELAY_S = 5.0


class MarkWriter:
    """Stores held drain marks.

    The first `MARK_WRITERS` instances in an order that depends on the mark try
    to store it first, the others only after a delay that grows with their
    rank. The change id ensures that only one of them stores the mark.

    Args:
        documents: Store of the document versions.
        versions: Version and drain marks in force at this instance.
        rank_local: Returns the rank of this instance in an order that depends
            on the key; 0 if there are no other instances.
    """

    def __init__(
        self,
        documents: store.DocumentStore,
        versions: state.VersionState,
        rank_local: Callable[[str], int],
    ) -> None:
        self._store = documents
        self._state = versions
        self._rank_local = rank_local

    async def run(self) -> None:
        """Stores held drain marks until cancelled."""
        delay_s = STORE_JITTER_S
        while True:
            await self._state.wait_for_unstored()
            await asyncio.sleep(delay_s * random.uniform(0.2, 1.0))
            for mark in self._state.unstored:
                if self._may_store(mark):
                    await self._store_mark(mark)
            is_done = not self._state.unstored
            next_delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
            delay_s = STORE_JITTER_S if is_done else next_delay_s

    def _may_store(self, mark: drain_marks.Mark) -> bool:
        rank = self._rank_local(mark.change_id)
        age_s = clock.wall_time_s() - mark.time_s
        return rank < MARK_WRITERS or age_s > rank * WRITER_DELAY_PER_RANK_S

    async def _store_mark(self, mark: drain_marks.Mark) -> None:
        change_result = await self._store.make_change(
            changes.TakeOut(mark.target, is_forced=True),
            author=mark.author,
            change_id=mark.change_id,
            time_s=mark.time_s,
            known_sections=self._state.sections,
        )
        if change_result.is_ok():
            self._state.record_stored(mark, change_result.unwrap().version)
        elif isinstance(change_result.unwrap_err(), changes.UnknownTarget):
            self._state.drop(mark)
