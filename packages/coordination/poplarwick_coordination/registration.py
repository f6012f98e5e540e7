"""Registers this instance's address in the store for other instances."""

from __future__ import annotations

import asyncio

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv

CHECK_PERIOD_S = 0.5
"""Interval between checks of this instance's entry. The entry is written only
if it is missing or has another address."""

WATCH_DELAY_S = 2.0
"""Time allowed for a written entry to arrive through the watch."""


class Registration:
    """Maintains this instance's member entry in the store.

    The entry has no lease. Instances that have stopped are detected because
    they do not answer, and the number of lease renewals would grow with the
    fleet.

    Args:
        client: Client of the store.
        catalogue_: Routing configuration, endpoints and members.
        instance: This instance.
        address: Address for other instances.
        key: Key of the entry.
        value: Encoded entry.
    """

    def __init__(
        self,
        client: kv.KvClient,
        catalogue_: catalogue.Catalogue,
        instance: ids.InstanceId,
        address: str,
        key: str,
        value: bytes,
    ) -> None:
        self._client = client
        self._catalogue = catalogue_
        self._instance = instance
        self._address = address
        self._key = key
        self._value = value

    async def run(self) -> None:
        """Writes the entry whenever it is missing, until cancelled."""
        while True:
            if self._catalogue.routing is not None and not self._is_listed():
                await self._write()
            await asyncio.sleep(CHECK_PERIOD_S)

    def _is_listed(self) -> bool:
        member = self._catalogue.members.get(self._instance)
        return member is not None and member.address == self._address

    async def _write(self) -> None:
        try:
            await self._client.commit(
                (),
                (kv.Put(self._key, self._value),),
                kv.Purpose.HOUSEKEEPING,
            )
        except kv.KvError as error:
            logs.log(log_events.RegistrationFailed(reason=str(error)))
            return
        await asyncio.sleep(WATCH_DELAY_S)
