"""Chooses the instance that places for all, through the platform's store.

The holder keeps a key on a short lease. The key's revision is the number of
its tenure; instances follow the placer with the highest one. A holder that
cannot renew goes on placing until it hears of a later tenure: placing is bound
by the endpoints' own checks and by static shares, not by the lease.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import secrets
from collections.abc import Callable
from collections.abc import Mapping

from poplarwick_catalogue import catalogue
from poplarwick_coordination import log_events
from poplarwick_coordination import store_followers
from poplarwick_core import clock
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

EPOCH_STEP = 1_000
"""Numbers between two tenures taken through the store, for tenures that were
handed over or begun in an outage in between."""

OUTAGE_WAIT_S = 1.0
"""Time without a placer and without the store after which one is chosen
without it; a hand-over takes less."""

OUTAGE_STEP_S = 0.3
"""Delay between instances that begin in an outage, by rank; an instance that
places reaches the others in less."""

STEP_DOWN_S = 3.0
"""Time for which an instance that reaches few others does not stand."""

POLL_S = 0.1
"""Period at which the state of the key is looked at; it comes by a watch."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverState:
    """What decides whether an instance places without the store.

    Attributes:
        is_store_away: Whether the store does not answer this instance.
        disconnected_s: Time without a placer; None while there is one.
        last_epoch: Highest tenure that this instance knows of.
    """

    is_store_away: bool
    disconnected_s: float | None
    last_epoch: int


class Tenure:
    """Holds the tenure if no other instance does.

    Args:
        client: Client of the store.
        copy: Mirror of the store.
        key: Key that the holder keeps.
        instance: This instance.
        read_members: Reads the known instances.
        lease_ttl_min_s: Shortest lease that the store grants.
        read_standing: Reads what decides whether to place without the store.
    """

    def __init__(
        self,
        client: kv.KvClient,
        copy: mirror.Mirror,
        key: str,
        instance: ids.InstanceId,
        read_members: Callable[
            [], Mapping[ids.InstanceId, catalogue.MemberItem]
        ],
        lease_ttl_min_s: float,
        read_standing: Callable[[], TakeoverState],
    ) -> None:
        self._read_standing = read_standing
        self._stands_after_s = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
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
                elif self._can_stand() and not self._is_held():
                    await self._stand()
                else:
                    self._place_in_outage()
                    await asyncio.sleep(POLL_S)
            except kv.LeaseLostError as error:
                self._lease = None
                logs.log(log_events.TenureLeaseLost(reason=str(error)))
            except kv.KvError as error:
                logs.log(log_events.TenureCallFailed(reason=str(error)))
                self._place_in_outage()
                await asyncio.sleep(RENEW_PERIOD_S)

    def observe_epoch(self, epoch: ids.Epoch) -> None:
        """Ends this instance's tenure when another one holds a later one."""
        if self.epoch is not None and epoch > self.epoch:
            logs.log(log_events.TenureSuperseded(own=self.epoch, later=epoch))
            self._lease = None
            self._set(None)

    def accept_handover(self, epoch: ids.Epoch) -> None:
        """Goes on with the tenure of an instance that stops."""
        if self._may_stand and epoch > (self.epoch or 0):
            self._set(epoch)

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Waits until this instance has no tenure; tells whether it is so."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        return self.epoch is None

    async def step_down(self) -> None:
        """Gives the tenure up for a while, since few can be served."""
        self._stands_after_s = clock.now_s() + STEP_DOWN_S
        await self._end()

    async def resign(self) -> None:
        """Gives the tenure up for good, so that another instance takes it."""
        self._may_stand = False
        await self._end()

    async def _end(self) -> None:
        lease, self._lease = self._lease, None
        self._set(None)
        if lease is None:
            return
        try:
            await self._client.revoke_lease(lease)
        except kv.KvError as error:
            logs.log(log_events.TenureNotReturned(reason=str(error)))

    def _can_stand(self) -> bool:
        return self._may_stand and clock.now_s() >= self._stands_after_s

    def _place_in_outage(self) -> None:
        """Places without a lease while nobody does and the store is away.

        Of several instances that begin, the first by rank has the highest
        number, and one that reaches few instances ends at once.
        """
        standing = self._read_standing()
        if self.epoch is not None or not self._can_stand():
            return
        if not standing.is_store_away or standing.disconnected_s is None:
            return
        rank = min(
            store_followers.rank_instance(self._instance, self._read_members()),
            TAKE_RANKS,
        )
        if standing.disconnected_s < OUTAGE_WAIT_S + rank * OUTAGE_STEP_S:
            return
        if standing.last_epoch % EPOCH_STEP < EPOCH_STEP / 2:
            self._set(ids.Epoch(standing.last_epoch + 2 + TAKE_RANKS - rank))

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
            # A placer that has only lost its lease keeps its instances.
            if self.epoch is None:
                self._set(ids.Epoch(result.revision * EPOCH_STEP))

    def _calculate_delay_s(self) -> float:
        rank = store_followers.rank_instance(
            self._instance, self._read_members()
        )
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
        if epoch is None:
            self._idle.set()
        else:
            self._idle.clear()
        if epoch is not None:
            logs.log(log_events.TenureTaken(epoch=epoch))
        elif before is not None:
            logs.log(log_events.TenureEnded(epoch=before))
        if self._changed is not None:
            self._changed(epoch)
