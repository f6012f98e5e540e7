"""Records which versions are in force everywhere and compacts old ones."""

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
DEAD_STATES = frozenset({"dead"})


def is_in_force(
    version: int, instances: tuple[messages.InstanceMessage, ...]
) -> bool:
    """Returns whether all live instances have exactly this version."""
    alive = [member for member in instances if member.state not in DEAD_STATES]
    return bool(alive) and all(member.version == version for member in alive)


class Housekeeper:
    """Confirms versions that are in force at all instances.

    It also compacts old versions. Only the live instance with the lowest id
    does both.

    Args:
        documents: Follower of the configuration.
        document_store: Store in which versions are confirmed.
        compactor: Compacts old versions.
        instance: Id of this instance.
        read_fleet: Returns the state of all known instances.
    """

    def __init__(
        self,
        documents: follower.Follower,
        document_store: store.DocumentStore,
        compactor: compaction.Compactor,
        instance: str,
        read_fleet: FleetReader,
    ) -> None:
        self._documents = documents
        self._store = document_store
        self._compactor = compactor
        self._instance = instance
        self._read_fleet = read_fleet

    async def run_with_application(
        self, _: web.Application
    ) -> AsyncIterator[None]:
        """Runs the background tasks until the application stops."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._record_confirmations()),
                group.create_task(self._compact_periodically()),
            ]
            yield
            for task in tasks:
                task.cancel()

    async def _compact_periodically(self) -> None:
        """Compacts stored versions at intervals with random jitter."""
        while True:
            await asyncio.sleep(COMPACTION_PERIOD_S * random.uniform(0.5, 1))
            try:
                while self._has_lowest_id(self._read_fleet()):
                    if not await self._compactor.compact():
                        break
            except failures.StoreError as error:
                logs.log_event("compaction_failed", "WARNING", reason=error)

    def _has_lowest_id(
        self, fleet: tuple[messages.InstanceMessage, ...]
    ) -> bool:
        alive = (i.instance for i in fleet if i.state not in DEAD_STATES)
        return min(alive, default=None) == self._instance

    async def _record_confirmations(self) -> None:
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
        if not self._has_lowest_id(fleet):
            return True
        try:
            await self._store.confirm(version, self._instance)
        except failures.StoreError as error:
            logs.log_event("confirmation_lost", "WARNING", reason=error)
            return False
        logs.log_event("configuration_in_force_everywhere", version=version)
        return True
