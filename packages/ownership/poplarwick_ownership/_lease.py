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
RENEWAL_FRACTION = 0.4
RETRY_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease and the key that is attached to it."""

    id: kv.LeaseId
    key: str
    key_revision: kv.Revision


class InstanceLease:
    """Maintains the lease of one instance and replaces it after a loss.

    Args:
        client: The key-value service.
        instance: Id of the holder.
        ttl_s: Lifetime of the lease.
        read_clock: Returns monotonic seconds, including time in suspend.
        notify: Called when the lease is acquired, renewed or lost.

    Attributes:
        held: The current lease, or None.
        valid_until_s: Monotonic time until which the lease is valid.
        is_unavailable: Whether the last call to the service failed without
            a response.
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
        self.is_unavailable = False
        self._previous_leases: set[kv.LeaseId] = set()
        self._is_revoked = False
        self._retry_requested = asyncio.Event()
        self._client = client
        self._instance = instance
        self._ttl_s = ttl_s
        self._read_clock = read_clock
        self._notify = notify

    @property
    def is_valid(self) -> bool:
        """Whether the lease is certain to be alive at the service."""
        return self.held is not None and self._read_clock() < self.valid_until_s

    def was_held(self, lease: kv.LeaseId) -> bool:
        """Returns whether this process has held and discarded a lease."""
        return lease in self._previous_leases

    async def maintain(self) -> None:
        """Acquires and renews the lease until it is revoked or cancelled."""
        while not self._is_revoked:
            try:
                if self.held is None:
                    await self._acquire()
                else:
                    await self._renew(self.held)
                delay_s = self._ttl_s * RENEWAL_FRACTION
                self.is_unavailable = False
            except kv.LeaseLostError:
                self.discard()
                self.is_unavailable = False
                delay_s = 0.0
            except kv.KvError as error:
                logs.log_event("lease_renewal_failed", reason=error)
                self.is_unavailable = True
                delay_s = self._ttl_s * RETRY_FRACTION
            await self._wait(delay_s * random.uniform(0.8, 1.0))

    def retry_now(self) -> None:
        """Starts the next renewal without further delay."""
        self._retry_requested.set()

    def discard(self) -> None:
        """Discards a lease that no longer exists at the service."""
        if self.held is not None:
            logs.log_event("lease_lost", lease=self.held.id)
            self._previous_leases.add(self.held.id)
        self.held = None
        self.valid_until_s = 0.0
        self._notify()

    async def renew_now(self) -> bool:
        """Renews the lease immediately.

        Returns:
            Whether the lease was renewed.
        """
        if self.held is None:
            return False
        try:
            await self._renew(self.held)
        except kv.KvError:
            return False
        return True

    async def revoke(self) -> None:
        """Revokes the lease before a planned shutdown, for good.

        One that is being acquired is revoked once it is.
        """
        self._is_revoked = True
        held = self.held
        if held is None:
            return
        self.discard()
        try:
            await self._client.revoke_lease(held.id)
        except kv.KvError as error:
            logs.log_event("lease_revocation_failed", reason=error)

    async def _wait(self, delay_s: float) -> None:
        self._retry_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._retry_requested.wait()

    async def _acquire(self) -> None:
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
        if self._is_revoked:
            await self.revoke()

    async def _renew(self, held: HeldLease) -> None:
        # The lifetime counts from before the call, so that the lease never
        # expires later here than at the service.
        sent_s = self._read_clock()
        ttl_s = await self._client.keep_alive(held.id)
        if self.held is held:
            self._extend(sent_s, ttl_s)

    def _extend(self, sent_s: float, ttl_s: float) -> None:
        self.valid_until_s = sent_s + ttl_s * (1 - CLOCK_RATE_MARGIN)
        self._notify()
