"""Acquires grants, each a permission to send a request to an endpoint."""

from __future__ import annotations

import asyncio
import contextlib
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

OWNER_WAIT_LIMIT_S = 3.0
OWNER_RETRY_INTERVAL_S = 0.1

_ENDED_REPORT_KINDS = frozenset(
    (
        grant_pb2.REPORT_COMPLETE,
        grant_pb2.REPORT_NOT_SENT,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Resources that a request needs at an endpoint.

    Attributes:
        request_id: Id of the request.
        organisation: Organisation whose limits the request counts against.
        model: Id of the model for generation, else empty.
        service: Id of the plain service for a call, else empty.
        prompt_tokens: Estimated prompt length, in tokens.
        output_tokens: Maximum number of tokens to generate.
        priority: Priority within the organisation; higher goes first.
        deadline: Time by which the request must end.
        prefix_digests: Digests of prompt prefixes, the shortest first.
    """

    request_id: ids.RequestId
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

    Leaving the context reports the end of the request to the dispatcher. It
    is reported as cancelled unless `record_end` was called.

    Attributes:
        endpoint: Id of the endpoint.
        target: Address of the endpoint and identity of the stream.
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
        self._may_be_running = False
        self._end_report = grant_pb2.GrantReport(
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
        if self._may_be_running:
            self._reporter.cancel_and_send(
                self._instance, self._end_report, self.target
            )
        else:
            self._reporter.send(self._instance, self._end_report)

    def record_sent(self) -> None:
        """Records that a generation stream may be running at the engine.

        The stream is then cancelled at the engine unless it is recorded as
        ended there.
        """
        self._may_be_running = True

    def report_first_token(self, elapsed_s: float) -> None:
        """Reports the time to the first token.

        Args:
            elapsed_s: Seconds from sending the request to the first token.
        """
        report = grant_pb2.GrantReport(
            grant_id=self._grant.grant_id,
            kind=grant_pb2.REPORT_FIRST_TOKEN,
            first_token_s=elapsed_s,
        )
        self._reporter.send(self._instance, report)

    def record_end(
        self,
        kind: grant_pb2.ReportKind,
        *,
        output_tokens: int = 0,
        detail: str = "",
    ) -> None:
        """Records how the request ended.

        Args:
            kind: How the request ended.
            output_tokens: Number of generated tokens.
            detail: Cause of a failure, for logs.
        """
        if kind in _ENDED_REPORT_KINDS:
            self._may_be_running = False
        self._end_report.kind = kind
        self._end_report.output_tokens = output_tokens
        self._end_report.detail = detail


FindOwners = Callable[[str, str], frozenset[ids.InstanceId]]
"""Returns the instances that own endpoints of a model or a service."""


LimitWait = Callable[
    [GrantRequest], contextlib.AbstractAsyncContextManager[None]
]
"""Limits the wait for a grant; ends it with `RequestEndedError`."""


def _wait_without_limit(
    grant_request: GrantRequest,
) -> contextlib.AbstractAsyncContextManager[None]:
    return contextlib.nullcontext()


class GrantClient:
    """Acquires grants from the dispatchers of the fleet.

    Args:
        members: Membership of the fleet.
        router: Ranks the candidate dispatchers.
        local_dispatcher: Dispatcher of this instance.
        channels: Connections to other instances.
        reporter: Sends reports about granted requests.
        find_owners: Returns the instances that own suitable endpoints.
        limit_wait: Limits how long a request waits.
    """

    def __init__(
        self,
        members: membership.Membership,
        router: router.Router,
        local_dispatcher: dispatcher.Dispatcher,
        channels: transport.ChannelPool,
        reporter: reports.Reporter,
        find_owners: FindOwners,
        limit_wait: LimitWait = _wait_without_limit,
    ) -> None:
        self._limit_wait = limit_wait
        self._find_owners = find_owners
        self._members = members
        self._router = router
        self._local_dispatcher = local_dispatcher
        self._channels = channels
        self._reporter = reporter

    async def acquire(
        self,
        grant_request: GrantRequest,
        excluded: frozenset[ids.EndpointId],
        version: int,
    ) -> HeldGrant:
        """Waits until a dispatcher grants the request.

        Refusals that may end when endpoints get a new owner are retried for
        up to `OWNER_WAIT_LIMIT_S`.

        Args:
            grant_request: Resources that the request needs.
            excluded: Endpoints that were already tried.
            version: Version of the configuration in force here.

        Returns:
            The grant; use it as a context manager.

        Raises:
            request_errors.RequestEndedError: No dispatcher grants the request.
        """
        async with self._limit_wait(grant_request):
            return await self._acquire(grant_request, excluded, version)

    async def _acquire(
        self,
        grant_request: GrantRequest,
        excluded: frozenset[ids.EndpointId],
        version: int,
    ) -> HeldGrant:
        acquire_request = self._make_acquire_request(
            grant_request, excluded, version
        )
        wait_limit = clock.make_deadline(OWNER_WAIT_LIMIT_S)
        while True:
            search = _search.Search()
            grant = await self._query_owners(
                acquire_request, grant_request, search
            )
            if grant is not None:
                return grant
            is_transient = search.is_transient
            if (
                not is_transient
                or wait_limit.has_passed
                or grant_request.deadline.has_passed
            ):
                raise _search.make_error(search.refusal)
            await asyncio.sleep(OWNER_RETRY_INTERVAL_S)

    async def _query_owners(
        self,
        acquire_request: grant_pb2.AcquireRequest,
        grant_request: GrantRequest,
        search: _search.Search,
    ) -> HeldGrant | None:
        ranked = self._router.rank(
            acquire_request, self._list_candidates(grant_request)
        )
        for hop, instance in enumerate(dict.fromkeys(ranked[:-1])):
            grant = await self._try_dispatcher(
                instance, hop, acquire_request, grant_request, search
            )
            if grant is not None:
                return grant
            if search.is_final:
                break
        # No dispatcher can grant the request at once, so the request queues at
        # the owner with the shortest queue.
        queue_instance = search.shortest_queue_instance or (
            ranked[-1] if ranked else None
        )
        if queue_instance is None or search.is_final:
            return None
        return await self._try_dispatcher(
            queue_instance,
            pool.LAST_HOP,
            acquire_request,
            grant_request,
            search,
        )

    def _list_candidates(
        self, grant_request: GrantRequest
    ) -> list[membership.Member]:
        owners = self._find_owners(grant_request.model, grant_request.service)
        members = self._members.members
        owning_members = [m for m in members if m.instance in owners]
        region = self._members.own.region
        nearby_members = [m for m in owning_members if m.region == region]
        return (
            nearby_members
            or owning_members
            or [m for m in members if m.region == region]
        )

    async def _try_dispatcher(
        self,
        instance: ids.InstanceId,
        hop: int,
        acquire_request: grant_pb2.AcquireRequest,
        grant_request: GrantRequest,
        search: _search.Search,
    ) -> HeldGrant | None:
        if grant_request.deadline.has_passed:
            return None
        acquire_request.hops = hop
        acquire_request.timeout_s = grant_request.deadline.remaining_s
        reply = await self._send_acquire(instance, acquire_request)
        if reply is None:
            return None
        self._router.record_hints(instance, reply.room)
        if reply.HasField("grant"):
            return HeldGrant(reply.grant, instance, self._reporter)
        self._router.record_refusal(
            instance,
            grant_request.model or grant_request.service,
            reply.refusal.reason,
        )
        search.record_refusal(instance, reply)
        return None

    def _make_acquire_request(
        self,
        grant_request: GrantRequest,
        excluded: frozenset[ids.EndpointId],
        version: int,
    ) -> grant_pb2.AcquireRequest:
        return grant_pb2.AcquireRequest(
            request_id=grant_request.request_id,
            organisation=grant_request.organisation,
            model=grant_request.model,
            service=grant_request.service,
            prompt_tokens=grant_request.prompt_tokens,
            output_tokens=grant_request.output_tokens,
            prefix_digests=grant_request.prefix_digests,
            priority=grant_request.priority,
            entry_instance=self._members.own.instance,
            configuration_version=version,
            excluded_endpoints=sorted(excluded),
        )

    async def _send_acquire(
        self,
        instance: ids.InstanceId,
        acquire_request: grant_pb2.AcquireRequest,
    ) -> grant_pb2.AcquireReply | None:
        if instance == self._members.own.instance:
            return await self._local_dispatcher.acquire(acquire_request)
        member = self._members.find(instance)
        if member is None:
            return None
        stub = grant_grpc.GrantServiceStub(self._channels.get(member.address))
        try:
            return await stub.Acquire(
                acquire_request, timeout=acquire_request.timeout_s
            )
        except transport.CALL_ERRORS:
            # A grant whose reply is lost is never used and expires.
            return None
