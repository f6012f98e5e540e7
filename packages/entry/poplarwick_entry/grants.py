"""Obtains permission to send a request to an endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import types
from collections.abc import Callable
from typing import Self

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import dispatcher
from poplarwick_dispatch import pool
from poplarwick_dispatch import router
from poplarwick_endpoints import generation
from poplarwick_entry import _search
from poplarwick_entry import reports
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_peers.wire import grant_grpc
from poplarwick_peers.wire import grant_pb2

OWNER_WAIT_S = 3.0
OWNER_RETRY_S = 0.1

_ENDED_AT_ENDPOINT = frozenset(
    (
        grant_pb2.REPORT_COMPLETE,
        grant_pb2.REPORT_NOT_SENT,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of an endpoint.

    Attributes:
        request: Id of the request.
        organisation: Organisation that is charged.
        model: Model, for generation; else empty.
        service: Plain service, for calls; else empty.
        prompt_tokens: Estimated length of the prompt.
        output_tokens: Longest answer that may be generated.
        priority: Priority within the organisation, higher first.
        deadline: Time at which the request must have ended.
        prefix_digests: Digests of growing prompt prefixes.
    """

    request: ids.RequestId
    organisation: ids.OrganisationId
    deadline: clock.Deadline
    model: str = ""
    service: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    prefix_digests: tuple[int, ...] = ()


class HeldGrant:
    """Permission to send one request to one endpoint.

    Leaving its context reports the end of the request; without an earlier
    call of a `note_` method the request counts as cancelled.

    Attributes:
        endpoint: The endpoint.
        target: Address and identity for the request.
    """

    def __init__(
        self,
        grant: grant_pb2.Grant,
        instance: ids.InstanceId,
        reporter: reports.Reporter,
    ) -> None:
        self.endpoint = ids.EndpointId(grant.endpoint)
        self.target = generation.Target(
            address=grant.address,
            stream=ids.StreamId(grant.stream_id),
            epoch=ids.Epoch(grant.epoch),
            priority=grant.priority,
        )
        self._grant = grant
        self._instance = instance
        self._reporter = reporter
        self._may_run = False
        self._end = grant_pb2.GrantReport(
            grant_id=grant.grant_id, kind=grant_pb2.REPORT_CANCELLED
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._may_run:
            self._reporter.cancel_and_send(
                self._instance, self._end, self.target
            )
        else:
            self._reporter.send(self._instance, self._end)

    def note_sent(self) -> None:
        """Notes that a generation stream may run from now on."""
        self._may_run = True

    def note_first_token(self, elapsed_s: float) -> None:
        """Reports the time from sending to the first token."""
        report = grant_pb2.GrantReport(
            grant_id=self._grant.grant_id,
            kind=grant_pb2.REPORT_FIRST_TOKEN,
            first_token_s=elapsed_s,
        )
        self._reporter.send(self._instance, report)

    def note_end(
        self,
        kind: grant_pb2.ReportKind,
        *,
        output_tokens: int = 0,
        detail: str = "",
    ) -> None:
        """Sets how the request ended."""
        if kind in _ENDED_AT_ENDPOINT:
            self._may_run = False
        self._end.kind = kind
        self._end.output_tokens = output_tokens
        self._end.detail = detail


FindOwners = Callable[[str, str], frozenset[ids.InstanceId]]
"""Returns the instances that own endpoints of a model or a service."""


class GrantBroker:
    """Asks dispatchers for grants.

    Args:
        members: View of the other instances.
        router: Ranks the dispatchers to ask.
        local: Dispatcher of this instance.
        channels: Connections to other instances.
        reporter: Sends reports about granted requests.
        find_owners: Tells which instances own suitable endpoints.
    """

    def __init__(
        self,
        members: membership.Membership,
        router: router.Router,
        local: dispatcher.Dispatcher,
        channels: transport.ChannelPool,
        reporter: reports.Reporter,
        find_owners: FindOwners,
    ) -> None:
        self._find_owners = find_owners
        self._members = members
        self._router = router
        self._local = local
        self._channels = channels
        self._reporter = reporter

    async def acquire(
        self, demand: Demand, excluded: frozenset[ids.EndpointId], version: int
    ) -> HeldGrant:
        """Waits for a grant.

        Args:
            demand: What the request needs.
            excluded: Endpoints already tried.
            version: Version of the configuration in force here.

        Raises:
            problems.RequestEnded: No dispatcher grants the request.
        """
        request = self._make_request(demand, excluded, version)
        wait = clock.make_deadline(OWNER_WAIT_S)
        while True:
            search = _search.Search()
            held = await self._ask_owners(request, demand, search)
            if held is not None:
                return held
            may_wait = search.is_passing
            if not may_wait or wait.has_passed or demand.deadline.has_passed:
                raise _search.make_error(search.refusal)
            await asyncio.sleep(OWNER_RETRY_S)

    async def _ask_owners(
        self,
        request: grant_pb2.AcquireRequest,
        demand: Demand,
        search: _search.Search,
    ) -> HeldGrant | None:
        ranked = self._router.rank(request, self._list_candidates(demand))
        for hop, instance in enumerate(dict.fromkeys(ranked[:-1])):
            held = await self._try(instance, hop, request, demand, search)
            if held is not None:
                return held
            if search.is_over:
                break
        # Nobody has room at once: wait at the owner with the shortest queue.
        waiting_at = search.shortest_queue or (ranked[-1] if ranked else None)
        if waiting_at is None or search.is_over:
            return None
        return await self._try(
            waiting_at, pool.LAST_HOP, request, demand, search
        )

    def _list_candidates(self, demand: Demand) -> list[membership.Member]:
        owners = self._find_owners(demand.model, demand.service)
        members = self._members.members
        owning = [m for m in members if m.instance in owners]
        region = self._members.own.region
        nearby = [m for m in owning if m.region == region]
        return nearby or owning or [m for m in members if m.region == region]

    async def _try(
        self,
        instance: ids.InstanceId,
        hop: int,
        request: grant_pb2.AcquireRequest,
        demand: Demand,
        search: _search.Search,
    ) -> HeldGrant | None:
        if demand.deadline.has_passed:
            return None
        request.hops = hop
        request.timeout_s = demand.deadline.remaining_s
        reply = await self._ask(instance, request)
        if reply is None:
            return None
        self._router.record_hints(instance, reply.room)
        if reply.HasField("grant"):
            return HeldGrant(reply.grant, instance, self._reporter)
        self._router.record_refusal(
            instance, demand.model or demand.service, reply.refusal.reason
        )
        search.note(instance, reply)
        return None

    def _make_request(
        self, demand: Demand, excluded: frozenset[ids.EndpointId], version: int
    ) -> grant_pb2.AcquireRequest:
        return grant_pb2.AcquireRequest(
            request_id=demand.request,
            organisation=demand.organisation,
            model=demand.model,
            service=demand.service,
            prompt_tokens=demand.prompt_tokens,
            output_tokens=demand.output_tokens,
            prefix_digests=demand.prefix_digests,
            priority=demand.priority,
            entry_instance=self._members.own.instance,
            configuration_version=version,
            excluded_endpoints=sorted(excluded),
        )

    async def _ask(
        self, instance: ids.InstanceId, request: grant_pb2.AcquireRequest
    ) -> grant_pb2.AcquireReply | None:
        if instance == self._members.own.instance:
            return await self._local.acquire(request)
        member = self._members.find(instance)
        if member is None:
            return None
        stub = grant_grpc.GrantServiceStub(self._channels.get(member.address))
        try:
            return await stub.Acquire(request, timeout=request.timeout_s)
        except transport.CALL_ERRORS:
            # A grant whose reply was lost is never used; it expires.
            return None
