"""Calls to plain services, routed under `/services/<id>`."""

from __future__ import annotations

import dataclasses

import aiohttp
import msgspec
import multidict
import yarl
from aiohttp import web

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import http_headers
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_core import paths
from poplarwick_endpoints import generation
from poplarwick_entry import admission
from poplarwick_entry import authentication
from poplarwick_entry import bodies
from poplarwick_entry import claimed_calls
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import headers
from poplarwick_entry import metrics
from poplarwick_entry import parameters
from poplarwick_entry import request_errors
from poplarwick_entry import response_memory
from poplarwick_outcomes import lifecycle as lifecycles
from poplarwick_outcomes import replies
from poplarwick_outcomes import verdicts
from poplarwick_outcomes.claims import keys
from poplarwick_peers.wire import grant_pb2
from poplarwick_platform import http_session

MAX_ATTEMPTS = 3
CALL_COST_TOKENS = 1

_NOT_FORWARDED = http_headers.HOP_BY_HOP | {
    "authorization",
    "content-length",
    "expect",
    "host",
    headers.PRIORITY.lower(),
    headers.TIMEOUT.lower(),
}
_SET_BY_SERVER = frozenset(("date", "server"))
MAX_REFUSAL_BYTES = 4_096
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
_REFUSAL_STATUSES = frozenset((409, 429, 503))
_REFUSAL_TYPES = frozenset(("stale_epoch", "overloaded", "cold_overload"))


class _RefusalDetail(msgspec.Struct):
    type: str


class _Refusal(msgspec.Struct):
    error: _RefusalDetail


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated call to a plain service.

    Attributes:
        request_id: Id of the request.
        organisation: Organisation of the caller.
        service: Service to call.
        route: Route that matches the path and the method.
        method: HTTP method.
        path: Path below the service with the query, percent-encoded.
        headers: End-to-end headers to forward.
        body: Request body.
        priority: Priority within the organisation; higher goes first.
        deadline: Time by which the call must end.
    """

    request_id: ids.RequestId
    organisation: document.Organisation
    service: document.Service
    route: document.Route
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    priority: int
    deadline: clock.Deadline


async def handle_call(request: web.Request) -> web.StreamResponse:
    """Sends a call to an endpoint of a plain service."""
    entry = request.app[context.CONTEXT_KEY]
    view = entry.accept_request()
    organisation = authentication.authenticate(request, view)
    call = await _parse_call(request, organisation, view)
    lifecycle = context.begin_lifecycle(
        request, call.request_id, is_idempotent=call.route.idempotent
    )
    if call.route.idempotent:
        return await _send_within_limits(entry, view, call, lifecycle)
    key = claimed_calls.require_key(
        request, ids.OrganisationId(organisation.id)
    )
    return await entry.claimed_calls.run(
        key,
        _digest_content(call),
        call.deadline,
        lifecycle,
        lambda: _send_within_limits(entry, view, call, lifecycle),
    )


async def _send_within_limits(
    entry: context.EntryContext,
    view: document.View,
    call: ServiceCall,
    lifecycle: lifecycles.Lifecycle,
) -> web.Response:
    # A claimed call gets here only after its claim is granted. Otherwise a
    # limit could report "not-run" for a retry of a key that may have run.
    async with admission.admit(
        entry.limiter, call.organisation, CALL_COST_TOKENS
    ):
        return await _send_with_retries(entry, view, call, lifecycle)


def _digest_content(call: ServiceCall) -> bytes:
    return keys.digest_content(
        call.service.id.encode(),
        call.method.encode(),
        call.path.encode(),
        call.headers.get("Content-Type", "").encode("utf-8", "surrogateescape"),
        call.body,
    )


async def _parse_call(
    request: web.Request,
    organisation: document.Organisation,
    view: document.View,
) -> ServiceCall:
    service = view.find_service(ids.ServiceId(request.match_info["service"]))
    if service is None:
        raise request_errors.make_refusal(
            verdicts.Reason.NOT_FOUND, "the service does not exist"
        )
    raw_path = request.rel_url.raw_path.removeprefix(f"/services/{service.id}")
    check_path(raw_path)
    route = find_route(service, request.method, raw_path or "/")
    timeout_s = parameters.parse_timeout(
        request.headers.get(headers.TIMEOUT),
        service.timeout_s,
        service.timeout_s,
    )
    query = request.rel_url.raw_query_string
    return ServiceCall(
        request_id=ids.make_request_id(),
        organisation=organisation,
        service=service,
        route=route,
        method=request.method,
        path=(raw_path or "/") + (f"?{query}" if query else ""),
        headers=select_headers(request.headers),
        body=await bodies.read_body(request),
        priority=parameters.parse_priority(
            request.headers.get(headers.PRIORITY)
        ),
        deadline=clock.make_deadline(timeout_s),
    )


def check_path(raw_path: str) -> None:
    """Rejects paths that an endpoint might interpret as another path.

    Raises:
        request_errors.RequestEndedError: The path has dot segments, empty
            segments, encoded separators or control characters.
    """
    for segment in raw_path.split("/")[1:]:
        if paths.is_unsafe(segment):
            raise request_errors.make_refusal(
                verdicts.Reason.INVALID,
                "the path contains a segment that is not allowed",
            )
    if "//" in raw_path:
        raise request_errors.make_refusal(
            verdicts.Reason.INVALID, "the path contains an empty segment"
        )


def find_route(
    service: document.Service, method: str, raw_path: str
) -> document.Route:
    """Returns the route with the longest matching path prefix.

    Raises:
        request_errors.RequestEndedError: No route matches the path or the
            method.
    """
    matching = [
        route for route in service.routes if _matches(route.path, raw_path)
    ]
    if not matching:
        raise request_errors.make_refusal(
            verdicts.Reason.NOT_FOUND,
            "no route of the service matches the path",
        )
    longest = max(len(route.path) for route in matching)
    for route in matching:
        if len(route.path) == longest and method in route.methods:
            return route
    raise request_errors.make_refusal(
        verdicts.Reason.METHOD_NOT_ALLOWED,
        "the route does not accept this method",
    )


def select_headers(
    received: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns the end-to-end headers to forward."""
    connection_options = (
        ",".join(received.getall("Connection", [])).lower().split(",")
    )
    dropped = _NOT_FORWARDED | {name.strip() for name in connection_options}
    selected: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in received.items():
        lower = name.lower()
        if lower in dropped or lower.startswith("endpoint-"):
            continue
        selected.add(name, value)
    return selected


def _matches(prefix: str, raw_path: str) -> bool:
    stem = prefix.rstrip("/")
    return raw_path == stem or raw_path.startswith(stem + "/") or not stem


async def _send_with_retries(
    entry: context.EntryContext,
    view: document.View,
    call: ServiceCall,
    lifecycle: lifecycles.Lifecycle,
) -> web.Response:
    excluded: frozenset[ids.EndpointId] = frozenset()
    grant_request = _make_grant_request(call)
    ending: verdicts.Ending = verdicts.DeadlineExceeded()
    entry.retry_budget.count_request()
    for _ in range(MAX_ATTEMPTS):
        grant = await entry.grant_client.acquire(
            grant_request, excluded, view.version
        )
        lifecycle.grant()
        try:
            async with grant:
                response = await _send(entry, call, grant, lifecycle)
        except request_errors.RequestEndedError as ended:
            ending = ended.ending
        else:
            verdict = lifecycle.end(verdicts.AnswerComplete(response.status))
            metrics.count_end(verdict)
            response.headers.update(replies.make_headers(verdict))
            return response
        if call.deadline.has_passed or not lifecycle.may_send:
            break
        if not entry.retry_budget.take():
            break
        excluded |= {grant.endpoint}
    raise request_errors.RequestEndedError(ending)


def _make_grant_request(call: ServiceCall) -> grants.GrantRequest:
    return grants.GrantRequest(
        request_id=call.request_id,
        organisation=ids.OrganisationId(call.organisation.id),
        deadline=call.deadline,
        service=call.service.id,
        prompt_tokens=CALL_COST_TOKENS,
        priority=call.priority,
    )


async def _send(
    entry: context.EntryContext,
    call: ServiceCall,
    grant: grants.HeldGrant,
    lifecycle: lifecycles.Lifecycle,
) -> web.Response:
    remaining_s = call.deadline.remaining_s
    if remaining_s <= 0:
        grant.record_end(grant_pb2.REPORT_NOT_SENT)
        raise request_errors.RequestEndedError(verdicts.DeadlineExceeded())
    lifecycle.send()
    try:
        async with entry.session.request(
            call.method,
            yarl.URL(f"http://{grant.target.address}{call.path}", encoded=True),
            headers=_make_endpoint_headers(call, grant),
            data=call.body,
            timeout=aiohttp.ClientTimeout(total=remaining_s),
            allow_redirects=False,
        ) as response:
            with entry.response_memory.hold() as held:
                body = await http_session.read_body(
                    response, MAX_RESPONSE_BYTES, held.add
                )
    except response_memory.ResponseMemoryError as error:
        grant.record_end(grant_pb2.REPORT_FAILED, detail="no_memory")
        raise request_errors.RequestEndedError(
            verdicts.EndpointFailed(
                "there is no memory for such a large response"
            )
        ) from error
    except http_session.BodyTooLargeError as error:
        grant.record_end(grant_pb2.REPORT_FAILED, detail="too_large")
        raise request_errors.RequestEndedError(
            verdicts.EndpointFailed(
                f"the response is larger than {MAX_RESPONSE_BYTES} bytes"
            )
        ) from error
    except generation.CONNECT_ERRORS as error:
        lifecycle.record_refusal()
        grant.record_end(grant_pb2.REPORT_NOT_SENT, detail="connect")
        raise request_errors.RequestEndedError(
            verdicts.EndpointRefused("the endpoint could not be reached")
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        lifecycle.record_loss()
        grant.record_end(grant_pb2.REPORT_FAILED, detail=type(error).__name__)
        raise request_errors.RequestEndedError(
            _classify_error(error)
        ) from error
    if _is_refusal(response.status, body):
        lifecycle.record_refusal()
        grant.record_end(grant_pb2.REPORT_NOT_SENT, detail="refused")
        raise request_errors.RequestEndedError(
            verdicts.EndpointRefused("the endpoint refused the call")
        )
    grant.record_end(grant_pb2.REPORT_COMPLETE)
    _log_complete(call, grant, response.status)
    return _make_caller_response(response, body, call, grant)


def _is_refusal(status: int, body: bytes) -> bool:
    """Returns whether a response states that the call was not run."""
    if status not in _REFUSAL_STATUSES or len(body) > MAX_REFUSAL_BYTES:
        return False
    try:
        error = msgspec.json.decode(body, type=_Refusal).error
    except msgspec.DecodeError:
        return False
    return error.type in _REFUSAL_TYPES


def _make_endpoint_headers(
    call: ServiceCall, grant: grants.HeldGrant
) -> multidict.CIMultiDict[str]:
    forwarded = call.headers.copy()
    forwarded.update(grant.target.make_headers(call.deadline))
    return forwarded


def _classify_error(error: Exception) -> verdicts.Ending:
    if isinstance(error, TimeoutError):
        return verdicts.DeadlineExceeded()
    return verdicts.ConnectionLost("the connection to the endpoint was lost")


def _log_complete(
    call: ServiceCall, grant: grants.HeldGrant, status: int
) -> None:
    logs.log_event(
        "call_complete",
        request=call.request_id,
        organisation=call.organisation.id,
        endpoint=grant.endpoint,
        status=status,
    )


def _make_caller_response(
    response: aiohttp.ClientResponse,
    body: bytes,
    call: ServiceCall,
    grant: grants.HeldGrant,
) -> web.Response:
    caller_response = web.Response(status=response.status, body=body)
    for name, value in select_headers(response.headers).items():
        if name.lower() in _SET_BY_SERVER:
            continue
        caller_response.headers.add(name, value)
    caller_response.headers[headers.REQUEST_ID] = call.request_id
    caller_response.headers[headers.ENDPOINT] = grant.endpoint
    return caller_response
