"""Registers this instance's address in the store for other instances."""

from __future__ import annotations

import asyncio
import random

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

CHECK_PERIOD_S = 0.5
"""Interval between checks of this instance's entry. The entry is written only
if it is missing or has another address."""

REWRITE_SPREAD_S = 1.5
"""Time over which the instances of a fleet write their entries again after the
store was restored from a copy that lacks them."""

WATCH_DELAY_S = 2.0
"""Time allowed for a written entry to arrive through the watch."""


class Registration:
    """Maintains this instance's member entry in the store.

    The entry has no lease. An instance that ends in order withdraws it; others
    are detected because they do not answer, and the number of lease renewals
    would grow with the fleet.

    Args:
        client: Client of the store.
        store_mirror: Local copy of the store.
        catalogue_: Routing configuration, endpoints and members.
        instance: This instance.
        address: Address for other instances.
        key: Key of the entry.
        value: Encoded entry.
    """

    def __init__(
        self,
        client: kv.KvClient,
        store_mirror: mirror.Mirror,
        catalogue_: catalogue.Catalogue,
        instance: ids.InstanceId,
        address: str,
        key: str,
        value: bytes,
    ) -> None:
        self._client = client
        self._mirror = store_mirror
        self._catalogue = catalogue_
        self._instance = instance
        self._address = address
        self._key = key
        self._value = value
        self._written_in_era: kv.Era | None = None
        self._written_at_s = 0.0
        self._is_withdrawn = False
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Writes the entry whenever it is missing, until cancelled."""
        await self._wait_for_configuration()
        while True:
            if self._is_lost_by_restore():
                await asyncio.sleep(random.uniform(0, REWRITE_SPREAD_S))
                await self._write()
            elif self._is_missing():
                await self._write()
            await asyncio.sleep(CHECK_PERIOD_S)

    async def withdraw(self) -> None:
        """Removes the entry for good, as this instance is about to end.

        An entry that another process has written under the same name stays.
        """
        self._is_withdrawn = True
        # A write that is on its way would come after the removal.
        async with self._writing:
            entry = self._mirror.get(self._key)
            if (
                entry is None
                or entry.value != self._value
                or self._mirror.is_carried(self._key)
            ):
                return
            try:
                result = await self._client.commit(
                    (kv.KeyUnchanged(self._key, entry.mod_revision),),
                    (kv.Delete(self._key),),
                    kv.Purpose.HOUSEKEEPING,
                )
            except kv.KvError as error:
                logs.log(log_events.RegistrationNotWithdrawn(reason=str(error)))
                return
        if isinstance(result, kv.Conflict):
            reason = "written anew" if result.current else "already removed"
            logs.log(log_events.RegistrationNotWithdrawn(reason=reason))

    async def _wait_for_configuration(self) -> None:
        """Waits until the store was read, which tells whether to write."""
        known = asyncio.Event()

        def check() -> None:
            if self._catalogue.routing is not None:
                known.set()

        self._catalogue.add_listener(check)
        try:
            check()
            await known.wait()
        finally:
            self._catalogue.remove_listener(check)

    def _is_lost_by_restore(self) -> bool:
        """Returns whether a restore of the store has lost the entry."""
        return self._mirror.is_carried(self._key) and not self._is_on_its_way()

    def _is_missing(self) -> bool:
        if self._catalogue.routing is None or self._is_on_its_way():
            return False
        member = self._catalogue.members.get(self._instance)
        return member is None or member.address != self._address

    def _is_on_its_way(self) -> bool:
        """Returns whether a written entry may still arrive by the watch."""
        return self._written_in_era == self._mirror.era and (
            clock.now_s() < self._written_at_s + WATCH_DELAY_S
        )

    async def _write(self) -> None:
        async with self._writing:
            if not self._is_withdrawn:
                await self._put()

    async def _put(self) -> None:
        era = self._mirror.era
        try:
            await self._client.commit(
                (),
                (kv.Put(self._key, self._value),),
                kv.Purpose.HOUSEKEEPING,
            )
        except kv.KvError as error:
            logs.log(log_events.RegistrationFailed(reason=str(error)))
            return
        self._written_in_era = era
        self._written_at_s = clock.now_s()
