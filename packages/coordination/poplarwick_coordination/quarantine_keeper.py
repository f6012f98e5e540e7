"""Writes quarantines to the store, so that they outlive the instances.

Load pattern: a part of a prompt is put in quarantine while the store is away,
or the store is restored from a copy that lacks the quarantine.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import quarantines
from poplarwick_coordination import log_events
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

CHECK_PERIOD_S = 0.25
"""Interval between checks for quarantines that the store lacks."""

DEPUTY_DELAY_S = 3.0
"""Time that the placer has to write a quarantine before others do."""

DEPUTY_SPREAD_S = 3.0
"""Time over which the instances of a fleet then try to write it."""

RETRY_DELAY_S = 2.0
"""Time allowed for a written quarantine to arrive through the watch."""


class QuarantineKeeper:
    """Keeps the known quarantines in the store.

    Args:
        client: Client of the store.
        store_mirror: Local copy of the store.
        catalogue_: Holds the known quarantines.
        make_key: Returns the key of a quarantine.
        encode: Encodes a quarantine.
        decode: Decodes stored values into items.
        is_placer: Returns whether this instance holds the tenure.
    """

    def __init__(
        self,
        client: kv.KvClient,
        store_mirror: mirror.Mirror,
        catalogue_: catalogue.Catalogue,
        make_key: Callable[[quarantines.QuarantineId], str],
        encode: Callable[[quarantines.Quarantine], bytes],
        decode: catalogue.Decoder,
        is_placer: Callable[[], bool],
    ) -> None:
        self._client = client
        self._mirror = store_mirror
        self._catalogue = catalogue_
        self._make_key = make_key
        self._encode = encode
        self._decode = decode
        self._is_placer = is_placer
        self._due_at_s: dict[quarantines.QuarantineId, float] = {}

    async def run(self) -> None:
        """Writes quarantines that the store lacks, until cancelled."""
        while True:
            for quarantine in self._catalogue.quarantines.known:
                if self._is_due(quarantine):
                    await self._write(quarantine)
            await asyncio.sleep(CHECK_PERIOD_S)

    def _is_due(self, quarantine: quarantines.Quarantine) -> bool:
        if not self._mirror.revision or self._is_stored(quarantine):
            self._due_at_s.pop(quarantine.id, None)
            return False
        now_s = clock.now_s()
        delay_s = 0.0
        if not self._is_placer():
            delay_s = DEPUTY_DELAY_S + random.uniform(0, DEPUTY_SPREAD_S)
        due_at_s = self._due_at_s.setdefault(quarantine.id, now_s + delay_s)
        return now_s >= due_at_s

    def _is_stored(self, quarantine: quarantines.Quarantine) -> bool:
        key = self._make_key(quarantine.id)
        entry = self._mirror.get(key)
        if entry is None or self._mirror.is_carried(key):
            # Operators may remove lifted quarantines from the store.
            return quarantine.is_lifted
        item = self._decode(key, entry.value)
        return (
            isinstance(item, catalogue.QuarantineItem)
            and item.quarantine.generation >= quarantine.generation
        )

    async def _write(self, quarantine: quarantines.Quarantine) -> None:
        key = self._make_key(quarantine.id)
        self._due_at_s[quarantine.id] = clock.now_s() + RETRY_DELAY_S
        entry = self._mirror.get(key)
        condition: kv.Condition = kv.KeyAbsent(key)
        if entry is not None and not self._mirror.is_carried(key):
            condition = kv.KeyUnchanged(key, entry.mod_revision)
        try:
            # The condition protects a later generation that is not known yet.
            await self._client.commit(
                (condition,),
                (kv.Put(key, self._encode(quarantine)),),
                kv.Purpose.HOUSEKEEPING,
            )
        except kv.KvError as error:
            logs.log(
                log_events.QuarantineNotStored(
                    quarantine=quarantine.id, reason=str(error)
                )
            )
