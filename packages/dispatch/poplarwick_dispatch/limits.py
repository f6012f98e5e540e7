"""Fleet-wide limits of organisations.

Each organisation has one manager instance, chosen by rendezvous hashing. It
leases slots, requests and tokens to the other instances for a short time.
"""

from __future__ import annotations

import asyncio
import dataclasses
import types
from collections.abc import Awaitable
from collections.abc import Callable

import result

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import _limit_manager
from poplarwick_peers.wire import limit_pb2

LimitManager = _limit_manager.LimitManager

RENEW_PERIOD_S = 0.5
RETURN_PERIOD_S = 0.05
LEASE_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05
# Fraction of the last period's usage that is leased in advance.
PREFETCH_PERIODS = 0.25
MAX_LEASE_ATTEMPTS = 8
FALLBACK_TTL_S = 1.0

CallManager = Callable[
    [ids.InstanceId, limit_pb2.LeaseRequest],
    Awaitable[limit_pb2.LeaseReply | None],
]
"""Sends a lease request to an instance; returns None if unreachable."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """Reason why a request is refused.

    Attributes:
        limit: Name of the limit that is reached.
        retry_after_s: Seconds after which a retry may succeed.
    """

    limit: str
    retry_after_s: float


class Permit:
    """A slot within the limits, released when the context ends."""

    def __init__(self, share: _Share) -> None:
        self._share = share

    def __enter__(self) -> Permit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._share.in_use -= 1


class _Share:
    """The share of one organisation's limits that this instance holds."""

    def __init__(self) -> None:
        self.in_use = 0
        self.waiting = 0
        self.waiting_tokens = 0
        self.is_exhausted = False
        self.fallback_until_s = 0.0
        self.slots = 0
        self.spare = 0
        self.requests = 0
        self.tokens = 0
        self.expires_at_s = 0.0
        self.refused_until_s = 0.0
        self.retry_after_s = RETRY_DELAY_S
        self.lease_task: asyncio.Task[None] | None = None
        self._used = [0, 0]
        self._used_last_period = [0, 0]

    def begin_period(self) -> None:
        self._used_last_period = self._used
        self._used = [0, 0]

    def count_missing_requests(self) -> int:
        if not self.waiting:
            return 0
        prefetch = int(self._used_last_period[0] * PREFETCH_PERIODS)
        return max(self.waiting + prefetch - self.requests, 0)

    def count_missing_tokens(self) -> int:
        if not self.waiting:
            return 0
        prefetch = int(self._used_last_period[1] * PREFETCH_PERIODS)
        return max(self.waiting_tokens + prefetch - self.tokens, 0)

    def apply_lease(
        self, demand: limit_pb2.Demand, leased: limit_pb2.Share, now_s: float
    ) -> None:
        self.slots = leased.places
        self.spare = leased.spare
        self.requests += leased.requests
        self.tokens += leased.tokens
        self.expires_at_s = now_s + leased.lifetime_s
        self.retry_after_s = leased.retry_after_s
        self.is_exhausted = (
            leased.places < demand.wanted
            or leased.requests < demand.requests
            or leased.tokens < demand.tokens
        )

    def fall_back(self, equal_share: document.Limits, now_s: float) -> None:
        """Grants an equal share while the manager does not respond."""
        self.is_exhausted = True
        if now_s < self.fallback_until_s:
            return
        self.fallback_until_s = now_s + FALLBACK_TTL_S
        self.slots = max(self.slots, self.in_use, equal_share.max_concurrent)
        self.requests = max(self.requests, equal_share.requests_per_s)
        self.tokens = max(self.tokens, equal_share.tokens_per_s)
        self.expires_at_s = now_s + FALLBACK_TTL_S

    def find_exceeded_limit(self, tokens: int, now_s: float) -> str | None:
        if now_s >= self.expires_at_s or self.in_use >= self.slots:
            return "max_concurrent"
        if self.requests < 1:
            return "requests_per_s"
        if self.tokens < tokens:
            return "tokens_per_s"
        return None

    def take(self, tokens: int) -> Permit:
        self.in_use += 1
        self.requests -= 1
        self.tokens -= tokens
        self._used[0] += 1
        self._used[1] += tokens
        return Permit(self)


class Limiter:
    """Admits requests within the limits of their organisations.

    Args:
        instance: This instance.
        call: Sends a lease request to another instance.
        manager: Limit manager of this instance.
        list_members: Returns the live instances of the region.
        view: Configuration in force, or None until `apply_view`.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        *,
        call: CallManager,
        manager: LimitManager,
        list_members: Callable[[], tuple[ids.InstanceId, ...]],
        view: document.View | None = None,
        now_s: Callable[[], float] = clock.now_s,
    ) -> None:
        self._instance = instance
        self._call = call
        self._manager = manager
        self._list_members = list_members
        self._view = view
        self._now_s = now_s
        self._shares: dict[ids.OrganisationId, _Share] = {}
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Limiter:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        tasks = [s.lease_task for s in self._shares.values() if s.lease_task]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def apply_view(self, view: document.View) -> None:
        """Applies the limits of a newer configuration."""
        self._view = view
        self._manager.apply_view(view)

    async def admit(
        self, organisation: ids.OrganisationId, tokens: int
    ) -> result.Result[Permit, LimitExceeded]:
        """Acquires a slot for one request, or returns the limit reached.

        Args:
            organisation: Organisation; must exist in the document.
            tokens: Prompt and output tokens of the request.
        """
        share = self._shares.setdefault(organisation, _Share())
        exceeded = share.find_exceeded_limit(tokens, self._now_s())
        if exceeded is None:
            return result.Ok(share.take(tokens))
        if self._now_s() >= share.refused_until_s:
            await self._extend_share(organisation, share, tokens)
            exceeded = share.find_exceeded_limit(tokens, self._now_s())
            if exceeded is None:
                return result.Ok(share.take(tokens))
            share.refused_until_s = self._now_s() + RETRY_DELAY_S
        return result.Err(LimitExceeded(exceeded, share.retry_after_s))

    def find_manager(self, organisation: ids.OrganisationId) -> ids.InstanceId:
        """Returns the instance that leases an organisation's shares."""
        members = self._list_members() or (self._instance,)
        return _limit_manager.find_manager(organisation, members)

    async def _extend_share(
        self, organisation: ids.OrganisationId, share: _Share, tokens: int
    ) -> None:
        share.waiting += 1
        share.waiting_tokens += tokens
        try:
            for attempt in range(MAX_LEASE_ATTEMPTS):
                if share.find_exceeded_limit(tokens, self._now_s()) is None:
                    return
                # The first lease request may have been sent before this request
                # arrived.
                if attempt > 1 and share.is_exhausted:
                    return
                if share.lease_task is None or share.lease_task.done():
                    share.lease_task = asyncio.create_task(
                        self._request_lease(organisation, share)
                    )
                await asyncio.shield(share.lease_task)
        finally:
            share.waiting -= 1
            share.waiting_tokens -= tokens

    async def _request_lease(
        self, organisation: ids.OrganisationId, share: _Share
    ) -> None:
        now_s = self._now_s()
        is_held = now_s < share.expires_at_s
        demand = limit_pb2.Demand(
            organisation=organisation,
            held=share.slots if is_held else share.in_use,
            wanted=share.in_use + share.waiting,
            requests=share.count_missing_requests(),
            tokens=share.count_missing_tokens(),
        )
        request = limit_pb2.LeaseRequest(
            holder=self._instance, demands=[demand]
        )
        reply = await self._call_manager(organisation, request)
        if reply is not None and reply.shares:
            share.apply_lease(demand, reply.shares[0], now_s)
            return
        equal_share = self._make_equal_share(organisation)
        if equal_share is not None:
            share.fall_back(equal_share, self._now_s())

    def _make_equal_share(
        self, organisation: ids.OrganisationId
    ) -> document.Limits | None:
        """Returns the limits divided by the number of instances."""
        if self._view is None:
            return None
        found = self._view.find_organisation(organisation)
        if found is None:
            return None
        count = max(len(self._list_members()), 1)
        return document.Limits(
            max_concurrent=max(found.limits.max_concurrent // count, 1),
            requests_per_s=max(found.limits.requests_per_s // count, 1),
            tokens_per_s=max(found.limits.tokens_per_s // count, 1),
        )

    async def _call_manager(
        self, organisation: ids.OrganisationId, request: limit_pb2.LeaseRequest
    ) -> limit_pb2.LeaseReply | None:
        instance = self.find_manager(organisation)
        if instance == self._instance:
            return self._manager.lease(request)
        try:
            async with asyncio.timeout(LEASE_TIMEOUT_S):
                return await self._call(instance, request)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        """Returns unused slots early and renews those in use."""
        renewed_s = self._now_s()
        while True:
            await asyncio.sleep(RETURN_PERIOD_S)
            is_due = self._now_s() - renewed_s >= RENEW_PERIOD_S
            if is_due:
                renewed_s = self._now_s()
            for organisation, share in tuple(self._shares.items()):
                self._renew(organisation, share, is_due)

    def _renew(
        self, organisation: ids.OrganisationId, share: _Share, is_due: bool
    ) -> None:
        if is_due:
            share.begin_period()
        is_idle = share.in_use == 0 and share.waiting == 0
        if is_idle and self._now_s() >= share.expires_at_s:
            self._shares.pop(organisation, None)
            return
        if share.lease_task is not None and not share.lease_task.done():
            return
        unused = share.slots - share.in_use
        if unused > share.spare or (is_due and share.in_use > 0):
            share.lease_task = asyncio.create_task(
                self._request_lease(organisation, share)
            )
