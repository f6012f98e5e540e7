"""Chooses the instance that places for all, through the platform's store.

The holder keeps a key on a short lease. The key's revision is the number of
its tenure; instances follow the placer with the highest one. A holder that
cannot renew goes on placing until it hears of a later tenure: placing is bound
by the endpoints' own checks and by static shares, not by the lease.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

from poplarwick_coordination import following
from poplarwick_coordination import log_events
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_platform import kv
from poplarwick_platform import mirror

LEASE_TTL_S = 1.5
"""Time after which a lost placer is replaced; a freeze shorter than this does
not move the tenure."""

RENEW_PERIOD_S = 0.4
"""Three renewals fit into a lease, so two lost answers do not end it."""

TAKE_STEP_S = 0.1
"""Delay between instances that try to take the tenure, by rank; longer than
the store's answer and the watch that tells of it."""

TAKE_RANKS = 8
"""Ranks that are kept apart; later ones come at a random one of them."""

POLL_S = 0.1
"""Period at which the state of the key is looked at; it comes by a watch."""


class Tenure:
    """Holds the tenure if no other instance does.

    Args:
        client: Client of the store.
        copy: Mirror of the store.
        key: Key that the holder keeps.
        instance: This instance.
        read_members: Reads the known instances.
        lease_ttl_min_s: Shortest lease that the store grants.
    """

    def __init__(
        self,
        client: kv.KvClient,
        copy: mirror.Mirror,
        key: str,
        instance: ids.InstanceId,
        read_members: Callable[[], list[ids.InstanceId]],
        lease_ttl_min_s: float,
    ) -> None:
        self.epoch: ids.Epoch | None = None
        self._client = client
        self._mirror = copy
        self._key = key
        self._instance = instance
        self._read_members = read_members
        self._ttl_s = max(LEASE_TTL_S, lease_ttl_min_s)
        self._lease: kv.LeaseId | None = None
        self._may_stand = True
        self._changed: Callable[[ids.Epoch | None], None] | None = None

    def on_change(self, listener: Callable[[ids.Epoch | None], None]) -> None:
        """Calls `listener` when the tenure is taken or lost."""
        self._changed = listener

    async def run(self) -> None:
        """Takes and keeps the tenure until cancelled."""
        while True:
            try:
                if self._lease is not None:
                    await self._renew()
                elif self._may_stand and not self._is_held():
                    await self._stand()
                else:
                    await asyncio.sleep(POLL_S)
            except kv.LeaseLostError as error:
                self._lease = None
                logs.log(log_events.TenureLeaseLost(reason=str(error)))
            except kv.KvError as error:
                logs.log(log_events.TenureCallFailed(reason=str(error)))
                await asyncio.sleep(RENEW_PERIOD_S)

    def note_later(self, epoch: ids.Epoch) -> None:
        """Ends this instance's tenure when another one holds a later one."""
        if self.epoch is not None and epoch > self.epoch:
            logs.log(log_events.TenureSuperseded(own=self.epoch, later=epoch))
            self._lease = None
            self._set(None)

    async def resign(self) -> None:
        """Gives the tenure up for good, so that another instance takes it."""
        self._may_stand = False
        lease, self._lease = self._lease, None
        self._set(None)
        if lease is None:
            return
        try:
            await self._client.revoke_lease(lease)
        except kv.KvError as error:
            logs.log(log_events.TenureNotReturned(reason=str(error)))

    def _is_held(self) -> bool:
        return self._mirror.get(self._key) is not None

    async def _stand(self) -> None:
        await asyncio.sleep(self._calculate_delay_s())
        if self._is_held() or not self._may_stand or not self._mirror.revision:
            await asyncio.sleep(POLL_S)
            return
        lease = await self._client.grant_lease(self._ttl_s, kv.Purpose.LEASE)
        value = f"{self._instance} {secrets.token_hex(8)}".encode()
        try:
            result = await self._client.commit(
                (kv.KeyAbsent(self._key),),
                (kv.Put(self._key, value, lease),),
                kv.Purpose.LEASE,
            )
        except kv.UnknownResultError:
            snapshot = await self._client.read(self._key, kv.Purpose.LEASE)
            held = snapshot.entries and snapshot.entries[0].value == value
            if not held:
                return
            result = kv.Committed(snapshot.entries[0].mod_revision)
        if isinstance(result, kv.Committed) and self._may_stand:
            self._lease = lease
            self._set(ids.Epoch(result.revision))

    def _calculate_delay_s(self) -> float:
        rank = following.rank_instance(self._instance, self._read_members())
        if rank >= TAKE_RANKS:
            rank = random.randrange(TAKE_RANKS)
        return rank * TAKE_STEP_S

    async def _renew(self) -> None:
        assert self._lease is not None
        await self._client.keep_alive(self._lease)
        await asyncio.sleep(RENEW_PERIOD_S)

    def _set(self, epoch: ids.Epoch | None) -> None:
        if epoch == self.epoch:
            return
        before, self.epoch = self.epoch, epoch
        if epoch is not None:
            logs.log(log_events.TenureTaken(epoch=epoch))
        elif before is not None:
            logs.log(log_events.TenureEnded(epoch=before))
        if self._changed is not None:
            self._changed(epoch)
