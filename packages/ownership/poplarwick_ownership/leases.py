"""Ownership by leases and compare-and-swap in the key-value service."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _candidates
from poplarwick_ownership import _claims
from poplarwick_ownership import _held_tenure
from poplarwick_ownership import _lease
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _quorum
from poplarwick_ownership import _records
from poplarwick_ownership import _tenure_manager
from poplarwick_ownership import confirmations
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_platform import kv

DEFAULT_TTL_S = 10
RECONCILE_PERIOD_S = 0.5
FULL_SCAN_PERIOD_S = 5.0
MIN_VALIDITY_CHECK_S = 0.01
CONFIRM_PERIOD_S = 0.3
CONFIRM_LEAD_TIME_S = 1.5
MIN_TENURE_S = 2.0


def read_boot_clock() -> float:
    """Returns monotonic seconds, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseOwnership:
    """Implements `tenure.Ownership`.

    Every resource has a record that stores its holder. A resource without a
    live lease is claimed by the instance that rendezvous hashing prefers. A
    claim that follows an unplanned end takes effect after a wait, so that the
    previous holder has stopped and its last command has completed.

    Example:
        peers = confirmations.GrpcOwnershipClient(instance, channel_pool.get)
        ownership = leases.LeaseOwnership(
            kv_client, membership_view, dispatcher, ttl_s=10, peers=peers
        )
        peer_server = transport.PeerServer(..., (ownership.service, ...))
        async with peer_server, ownership:
            ownership.set_resources((tenure.Resource(...), ...))
            ...
            await ownership.release_all()

    Args:
        client: The key-value service.
        members: The membership of this instance.
        listener: Notified of the start and end of tenures.
        ttl_s: Lifetime of the instance's lease.
        takeover_wait_s: Wait after an unplanned end of a resource that is not
            fenced; None uses the lease lifetime and a margin for clock rates.
        read_clock: Returns monotonic seconds.
        peers: Client for calls to other instances during an outage of the
            key-value service; None ends tenures with the lease.

    Attributes:
        service: gRPC service to register at the peer server.
    """

    def __init__(
        self,
        client: kv.KvClient,
        members: membership.Membership,
        listener: tenure.TenureListener,
        ttl_s: int = DEFAULT_TTL_S,
        takeover_wait_s: float | None = None,
        read_clock: Callable[[], float] = read_boot_clock,
        peers: confirmations.OwnershipClient | None = None,
    ) -> None:
        margin_s = ttl_s * _lease.CLOCK_RATE_MARGIN
        self._takeover_wait_s = (
            ttl_s + margin_s if takeover_wait_s is None else takeover_wait_s
        )
        self._members = members
        self._read_clock = read_clock
        self._instance = members.own.instance
        self._changed = asyncio.Event()
        self._view = _owner_view.OwnerView(client, self._changed.set)
        self._lease = _lease.InstanceLease(
            client, self._instance, ttl_s, read_clock, self._changed.set
        )
        self._writer = _claims.ClaimWriter(client, self._instance, self._view)
        self._candidates = _candidates.Candidates(
            members, self._view, read_clock
        )
        self._quorum = None
        if peers is not None:
            self._quorum = _quorum.Quorum(
                members, self._candidates.voters, peers, read_clock
            )
        self._announcer = _quorum.ClaimAnnouncer(self._quorum)
        self._tenure_manager = _tenure_manager.TenureManager(
            listener,
            self._writer,
            self._announcer,
            self._is_lease_valid,
            read_clock,
            self._changed.set,
        )
        self.service = confirmations.OwnershipService(
            self._view, lambda: self._lease.is_unavailable
        )
        self._resources: dict[tenure.ResourceKey, tenure.Resource] = {}
        self._last_scan_s = 0.0
        self._is_draining = False
        self._reconcile_lock = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def tenures(self) -> tuple[tenure.Tenure, ...]:
        """Tenures that this instance holds now."""
        return tuple(
            held_tenure.tenure
            for held_tenure in self._tenure_manager
            if held_tenure.is_valid()
        )

    def set_resources(self, resources: tuple[tenure.Resource, ...]) -> None:
        """Replaces the set of resources that need an owner."""
        region = self._members.own.region
        self._resources = {
            resource.key: resource
            for resource in resources
            if resource.region == region
        }
        self._candidates.retain(set(self._resources.values()))
        self._changed.set()

    def set_excluded(self, instances: frozenset[ids.InstanceId]) -> None:
        """Replaces the set of instances that may not own resources."""
        self._candidates.excluded = instances
        self._changed.set()

    def find_owner(self, resource: tenure.Resource) -> ids.InstanceId | None:
        """Returns the holder of a resource in the local view, or None.

        The result may be out of date.
        """
        stored = self._view.find_owner(_records.make_owner_key(resource))
        if stored is None or not self._view.is_lease_alive(stored.record.lease):
            return None
        return stored.record.instance

    async def release_all(self) -> None:
        """Hands over all resources before a planned shutdown."""
        self._is_draining = True
        async with self._reconcile_lock:
            pass  # Wait for a claim in progress.
        await self._tenure_manager.hand_over(list(self._tenure_manager))
        await self._lease.revoke()

    async def __aenter__(self) -> Self:
        coroutines = (
            self._lease.maintain(),
            self._view.sync(),
            self._reconcile_forever(),
            self._enforce_validity(),
            self._confirm_in_outage(),
            self._announcer.run(),
        )
        self._tasks = [
            asyncio.create_task(coroutine) for coroutine in coroutines
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._tenure_manager.stop_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._tenure_manager.close()

    @property
    def _valid_until_s(self) -> float:
        confirmed_until_s = self._quorum.valid_until_s if self._quorum else 0
        return max(self._lease.valid_until_s, confirmed_until_s)

    def _is_lease_valid(self, lease: kv.LeaseId) -> bool:
        """Returns whether tenures under a lease are valid now."""
        held_lease = self._lease.held
        if held_lease is None or held_lease.id != lease:
            return False
        return self._read_clock() < self._valid_until_s

    async def _confirm_in_outage(self) -> None:
        """Requests confirmations while the lease cannot be renewed."""
        while self._quorum is not None:
            await asyncio.sleep(CONFIRM_PERIOD_S)
            held_lease = self._lease.held
            remaining_s = self._lease.valid_until_s - self._read_clock()
            is_needed = (
                remaining_s < CONFIRM_LEAD_TIME_S and self._tenure_manager
            )
            if (
                held_lease is None
                or not self._lease.is_unavailable
                or not is_needed
            ):
                continue
            await self._quorum.confirm(
                held_lease.id,
                tuple(
                    held_tenure.tenure for held_tenure in self._tenure_manager
                ),
                _lease.CLOCK_RATE_MARGIN,
            )
            if self._quorum.is_service_reachable:
                self._lease.retry_now()

    async def _enforce_validity(self) -> None:
        """Ends all tenures when the lease and confirmations have expired."""
        while True:
            remaining_s = self._valid_until_s - self._read_clock()
            if self._lease.held is None or remaining_s <= 0:
                self._tenure_manager.stop_all()
                await asyncio.sleep(RECONCILE_PERIOD_S)
                continue
            await asyncio.sleep(
                min(max(remaining_s, MIN_VALIDITY_CHECK_S), RECONCILE_PERIOD_S)
            )

    async def _reconcile_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    RECONCILE_PERIOD_S * random.uniform(0.8, 1.2)
                ):
                    await self._changed.wait()
            is_dirty = self._changed.is_set()
            self._changed.clear()
            try:
                async with self._reconcile_lock:
                    await self._reconcile(is_dirty=is_dirty)
            except kv.LeaseLostError:
                self._lease.discard()
                self._tenure_manager.stop_all()
            except kv.KvError as error:
                logs.log_event("claim_failed", reason=error)
                await asyncio.sleep(
                    RECONCILE_PERIOD_S * random.uniform(0.5, 1.5)
                )
                self._changed.set()

    async def _reconcile(self, *, is_dirty: bool) -> None:
        """Claims and hands over resources to reach the desired owners.

        Args:
            is_dirty: Whether records, leases or resources may have changed.
        """
        self._stop_superseded()
        held_lease = self._lease.held
        if held_lease is None or not self._lease.is_valid:
            return
        if not self._view.is_loaded or self._is_draining:
            return
        has_changed = self._candidates.refresh()
        scan_age_s = self._read_clock() - self._last_scan_s
        if not (
            is_dirty
            or has_changed
            or self._candidates.has_vacant
            or scan_age_s >= FULL_SCAN_PERIOD_S
        ):
            return
        self._last_scan_s = self._read_clock()
        self._candidates.refresh_voters(self._resources.values())
        claims = []
        for resource in self._resources.values():
            claim = self._plan_claim(resource, held_lease)
            if claim is not None:
                claims.append(claim)
        outgoing = [
            h for h in self._tenure_manager if self._should_hand_over(h)
        ]
        if outgoing:
            self._tenure_manager.start_hand_over(
                outgoing, self._lease.renew_now
            )
        if claims:
            await self._writer.claim(claims, held_lease)
            for claim in claims:
                self._begin_if_won(claim.resource, held_lease)

    def _plan_claim(
        self, resource: tenure.Resource, held_lease: _lease.HeldLease
    ) -> _claims.Claim | None:
        """Returns the claim to make for a resource, or None."""
        if self._tenure_manager.is_releasing(resource):
            return None
        stored = self._find_record(resource)
        if stored is not None and stored.record.lease == held_lease.id:
            return self._handle_held_record(resource, stored, held_lease)
        held_tenure = self._tenure_manager.find(resource)
        if held_tenure is not None:
            held_tenure.stop()
            return None
        if stored is not None and self._view.is_lease_alive(
            stored.record.lease
        ):
            self._candidates.record_owned(resource)
            return None
        if not self._candidates.should_claim(resource):
            return None
        return self._make_claim(resource, stored)

    def _handle_held_record(
        self,
        resource: tenure.Resource,
        stored: _owner_view.StoredOwner,
        held_lease: _lease.HeldLease,
    ) -> _claims.Claim | None:
        """Starts a tenure that was won, or claims an ended one again."""
        self._candidates.record_owned(resource)
        held_tenure = self._tenure_manager.find(resource)
        if held_tenure is not None:
            if int(held_tenure.tenure.epoch) != stored.revision:
                held_tenure.stop()
            return None
        if self._tenure_manager.has_ended(resource, stored.revision):
            return self._make_claim(resource, stored)
        self._begin_if_won(resource, held_lease)
        return None

    def _begin_if_won(
        self, resource: tenure.Resource, held_lease: _lease.HeldLease
    ) -> None:
        """Starts the tenure if the record contains the local lease."""
        stored = self._find_record(resource)
        if stored is None or stored.record.lease != held_lease.id:
            return
        if self._tenure_manager.find(resource) is not None:
            return
        if self._tenure_manager.has_ended(resource, stored.revision):
            return
        is_immediate = stored.record.follows_planned_end or resource.is_fenced
        self._tenure_manager.begin(
            resource, stored, 0.0 if is_immediate else self._takeover_wait_s
        )

    def _make_claim(
        self, resource: tenure.Resource, stored: _owner_view.StoredOwner | None
    ) -> _claims.Claim:
        has_ended = stored is None or self._has_previous_tenure_ended(
            resource, stored
        )
        return _claims.Claim(resource, stored, has_ended)

    def _has_previous_tenure_ended(
        self, resource: tenure.Resource, stored: _owner_view.StoredOwner
    ) -> bool:
        """Returns whether no previous holder can still act."""
        lease = stored.record.lease
        if lease == _records.NO_LEASE:
            return True
        held_lease = self._lease.held
        is_own = held_lease is not None and held_lease.id == lease
        if not is_own and not self._lease.was_held(lease):
            return False
        # The tenure was held and ended by this instance. If it ended while it
        # waited for its predecessor, the predecessor may not have ended yet.
        has_served = self._tenure_manager.has_served(resource, stored.revision)
        return has_served or stored.record.follows_planned_end

    def _should_hand_over(self, held_tenure: _held_tenure.HeldTenure) -> bool:
        """Returns whether a tenure should be handed over."""
        resource = held_tenure.tenure.resource
        if not held_tenure.is_active or self._tenure_manager.is_releasing(
            resource
        ):
            return False
        if self._resources.get(resource.key) != resource:
            return True
        if self._candidates.is_local_excluded:
            return True
        if self._tenure_manager.compute_age_s(resource) < MIN_TENURE_S:
            return False
        return not self._candidates.is_preferred(resource)

    def _stop_superseded(self) -> None:
        """Ends tenures whose record has a newer epoch."""
        for held_tenure in self._tenure_manager:
            stored = self._find_record(held_tenure.tenure.resource)
            if (
                stored is not None
                and stored.revision > held_tenure.tenure.epoch
            ):
                logs.log_event(
                    "tenure_superseded", resource=held_tenure.tenure.resource.id
                )
                held_tenure.stop()

    def _find_record(
        self, resource: tenure.Resource
    ) -> _owner_view.StoredOwner | None:
        return self._view.find_owner(_records.make_owner_key(resource))
