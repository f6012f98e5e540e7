"""Notes which versions were in force everywhere, and compacts old ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

from aiohttp import web

from poplarwick_administration import messages
from poplarwick_administration._service import FleetReader
from poplarwick_configuration import compaction
from poplarwick_configuration import failures
from poplarwick_configuration import follower
from poplarwick_configuration import store
from poplarwick_core import logs

POLL_PERIOD_S = 0.25
COMPACTION_PERIOD_S = 60.0
GONE_STATES = frozenset({"dead"})


def is_in_force(
    version: int, instances: tuple[messages.InstanceMessage, ...]
) -> bool:
    """Returns whether all living instances have exactly this version."""
    living = [one for one in instances if one.state not in GONE_STATES]
    return bool(living) and all(one.version == version for one in living)


class Housekeeper:
    """Stores a note once a version is in force at all instances.

    It compacts old versions as well. Of all instances the one with the lowest
    id does both.
    """

    def __init__(
        self,
        documents: follower.Follower,
        stored: store.DocumentStore,
        compactor: compaction.Compactor,
        instance: str,
        read_fleet: FleetReader,
    ) -> None:
        self._documents = documents
        self._store = stored
        self._compactor = compactor
        self._instance = instance
        self._read_fleet = read_fleet

    async def run_beside(self, _: web.Application) -> AsyncIterator[None]:
        """Runs while the application does."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run()),
                group.create_task(self._compact()),
            ]
            yield
            for task in tasks:
                task.cancel()

    async def _compact(self) -> None:
        """Compacts stored versions now and then, on one instance only."""
        while True:
            await asyncio.sleep(COMPACTION_PERIOD_S * random.uniform(0.5, 1))
            try:
                while self._is_first(self._read_fleet()):
                    if not await self._compactor.compact():
                        break
            except failures.StoreError as error:
                logs.log_event("compaction_failed", "WARNING", reason=error)

    def _is_first(self, fleet: tuple[messages.InstanceMessage, ...]) -> bool:
        living = (i.instance for i in fleet if i.state not in GONE_STATES)
        return min(living, default=None) == self._instance

    async def _run(self) -> None:
        confirmed = 0
        while True:
            await self._documents.wait_for_version(confirmed + 1)
            version = self._documents.version
            fleet = self._read_fleet()
            if not is_in_force(version, fleet):
                await asyncio.sleep(POLL_PERIOD_S)
                continue
            if await self._confirm(version, fleet):
                confirmed = version
            else:
                await asyncio.sleep(POLL_PERIOD_S)

    async def _confirm(
        self, version: int, fleet: tuple[messages.InstanceMessage, ...]
    ) -> bool:
        if not self._is_first(fleet):
            return True
        try:
            await self._store.confirm(version, self._instance)
        except failures.StoreError as error:
            logs.log_event("confirmation_lost", "WARNING", reason=error)
            return False
        logs.log_event("configuration_in_force_everywhere", version=version)
        return True
