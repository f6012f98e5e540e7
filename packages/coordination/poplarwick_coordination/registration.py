"""Tells other instances where to find this one, through the store."""

from __future__ import annotations

import asyncio

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv

PERIOD_S = 0.5
"""Period at which the own entry is looked for; it is written only when it is
missing or another one's."""

SETTLE_S = 2.0
"""Time for a written entry to come back by the watch."""


class Registration:
    """Keeps this instance's entry in the store.

    The entry has no lease: an instance that is gone does not answer, and
    renewals by all instances would grow with the fleet.

    Args:
        client: Client of the store.
        known: What is known of the store's content.
        instance: This instance.
        address: Address for other instances.
        key: Key of the entry.
        value: Content of the entry.
    """

    def __init__(
        self,
        client: kv.KvClient,
        known: catalogue.Catalogue,
        instance: ids.InstanceId,
        address: str,
        key: str,
        value: bytes,
    ) -> None:
        self._client = client
        self._catalogue = known
        self._instance = instance
        self._address = address
        self._key = key
        self._value = value

    async def run(self) -> None:
        """Keeps the entry until cancelled."""
        while True:
            if self._catalogue.routing is not None and not self._is_listed():
                await self._write()
            await asyncio.sleep(PERIOD_S)

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
        await asyncio.sleep(SETTLE_S)
