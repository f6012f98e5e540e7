"""Limits of organisations that hold over the whole fleet.

Each organisation has one accountable instance, picked by rendezvous hash. It
lends places, requests and tokens to the other instances for a short time.
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

RENEW_S = 0.5
RETURN_S = 0.05
ASK_TIMEOUT_S = 0.5
RETRY_S = 0.05
AHEAD_PERIODS = 0.25
MAX_ASKS = 8
FALLBACK_S = 1.0

CallManager = Callable[
    [ids.InstanceId, limit_pb2.LeaseRequest],
    Awaitable[limit_pb2.LeaseReply | None],
]
"""Asks the manager of an instance; returns None if it cannot be reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """Why a request is refused.

    Attributes:
        limit: Which limit is reached.
        retry_after_s: Seconds after which a retry may succeed.
    """

    limit: str
    retry_after_s: float


class Permit:
    """A place within the limits, given back when the context ends."""

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
    """What this instance holds of one organisation's limits."""

    def __init__(self) -> None:
        self.in_use = 0
        self.waiting = 0
        self.waiting_tokens = 0
        self.is_exhausted = False
        self.falls_back_until_s = 0.0
        self.places = 0
        self.spare = 0
        self.requests = 0
        self.tokens = 0
        self.expires_at_s = 0.0
        self.refused_until_s = 0.0
        self.retry_after_s = RETRY_S
        self.asking: asyncio.Task[None] | None = None
        self._used = [0, 0]
        self._used_before = [0, 0]

    def begin_period(self) -> None:
        self._used_before = self._used
        self._used = [0, 0]

    def count_wanted_requests(self) -> int:
        if not self.waiting:
            return 0
        ahead = int(self._used_before[0] * AHEAD_PERIODS)
        return max(self.waiting + ahead - self.requests, 0)

    def count_wanted_tokens(self) -> int:
        if not self.waiting:
            return 0
        ahead = int(self._used_before[1] * AHEAD_PERIODS)
        return max(self.waiting_tokens + ahead - self.tokens, 0)

    def receive(
        self, demand: limit_pb2.Demand, lent: limit_pb2.Share, now_s: float
    ) -> None:
        self.places = lent.places
        self.spare = lent.spare
        self.requests += lent.requests
        self.tokens += lent.tokens
        self.expires_at_s = now_s + lent.lifetime_s
        self.retry_after_s = lent.retry_after_s
        self.is_exhausted = (
            lent.places < demand.wanted
            or lent.requests < demand.requests
            or lent.tokens < demand.tokens
        )

    def fall_back(self, part: document.Limits, now_s: float) -> None:
        """Lends this instance an even part while the manager is silent."""
        self.is_exhausted = True
        if now_s < self.falls_back_until_s:
            return
        self.falls_back_until_s = now_s + FALLBACK_S
        self.places = max(self.places, self.in_use, part.max_concurrent)
        self.requests = max(self.requests, part.requests_per_s)
        self.tokens = max(self.tokens, part.tokens_per_s)
        self.expires_at_s = now_s + FALLBACK_S

    def find_lack(self, tokens: int, now_s: float) -> str | None:
        if now_s >= self.expires_at_s or self.in_use >= self.places:
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
        call: Asks the manager of another instance.
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
        tasks = [s.asking for s in self._shares.values() if s.asking]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def apply_view(self, view: document.View) -> None:
        """Takes the limits of a newer configuration into force."""
        self._view = view
        self._manager.apply_view(view)

    async def admit(
        self, organisation: ids.OrganisationId, tokens: int
    ) -> result.Result[Permit, LimitExceeded]:
        """Takes a place for one request, or tells which limit is reached.

        Args:
            organisation: The organisation; it must be in the document.
            tokens: Prompt and output tokens of the request.
        """
        share = self._shares.setdefault(organisation, _Share())
        lack = share.find_lack(tokens, self._now_s())
        if lack is None:
            return result.Ok(share.take(tokens))
        if self._now_s() >= share.refused_until_s:
            await self._enlarge(organisation, share, tokens)
            lack = share.find_lack(tokens, self._now_s())
            if lack is None:
                return result.Ok(share.take(tokens))
            share.refused_until_s = self._now_s() + RETRY_S
        return result.Err(LimitExceeded(lack, share.retry_after_s))

    def find_accountable(
        self, organisation: ids.OrganisationId
    ) -> ids.InstanceId:
        """Returns the instance that lends an organisation's shares."""
        members = self._list_members() or (self._instance,)
        return _limit_manager.find_accountable(organisation, members)

    async def _enlarge(
        self, organisation: ids.OrganisationId, share: _Share, tokens: int
    ) -> None:
        share.waiting += 1
        share.waiting_tokens += tokens
        try:
            for attempt in range(MAX_ASKS):
                if share.find_lack(tokens, self._now_s()) is None:
                    return
                # The first question may have left before this request came.
                if attempt > 1 and share.is_exhausted:
                    return
                if share.asking is None or share.asking.done():
                    share.asking = asyncio.create_task(
                        self._ask(organisation, share)
                    )
                await asyncio.shield(share.asking)
        finally:
            share.waiting -= 1
            share.waiting_tokens -= tokens

    async def _ask(
        self, organisation: ids.OrganisationId, share: _Share
    ) -> None:
        now_s = self._now_s()
        is_held = now_s < share.expires_at_s
        demand = limit_pb2.Demand(
            organisation=organisation,
            held=share.places if is_held else share.in_use,
            wanted=share.in_use + share.waiting,
            requests=share.count_wanted_requests(),
            tokens=share.count_wanted_tokens(),
        )
        request = limit_pb2.LeaseRequest(
            holder=self._instance, demands=[demand]
        )
        reply = await self._call_accountable(organisation, request)
        if reply is not None and reply.shares:
            share.receive(demand, reply.shares[0], now_s)
            return
        part = self._find_even_part(organisation)
        if part is not None:
            share.fall_back(part, self._now_s())

    def _find_even_part(
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

    async def _call_accountable(
        self, organisation: ids.OrganisationId, request: limit_pb2.LeaseRequest
    ) -> limit_pb2.LeaseReply | None:
        accountable = self.find_accountable(organisation)
        if accountable == self._instance:
            return self._manager.lease(request)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._call(accountable, request)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        """Gives unused places back soon and renews those in use."""
        renewed_s = self._now_s()
        while True:
            await asyncio.sleep(RETURN_S)
            is_due = self._now_s() - renewed_s >= RENEW_S
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
        if share.asking is not None and not share.asking.done():
            return
        unused = share.places - share.in_use
        if unused > share.spare or (is_due and share.in_use > 0):
            share.asking = asyncio.create_task(self._ask(organisation, share))
