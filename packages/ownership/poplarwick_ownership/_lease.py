"""The lease of one instance in the key-value service."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _records
from poplarwick_platform import kv

CLOCK_RATE_MARGIN = 0.05
RENEWAL_SHARE = 0.4
RETRY_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease and the key that shows that it lives."""

    id: kv.LeaseId
    key: str
    key_revision: kv.Revision


class InstanceLease:
    """Keeps one lease alive and a new one after it is lost.

    Args:
        client: The key-value service.
        instance: Id of the holder.
        ttl_s: Lifetime of the lease.
        read_clock: Returns monotonic seconds; time of a pause counts.
        notify: Called when the lease begins, is renewed or is lost.
    """

    def __init__(
        self,
        client: kv.KvClient,
        instance: ids.InstanceId,
        ttl_s: int,
        read_clock: Callable[[], float],
        notify: Callable[[], None],
    ) -> None:
        self.held: HeldLease | None = None
        self.valid_until_s = 0.0
        # Whether the last call to the service got no answer.
        self.is_unavailable = False
        self._past: set[kv.LeaseId] = set()
        self._retry = asyncio.Event()
        self._client = client
        self._instance = instance
        self._ttl_s = ttl_s
        self._read_clock = read_clock
        self._notify = notify

    @property
    def is_valid(self) -> bool:
        """Whether the service surely still holds the lease."""
        return self.held is not None and self._read_clock() < self.valid_until_s

    def was_held(self, lease: kv.LeaseId) -> bool:
        """Whether this process held a lease that it has given up."""
        return lease in self._past

    async def keep(self) -> None:
        """Acquires and renews the lease until cancelled."""
        while True:
            try:
                if self.held is None:
                    await self._establish()
                else:
                    await self._renew(self.held)
                pause_s = self._ttl_s * RENEWAL_SHARE
                self.is_unavailable = False
            except kv.LeaseLostError:
                self.forget()
                self.is_unavailable = False
                pause_s = 0.0
            except kv.KvError as error:
                logs.log_event("lease_renewal_failed", reason=error)
                self.is_unavailable = True
                pause_s = self._ttl_s * RETRY_SHARE
            await self._pause(pause_s * random.uniform(0.8, 1.0))

    def retry_soon(self) -> None:
        """Cuts the pause before the next renewal short."""
        self._retry.set()

    def forget(self) -> None:
        """Gives a lease up that the service no longer holds."""
        if self.held is not None:
            logs.log_event("lease_lost", lease=self.held.id)
            self._past.add(self.held.id)
        self.held = None
        self.valid_until_s = 0.0
        self._notify()

    async def check(self) -> bool:
        """Renews the lease now; returns whether the service answered."""
        if self.held is None:
            return False
        try:
            await self._renew(self.held)
        except kv.KvError:
            return False
        return True

    async def revoke(self) -> None:
        """Ends the lease before a planned stop."""
        held = self.held
        if held is None:
            return
        self.forget()
        try:
            await self._client.revoke_lease(held.id)
        except kv.KvError as error:
            logs.log_event("lease_revocation_failed", reason=error)

    async def _pause(self, pause_s: float) -> None:
        self._retry.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._retry.wait()

    async def _establish(self) -> None:
        sent_s = self._read_clock()
        lease = await self._client.grant_lease(self._ttl_s, kv.Purpose.LEASE)
        key = _records.make_holder_key(lease)
        value = _records.encode(_records.HolderRecord(self._instance))
        result = await self._client.commit(
            (kv.KeyAbsent(key),), (kv.Put(key, value, lease),), kv.Purpose.LEASE
        )
        self.held = HeldLease(lease, key, result.revision)
        self._extend(sent_s, self._ttl_s)
        logs.log_event("lease_acquired", lease=lease)

    async def _renew(self, held: HeldLease) -> None:
        # Counted from before the call, so never longer than at the service.
        sent_s = self._read_clock()
        ttl_s = await self._client.keep_alive(held.id)
        if self.held is held:
            self._extend(sent_s, ttl_s)

    def _extend(self, sent_s: float, ttl_s: float) -> None:
        self.valid_until_s = sent_s + ttl_s * (1 - CLOCK_RATE_MARGIN)
        self._notify()
