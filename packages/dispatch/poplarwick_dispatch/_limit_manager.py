"""Leases shares of the organisations' limits to other instances."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import grpclib.server

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import _rendezvous
from poplarwick_peers.wire import limit_grpc
from poplarwick_peers.wire import limit_pb2

LEASE_TTL_S = 2.0
BURST_S = 1.0
# A holder may retain 1/SPARE_DIVISOR of the free slots unused.
SPARE_DIVISOR = 16
# Until the leases of an earlier manager have expired, a new manager leases at
# most 1/SETTLE_DIVISOR of the limit to a holder that has no slots.
SETTLE_DIVISOR = 16
FULL_RETRY_S = 0.2


class _Bucket:
    """A token bucket.

    A bucket that allows debt grants the full amount while it is not empty, so
    that a request larger than the bucket is not refused forever.
    """

    def __init__(
        self, rate_per_s: float, now_s: float, *, allows_debt: bool
    ) -> None:
        self.rate_per_s = rate_per_s
        self._level = rate_per_s * BURST_S
        self._allows_debt = allows_debt
        self._updated_at_s = now_s

    def take(self, wanted: int, now_s: float) -> int:
        elapsed_s = now_s - self._updated_at_s
        capacity = self.rate_per_s * BURST_S
        self._level = min(capacity, self._level + elapsed_s * self.rate_per_s)
        self._updated_at_s = now_s
        if self._allows_debt:
            taken = wanted if self._level > 0 else 0
        else:
            taken = min(wanted, int(self._level))
        self._level -= taken
        return taken


@dataclasses.dataclass(slots=True)
class _Lease:
    slots: int
    expires_at_s: float


class _LimitAccount:
    """All leases of shares of one organisation's limits."""

    def __init__(
        self,
        limits: document.Limits,
        members: tuple[ids.InstanceId, ...],
        now_s: float,
    ) -> None:
        self.limits = limits
        self.members = members
        self.requests = _Bucket(limits.requests_per_s, now_s, allows_debt=False)
        self.tokens = _Bucket(limits.tokens_per_s, now_s, allows_debt=True)
        self._created_at_s = now_s
        self._leases: dict[str, _Lease] = {}

    def set_limits(self, limits: document.Limits) -> None:
        self.limits = limits
        self.requests.rate_per_s = limits.requests_per_s
        self.tokens.rate_per_s = limits.tokens_per_s

    def lease(
        self, holder: str, demand: limit_pb2.Demand, now_s: float
    ) -> limit_pb2.Share:
        leased_to_others = self._count_leased_to_others(holder, now_s)
        free = max(self.limits.max_concurrent - leased_to_others, 0)
        slots = min(demand.wanted, free)
        spare = 0
        if now_s - self._created_at_s >= LEASE_TTL_S:
            spare = self._choose_spare(free - slots)
            slots += spare
        else:
            # Leases of an earlier manager may still be in force.
            settle_limit = self.limits.max_concurrent // SETTLE_DIVISOR
            slots = min(slots, max(demand.held, settle_limit))
        self._leases[holder] = _Lease(slots, now_s + LEASE_TTL_S)
        return limit_pb2.Share(
            organisation=demand.organisation,
            places=slots,
            spare=spare,
            requests=self.requests.take(demand.requests, now_s),
            tokens=self.tokens.take(demand.tokens, now_s),
            lifetime_s=LEASE_TTL_S,
            retry_after_s=FULL_RETRY_S,
        )

    def _choose_spare(self, free: int) -> int:
        """Returns the idle slots that a holder may retain; none when scarce."""
        if free * 2 < self.limits.max_concurrent:
            return 0
        return free // SPARE_DIVISOR

    def _count_leased_to_others(self, holder: str, now_s: float) -> int:
        for name in [
            n for n, lease in self._leases.items() if lease.expires_at_s < now_s
        ]:
            del self._leases[name]
        return sum(
            lease.slots
            for name, lease in self._leases.items()
            if name != holder
        )


class LimitManager(limit_grpc.LimitServiceBase):
    """Leases shares of the organisations that this instance manages.

    Args:
        instance: This instance.
        list_members: Returns the live instances of the region.
        view: Configuration in force, or None until `apply_view`.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        list_members: Callable[[], tuple[ids.InstanceId, ...]],
        view: document.View | None = None,
        now_s: Callable[[], float] = clock.now_s,
    ) -> None:
        self._instance = instance
        self._list_members = list_members
        self._view = view
        self._now_s = now_s
        self._accounts: dict[str, _LimitAccount] = {}

    def apply_view(self, view: document.View) -> None:
        """Applies the limits of a newer configuration."""
        self._view = view
        for name, account in tuple(self._accounts.items()):
            organisation = view.find_organisation(ids.OrganisationId(name))
            if organisation is None:
                del self._accounts[name]
            else:
                account.set_limits(organisation.limits)

    def lease(self, request: limit_pb2.LeaseRequest) -> limit_pb2.LeaseReply:
        """Renews, extends or reduces the shares of one holder."""
        now_s = self._now_s()
        shares = []
        for demand in request.demands:
            account = self._find_account(demand.organisation, now_s)
            if account is not None:
                shares.append(account.lease(request.holder, demand, now_s))
        return limit_pb2.LeaseReply(shares=shares)

    async def Lease(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            limit_pb2.LeaseRequest, limit_pb2.LeaseReply
        ],
    ) -> None:
        """Serves `lease` to other instances."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self.lease(request))

    def _find_account(self, name: str, now_s: float) -> _LimitAccount | None:
        members = self._list_members()
        account = self._accounts.get(name)
        if account is not None and self._was_manager(name, account, members):
            return account
        if self._view is None:
            return None
        organisation = self._view.find_organisation(ids.OrganisationId(name))
        if organisation is None:
            return None
        account = _LimitAccount(organisation.limits, members, now_s)
        self._accounts[name] = account
        return account

    def _was_manager(
        self,
        name: str,
        account: _LimitAccount,
        members: tuple[ids.InstanceId, ...],
    ) -> bool:
        """Whether this instance was the manager with the previous members."""
        if members == account.members:
            return True
        was_manager = find_manager(name, account.members) == self._instance
        account.members = members
        return was_manager


def find_manager(
    organisation: str, members: tuple[ids.InstanceId, ...]
) -> ids.InstanceId:
    """Returns the instance that leases an organisation's shares."""
    return _rendezvous.rank(organisation.encode() + b"/", members)[0]
