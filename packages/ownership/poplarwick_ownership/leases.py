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
from poplarwick_ownership import _electorate
from poplarwick_ownership import _holding
from poplarwick_ownership import _holdings
from poplarwick_ownership import _lease
from poplarwick_ownership import _records
from poplarwick_ownership import _view
from poplarwick_ownership import confirmations
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_platform import kv

DEFAULT_TTL_S = 10
TICK_S = 0.5
SCAN_PERIOD_S = 5.0
MIN_CHECK_S = 0.01
CONFIRM_PERIOD_S = 0.3
CONFIRM_BEFORE_S = 1.5
MIN_TENURE_S = 2.0


def read_boot_clock() -> float:
    """Returns monotonic seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseOwnership:
    """Implements `tenure.Ownership`.

    Every resource has a record that names its holder. The instance that
    rendezvous hashing prefers claims a resource that no living lease holds.
    A claim that follows an unplanned end begins after a wait, so that the
    earlier holder has surely stopped, and so has the last order that it sent.

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
        view: The membership of this instance.
        listener: Learns about beginning and end of tenures.
        ttl_s: Lifetime of the instance's lease.
        wait_s: Wait after an unplanned end of a resource that is not fenced;
            None takes the lease lifetime and a margin for clock rates.
        read_clock: Returns monotonic seconds.
        peers: Calls to other instances during an outage of the service; None
            means that tenures end with the lease.

    Attributes:
        service: gRPC service to register at the peer server.
    """

    def __init__(
        self,
        client: kv.KvClient,
        view: membership.Membership,
        listener: tenure.TenureListener,
        ttl_s: int = DEFAULT_TTL_S,
        wait_s: float | None = None,
        read_clock: Callable[[], float] = read_boot_clock,
        peers: confirmations.OwnershipClient | None = None,
    ) -> None:
        margin_s = ttl_s * _lease.CLOCK_RATE_MARGIN
        self._wait_s = ttl_s + margin_s if wait_s is None else wait_s
        self._membership = view
        self._read_clock = read_clock
        self._instance = view.own.instance
        self._changed = asyncio.Event()
        self._view = _view.OwnerView(client, self._changed.set)
        self._lease = _lease.InstanceLease(
            client, self._instance, ttl_s, read_clock, self._changed.set
        )
        self._writer = _claims.ClaimWriter(client, self._instance, self._view)
        self._candidates = _candidates.Candidates(view, self._view, read_clock)
        self._electorate = None
        if peers is not None:
            self._electorate = _electorate.Electorate(
                view, self._candidates.roster, peers, read_clock
            )
        self._announcer = _electorate.Announcer(self._electorate)
        self._holdings = _holdings.Holdings(
            listener,
            self._writer,
            self._announcer,
            self._may_act,
            read_clock,
            self._changed.set,
        )
        self.service = confirmations.OwnershipService(
            self._view, lambda: self._lease.is_unavailable
        )
        self._resources: dict[tenure.ResourceKey, tenure.Resource] = {}
        self._scanned_s = 0.0
        self._is_draining = False
        self._reconciling = asyncio.Lock()
        self._loops: list[asyncio.Task[None]] = []

    @property
    def tenures(self) -> tuple[tenure.Tenure, ...]:
        """Tenures held by this instance now."""
        return tuple(
            holding.tenure for holding in self._holdings if holding.is_valid()
        )

    def set_resources(self, resources: tuple[tenure.Resource, ...]) -> None:
        """Replaces the set of resources that need an owner."""
        region = self._membership.own.region
        self._resources = {
            resource.key: resource
            for resource in resources
            if resource.region == region
        }
        self._candidates.forget_all_but(set(self._resources.values()))
        self._changed.set()

    def set_excluded(self, instances: frozenset[ids.InstanceId]) -> None:
        """Replaces the set of instances that may own nothing."""
        self._candidates.excluded = instances
        self._changed.set()

    def find_owner(self, resource: tenure.Resource) -> ids.InstanceId | None:
        """Returns the instance that holds a resource, as far as is known.

        The answer is a hint: it may be late.
        """
        known = self._view.find_owner(_records.make_owner_key(resource))
        if known is None or not self._view.is_lease_alive(known.record.lease):
            return None
        return known.record.instance

    async def release_all(self) -> None:
        """Hands over all resources before a planned stop."""
        self._is_draining = True
        async with self._reconciling:
            pass  # A claim under way is finished first.
        await self._holdings.hand_over(list(self._holdings))
        await self._lease.revoke()

    async def __aenter__(self) -> Self:
        loops = (
            self._lease.keep(),
            self._view.follow(),
            self._reconcile_repeatedly(),
            self._watch_validity(),
            self._confirm_in_outage(),
            self._announcer.run(),
        )
        self._loops = [asyncio.create_task(loop) for loop in loops]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._holdings.stop_all()
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self._holdings.close()

    @property
    def _valid_until_s(self) -> float:
        confirmed_s = self._electorate.valid_until_s if self._electorate else 0
        return max(self._lease.valid_until_s, confirmed_s)

    def _may_act(self, lease: kv.LeaseId) -> bool:
        """Returns whether tenures that hang on a lease are valid now."""
        held = self._lease.held
        if held is None or held.id != lease:
            return False
        return self._read_clock() < self._valid_until_s

    async def _confirm_in_outage(self) -> None:
        """Asks the others while the lease cannot be renewed."""
        while self._electorate is not None:
            await asyncio.sleep(CONFIRM_PERIOD_S)
            held = self._lease.held
            left_s = self._lease.valid_until_s - self._read_clock()
            is_needed = left_s < CONFIRM_BEFORE_S and self._holdings
            if held is None or not self._lease.is_unavailable or not is_needed:
                continue
            await self._electorate.confirm(
                held.id,
                tuple(holding.tenure for holding in self._holdings),
                _lease.CLOCK_RATE_MARGIN,
            )
            if self._electorate.is_service_seen:
                self._lease.retry_soon()

    async def _watch_validity(self) -> None:
        """Ends all tenures once the lease is no longer surely held."""
        while True:
            left_s = self._valid_until_s - self._read_clock()
            if self._lease.held is None or left_s <= 0:
                self._holdings.stop_all()
                await asyncio.sleep(TICK_S)
                continue
            await asyncio.sleep(min(max(left_s, MIN_CHECK_S), TICK_S))

    async def _reconcile_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S * random.uniform(0.8, 1.2)):
                    await self._changed.wait()
            is_dirty = self._changed.is_set()
            self._changed.clear()
            try:
                async with self._reconciling:
                    await self._reconcile(is_dirty=is_dirty)
            except kv.LeaseLostError:
                self._lease.forget()
                self._holdings.stop_all()
            except kv.KvError as error:
                logs.log_event("claim_failed", reason=error)
                await asyncio.sleep(TICK_S * random.uniform(0.5, 1.5))
                self._changed.set()

    async def _reconcile(self, *, is_dirty: bool) -> None:
        """Compares what should be held with what is held.

        Args:
            is_dirty: Whether records, leases or resources may have changed.
        """
        self._stop_superseded()
        held = self._lease.held
        if held is None or not self._lease.is_valid:
            return
        if not self._view.is_loaded or self._is_draining:
            return
        has_changed = self._candidates.refresh()
        scan_age_s = self._read_clock() - self._scanned_s
        if not (
            is_dirty
            or has_changed
            or self._candidates.has_vacant
            or scan_age_s >= SCAN_PERIOD_S
        ):
            return
        self._scanned_s = self._read_clock()
        self._candidates.refresh_roster(self._resources.values())
        claims = []
        for resource in self._resources.values():
            claim = self._consider(resource, held)
            if claim is not None:
                claims.append(claim)
        leaving = [h for h in self._holdings if self._should_leave(h)]
        if leaving:
            self._holdings.start_hand_over(leaving, self._lease.check)
        if claims:
            await self._writer.claim(claims, held)
            for claim in claims:
                self._begin_if_won(claim.resource, held)

    def _consider(
        self, resource: tenure.Resource, held: _lease.HeldLease
    ) -> _claims.Claim | None:
        """Returns the claim to make for a resource, if any."""
        if self._holdings.is_releasing(resource):
            return None
        known = self._find_record(resource)
        if known is not None and known.record.lease == held.id:
            return self._consider_own(resource, known, held)
        holding = self._holdings.find(resource)
        if holding is not None:
            holding.stop()
            return None
        if known is not None and self._view.is_lease_alive(known.record.lease):
            self._candidates.note_held(resource)
            return None
        if not self._candidates.is_turn(resource):
            return None
        return self._make_claim(resource, known)

    def _consider_own(
        self,
        resource: tenure.Resource,
        known: _view.KnownOwner,
        held: _lease.HeldLease,
    ) -> _claims.Claim | None:
        """Begins a tenure that was won, or claims an ended one again."""
        self._candidates.note_held(resource)
        holding = self._holdings.find(resource)
        if holding is not None:
            if int(holding.tenure.epoch) != known.revision:
                holding.stop()
            return None
        if self._holdings.has_ended(resource, known.revision):
            return self._make_claim(resource, known)
        self._begin_if_won(resource, held)
        return None

    def _begin_if_won(
        self, resource: tenure.Resource, held: _lease.HeldLease
    ) -> None:
        """Begins the tenure of a resource that names this instance's lease."""
        known = self._find_record(resource)
        if known is None or known.record.lease != held.id:
            return
        if self._holdings.find(resource) is not None:
            return
        if self._holdings.has_ended(resource, known.revision):
            return
        is_immediate = known.record.follows_planned_end or resource.is_fenced
        self._holdings.begin(
            resource, known, 0.0 if is_immediate else self._wait_s
        )

    def _make_claim(
        self, resource: tenure.Resource, known: _view.KnownOwner | None
    ) -> _claims.Claim:
        has_ended = known is None or self._has_surely_ended(resource, known)
        return _claims.Claim(resource, known, has_ended)

    def _has_surely_ended(
        self, resource: tenure.Resource, known: _view.KnownOwner
    ) -> bool:
        """Returns whether no earlier tenure can still act."""
        lease = known.record.lease
        if lease == _records.NO_LEASE:
            return True
        held = self._lease.held
        is_own = held is not None and held.id == lease
        if not is_own and not self._lease.was_held(lease):
            return False
        # It was held here, and ended here. If it ended while it waited for
        # the tenure before, that one may not have ended yet.
        has_served = self._holdings.has_served(resource, known.revision)
        return has_served or known.record.follows_planned_end

    def _should_leave(self, holding: _holding.Holding) -> bool:
        """Returns whether a tenure should be handed over."""
        resource = holding.tenure.resource
        if not holding.is_active or self._holdings.is_releasing(resource):
            return False
        if self._resources.get(resource.key) != resource:
            return True
        if self._candidates.is_own_excluded:
            return True
        if self._holdings.read_age_s(resource) < MIN_TENURE_S:
            return False
        return not self._candidates.is_best(resource)

    def _stop_superseded(self) -> None:
        """Ends tenures that have a successor."""
        for holding in self._holdings:
            known = self._find_record(holding.tenure.resource)
            if known is not None and known.revision > holding.tenure.epoch:
                logs.log_event(
                    "tenure_superseded", resource=holding.tenure.resource.id
                )
                holding.stop()

    def _find_record(
        self, resource: tenure.Resource
    ) -> _view.KnownOwner | None:
        return self._view.find_owner(_records.make_owner_key(resource))
