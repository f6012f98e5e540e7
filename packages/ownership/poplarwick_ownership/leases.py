"""Ownership by leases and compare-and-swap in the key-value service."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import time
from collections.abc import Callable
from collections.abc import Coroutine
from types import TracebackType
from typing import Self

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _claims
from poplarwick_ownership import _holding
from poplarwick_ownership import _lease
from poplarwick_ownership import _records
from poplarwick_ownership import _stability
from poplarwick_ownership import _view
from poplarwick_ownership import confirmations
from poplarwick_ownership import ranking
from poplarwick_ownership import tenure
from poplarwick_peers import membership
from poplarwick_platform import kv

DEFAULT_TTL_S = 10
TICK_S = 0.5
MIN_CHECK_S = 0.01
CONFIRM_PERIOD_S = 0.3
CONFIRM_BEFORE_S = 1.5
FALLBACK_S = 3.0
MIN_TENURE_S = 10.0
RELEASE_TIMEOUT_S = 5.0

ResourceKey = tuple[tenure.ResourceKind, str]


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
        peers = confirmations.GrpcPeers(instance, channel_pool.get)
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
        peers: confirmations.Peers | None = None,
    ) -> None:
        margin_s = ttl_s * _lease.CLOCK_RATE_MARGIN
        self._wait_s = ttl_s + margin_s if wait_s is None else wait_s
        self._membership = view
        self._listener = listener
        self._read_clock = read_clock
        self._instance = view.own.instance
        self._changed = asyncio.Event()
        self._view = _view.OwnerView(client, self._changed.set)
        self._lease = _lease.InstanceLease(
            client, self._instance, ttl_s, read_clock, self._changed.set
        )
        self._writer = _claims.ClaimWriter(client, self._instance, self._view)
        self.service = confirmations.OwnershipService(
            self._view, lambda: self._lease.is_unavailable
        )
        self._roster = confirmations.Roster(self._instance)
        self._electorate = (
            None
            if peers is None
            else confirmations.Electorate(view, self._roster, peers, read_clock)
        )
        self._stability = _stability.Stability()
        self._resources: dict[ResourceKey, tenure.Resource] = {}
        self._holdings: dict[ResourceKey, _holding.Holding] = {}
        self._claimed_s: dict[ResourceKey, float] = {}
        self._vacant_s: dict[ResourceKey, float] = {}
        self._ended: dict[ResourceKey, ids.Epoch] = {}
        self._served: dict[ResourceKey, ids.Epoch] = {}
        self._releasing: set[ResourceKey] = set()
        self._is_draining = False
        self._unheard: list[_holding.Holding] = []
        self._unheard_changed = asyncio.Event()
        self._reconciling = asyncio.Lock()
        self._loops: list[asyncio.Task[None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def tenures(self) -> tuple[tenure.Tenure, ...]:
        """Tenures held by this instance now."""
        return tuple(
            holding.tenure
            for holding in self._holdings.values()
            if holding.is_valid()
        )

    def set_resources(self, resources: tuple[tenure.Resource, ...]) -> None:
        """Replaces the set of resources that need an owner."""
        region = self._membership.own.region
        self._resources = {
            _make_key(r): r for r in resources if r.region == region
        }
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
        await self._hand_over(list(self._holdings.items()))
        await self._lease.revoke()

    async def __aenter__(self) -> Self:
        loops = (
            self._lease.keep(),
            self._view.follow(),
            self._reconcile_repeatedly(),
            self._watch_validity(),
            self._confirm_in_outage(),
            self._announce_claims(),
        )
        self._loops = [asyncio.create_task(loop) for loop in loops]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stop_all()
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await asyncio.gather(*self._tasks, return_exceptions=True)

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
                held.id, self.tenures, _lease.CLOCK_RATE_MARGIN
            )
            if self._electorate.is_service_seen:
                self._lease.retry_soon()

    async def _watch_validity(self) -> None:
        """Ends all tenures once the lease is no longer surely held."""
        while True:
            left_s = self._valid_until_s - self._read_clock()
            if self._lease.held is None or left_s <= 0:
                self._stop_all()
                await asyncio.sleep(TICK_S)
                continue
            await asyncio.sleep(min(max(left_s, MIN_CHECK_S), TICK_S))

    def _stop_all(self) -> None:
        for holding in self._holdings.values():
            holding.stop()

    async def _reconcile_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S * random.uniform(0.8, 1.2)):
                    await self._changed.wait()
            self._changed.clear()
            try:
                async with self._reconciling:
                    await self._reconcile()
            except kv.LeaseLostError:
                self._lease.forget()
                self._stop_all()
            except kv.KvError as error:
                logs.log_event("claim_failed", reason=error)
                await asyncio.sleep(TICK_S * random.uniform(0.5, 1.5))

    async def _reconcile(self) -> None:
        """Compares what should be held with what is held."""
        self._forget_ended()
        held = self._lease.held
        if held is None or not self._lease.is_valid:
            return
        if not self._view.is_loaded or self._is_draining:
            return
        candidates = self._list_candidates()
        claims: list[_claims.Claim] = []
        leaving: list[tuple[ResourceKey, _holding.Holding]] = []
        for key, resource in self._resources.items():
            if key in self._releasing:
                continue
            claim = self._consider(key, resource, held, candidates)
            if claim is not None:
                claims.append(claim)
            elif self._should_move(key, resource, candidates):
                leaving.append((key, self._holdings[key]))
        leaving += [
            (key, holding)
            for key, holding in self._holdings.items()
            if key not in self._resources and holding.is_active
        ]
        if leaving:
            self._start(self._hand_over(leaving))
        if claims:
            await self._writer.claim(claims, held)
            self._adopt_won(claims, held)

    def _list_candidates(self) -> list[ids.InstanceId]:
        """Returns the instances that can own resources of this region."""
        now_s = self._read_clock()
        own = self._membership.own
        live = (membership.MemberState.ALIVE, membership.MemberState.SUSPECT)
        present = {
            member.instance
            for member in self._membership.members
            if member.region == own.region and member.state in live
        }
        present &= self._view.holders
        self._observe_roster(now_s)
        self._stability.observe(present, now_s)
        others = {
            instance
            for instance in present
            if self._stability.is_settled(instance, now_s)
        }
        return sorted(others | {own.instance})

    def _observe_roster(self, now_s: float) -> None:
        region = self._membership.own.region
        known = [m for m in self._membership.members if m.region == region]
        leaving = membership.MemberState.LEAVING
        self._roster.observe(
            {m.instance for m in known} | self._list_recorded(),
            {m.instance for m in known if m.state is leaving},
            now_s,
        )

    def _list_recorded(self) -> set[ids.InstanceId]:
        """Returns the last holders of the region's resources."""
        records = (
            self._view.find_owner(_records.make_owner_key(resource))
            for resource in self._resources.values()
        )
        return {
            known.record.instance
            for known in records
            if known is not None and known.record.lease != _records.NO_LEASE
        }

    def _consider(
        self,
        key: ResourceKey,
        resource: tenure.Resource,
        held: _lease.HeldLease,
        candidates: list[ids.InstanceId],
    ) -> _claims.Claim | None:
        """Returns the claim to make for a resource, if any."""
        known = self._view.find_owner(_records.make_owner_key(resource))
        if known is not None and known.record.lease == held.id:
            return self._consider_own(key, resource, known)
        holding = self._holdings.get(key)
        if holding is not None:
            holding.stop()
            return None
        if known is not None and self._view.is_lease_alive(known.record.lease):
            self._vacant_s.pop(key, None)
            return None
        if not self._is_turn(key, resource, candidates):
            return None
        return _claims.Claim(resource, known, self._is_surely_ended(key, known))

    def _consider_own(
        self,
        key: ResourceKey,
        resource: tenure.Resource,
        known: _view.KnownOwner,
    ) -> _claims.Claim | None:
        """Begins a tenure that was won, or claims an ended one again."""
        self._vacant_s.pop(key, None)
        epoch = ids.Epoch(known.revision)
        holding = self._holdings.get(key)
        if holding is not None:
            if holding.tenure.epoch != epoch:
                holding.stop()
            return None
        if epoch <= self._ended.get(key, 0):
            return _claims.Claim(
                resource, known, self._is_surely_ended(key, known)
            )
        self._begin(key, resource, known)
        return None

    def _is_turn(
        self,
        key: ResourceKey,
        resource: tenure.Resource,
        candidates: list[ids.InstanceId],
    ) -> bool:
        """Returns whether this instance should claim a vacant resource.

        Lower-ranked instances step in one after the other, should the better
        ones fail to claim.
        """
        now_s = self._read_clock()
        vacant_s = self._vacant_s.setdefault(key, now_s)
        ranked = ranking.rank_owners(resource, candidates)
        rank = ranked.index(self._instance)
        return now_s - vacant_s >= rank * FALLBACK_S

    def _is_surely_ended(
        self, key: ResourceKey, known: _view.KnownOwner | None
    ) -> bool:
        """Returns whether no earlier tenure can still act."""
        if known is None or known.record.lease == _records.NO_LEASE:
            return True
        held = self._lease.held
        is_own = held is not None and held.id == known.record.lease
        if not is_own and not self._lease.was_held(known.record.lease):
            return False
        # It was held here, and ended here. If it ended while it waited for
        # the tenure before, that one may not have ended yet.
        has_served = self._served.get(key, 0) >= known.revision
        return has_served or known.record.follows_planned_end

    def _should_move(
        self,
        key: ResourceKey,
        resource: tenure.Resource,
        candidates: list[ids.InstanceId],
    ) -> bool:
        """Returns whether a better owner has appeared."""
        holding = self._holdings.get(key)
        if holding is None or not holding.is_active:
            return False
        if self._read_clock() - self._claimed_s[key] < MIN_TENURE_S:
            return False
        best = ranking.rank_owners(resource, candidates)[0]
        return best != self._instance

    def _adopt_won(
        self, claims: list[_claims.Claim], held: _lease.HeldLease
    ) -> None:
        for claim in claims:
            known = self._view.find_owner(claim.key)
            key = _make_key(claim.resource)
            if (
                known is not None
                and known.record.lease == held.id
                and known.revision > self._ended.get(key, 0)
                and key not in self._holdings
            ):
                self._begin(key, claim.resource, known)

    def _begin(
        self,
        key: ResourceKey,
        resource: tenure.Resource,
        known: _view.KnownOwner,
    ) -> None:
        holding = _holding.Holding(
            resource,
            ids.Epoch(known.revision),
            self._listener,
            functools.partial(self._may_act, known.record.lease),
        )
        self._holdings[key] = holding
        self._claimed_s[key] = self._read_clock()
        is_immediate = known.record.follows_planned_end or resource.is_fenced
        wait_s = 0.0 if is_immediate else self._wait_s
        self._start(self._live(key, holding, known, wait_s))

    async def _ensure_heard(self, holding: _holding.Holding) -> float:
        """Makes sure that the earlier holder finds no majority any more.

        Returns:
            Time in seconds to wait from now on.
        """
        if self._electorate is None:
            return 0.0
        self._unheard.append(holding)
        self._unheard_changed.set()
        await holding.heard.wait()
        return confirmations.CONFIRMATION_S

    async def _announce_claims(self) -> None:
        """Tells the others about claims after unplanned ends, in batches."""
        while self._electorate is not None:
            await self._unheard_changed.wait()
            self._unheard_changed.clear()
            told = [h for h in self._unheard if not h.has_ended]
            claimed = {h.tenure.resource: h.tenure.epoch for h in told}
            if await self._electorate.announce(claimed):
                for holding in self._unheard:
                    if holding in told or holding.has_ended:
                        holding.heard.set()
            self._unheard = [h for h in self._unheard if not h.heard.is_set()]
            if self._unheard:
                self._unheard_changed.set()
                await asyncio.sleep(TICK_S)

    async def _live(
        self,
        key: ResourceKey,
        holding: _holding.Holding,
        known: _view.KnownOwner,
        wait_s: float,
    ) -> None:
        try:
            if not known.record.follows_planned_end:
                wait_s = max(wait_s, await self._ensure_heard(holding))
            await holding.run(wait_s)
        finally:
            if holding.has_served:
                self._served[key] = holding.tenure.epoch
            self._ended[key] = max(
                self._ended.get(key, ids.Epoch(0)), holding.tenure.epoch
            )
            if self._holdings.get(key) is holding:
                del self._holdings[key]
            self._changed.set()

    def _forget_ended(self) -> None:
        for key, holding in self._holdings.items():
            known = self._view.find_owner(
                _records.make_owner_key(holding.tenure.resource)
            )
            if known is not None and known.revision > holding.tenure.epoch:
                logs.log_event("tenure_superseded", resource=key[1])
                holding.stop()

    async def _hand_over(
        self, leaving: list[tuple[ResourceKey, _holding.Holding]]
    ) -> None:
        keys = {key for key, _ in leaving}
        self._releasing |= keys
        for _, holding in leaving:
            holding.request_hand_over()
        await asyncio.gather(*(h.ended.wait() for _, h in leaving))
        ended = [
            (h.tenure.resource, h.tenure.epoch)
            for _, h in leaving
            if h.has_served
        ]
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._release(ended)
        except TimeoutError:
            logs.log_event("release_failed", resources=len(ended))
        finally:
            self._releasing -= keys

    async def _release(
        self, ended: list[tuple[tenure.Resource, ids.Epoch]]
    ) -> None:
        while True:
            try:
                await self._writer.release(ended)
                return
            except kv.KvError as error:
                logs.log_event("release_delayed", reason=error)
                await asyncio.sleep(TICK_S * random.uniform(0.5, 1.5))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.log_event("tenure_failed", "ERROR", reason=task.exception())


def _make_key(resource: tenure.Resource) -> ResourceKey:
    return resource.kind, resource.id
