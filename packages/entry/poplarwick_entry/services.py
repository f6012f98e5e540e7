"""Calls to plain services, routed under `/services/<id>`."""

from __future__ import annotations

import dataclasses
import re
import urllib.parse

import aiohttp
from aiohttp import web
import multidict
import yarl

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_core import outcome
from poplarwick_endpoints import generation
from poplarwick_entry import authentication
from poplarwick_entry import context
from poplarwick_entry import grants
from poplarwick_entry import headers
from poplarwick_entry import parameters
from poplarwick_entry import problems
from poplarwick_peers.wire import grant_pb2

MAX_ATTEMPTS = 3
COST_TOKENS = 1

_HOP_BY_HOP = frozenset((
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
))
_NOT_FORWARDED = _HOP_BY_HOP | {
    "authorization",
    "content-length",
    "expect",
    "host",
    headers.PRIORITY.lower(),
    headers.TIMEOUT.lower(),
}
_UNSAFE_SEGMENT = re.compile(r"[\x00-\x1f\x7f\\]")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A checked call to a plain service.

    Attributes:
        request: Id of the request.
        organisation: Organisation that the caller belongs to.
        service: The service.
        route: The route that matched.
        method: HTTP method.
        path: Path below the service, percent-encoded, with the query.
        headers: End-to-end headers to pass on.
        body: Body of the call.
        priority: Priority within the organisation, higher first.
        deadline: Time at which the call must have ended.
    """

    request: ids.RequestId
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
    view = entry.require_view()
    organisation = authentication.authenticate(request, view)
    call = await _parse_call(request, organisation, view)
    return await _send_with_retries(entry, view, call)


async def _parse_call(
    request: web.Request,
    organisation: document.Organisation,
    view: document.View,
) -> Call:
    service = view.find_service(ids.ServiceId(request.match_info["service"]))
    if service is None:
        raise problems.Problem(
            404, "service_not_found", "the service does not exist"
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
    return Call(
        request=ids.make_request_id(),
        organisation=organisation,
        service=service,
        route=route,
        method=request.method,
        path=(raw_path or "/") + (f"?{query}" if query else ""),
        headers=select_headers(request.headers),
        body=await request.read(),
        priority=parameters.parse_priority(
            request.headers.get(headers.PRIORITY)
        ),
        deadline=clock.make_deadline(timeout_s),
    )


def check_path(raw_path: str) -> None:
    """Refuses paths that an endpoint might read as another path.

    Raises:
        problems.Problem: The path holds dot segments, empty segments,
            encoded separators or control characters.
    """
    for segment in raw_path.split("/")[1:]:
        decoded = urllib.parse.unquote(segment)
        twice = urllib.parse.unquote(decoded)
        is_unsafe = (
            decoded in (".", "..")
            or twice in (".", "..")
            or "/" in decoded
            or _UNSAFE_SEGMENT.search(decoded) is not None
        )
        if is_unsafe:
            raise problems.Problem(
                400, "invalid_path", "the path holds a segment not allowed"
            )
    if "//" in raw_path:
        raise problems.Problem(
            400, "invalid_path", "the path holds an empty segment"
        )


def find_route(
    service: document.Service, method: str, raw_path: str
) -> document.Route:
    """Returns the route with the longest matching path prefix.

    Raises:
        problems.Problem: No route matches the path or the method.
    """
    matching = [
        route for route in service.routes if _matches(route.path, raw_path)
    ]
    if not matching:
        raise problems.Problem(
            404, "route_not_found", "the service has no such route"
        )
    longest = max(len(route.path) for route in matching)
    for route in matching:
        if len(route.path) == longest and method in route.methods:
            return route
    raise problems.Problem(
        405, "method_not_allowed", "the route does not accept this method"
    )


def select_headers(
    received: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns the end-to-end headers that are passed on."""
    listed = received.get("Connection", "").lower().split(",")
    dropped = _NOT_FORWARDED | {name.strip() for name in listed}
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
    entry: context.EntryContext, view: document.View, call: Call
) -> web.StreamResponse:
    excluded: frozenset[ids.EndpointId] = frozenset()
    demand = grants.Demand(
        request=call.request,
        organisation=ids.OrganisationId(call.organisation.id),
        deadline=call.deadline,
        service=call.service.id,
        prompt_tokens=COST_TOKENS,
        priority=call.priority,
    )
    earlier: problems.Problem | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            held = await entry.broker.acquire(demand, excluded, view.version)
        except problems.Problem as problem:
            raise problems.keep_truth(problem, earlier) from earlier
        try:
            async with held:
                return await _send(entry, call, held)
        except problems.Problem as problem:
            earlier = problems.keep_truth(problem, earlier)
            if not _may_repeat(problem, call):
                raise earlier from problem
        excluded |= {held.endpoint}
    assert earlier is not None
    raise earlier


def _may_repeat(problem: problems.Problem, call: Call) -> bool:
    if call.deadline.has_passed:
        return False
    did_not_run = problem.outcome is outcome.Outcome.NOT_RUN
    return did_not_run or call.route.idempotent


async def _send(
    entry: context.EntryContext, call: Call, held: grants.HeldGrant
) -> web.Response:
    url = yarl.URL(f"http://{held.target.address}{call.path}", encoded=True)
    passed = call.headers.copy()
    passed.update(held.target.make_headers(call.deadline))
    remaining_s = call.deadline.remaining_s
    if remaining_s <= 0:
        held.note_end(grant_pb2.REPORT_NOT_SENT)
        raise problems.Problem(504, "timeout", "no time is left for the call")
    timeout = aiohttp.ClientTimeout(total=remaining_s)
    try:
        async with entry.session.request(
            call.method,
            url,
            headers=passed,
            data=call.body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
    except generation.CONNECT_ERRORS as error:
        held.note_end(grant_pb2.REPORT_NOT_SENT, detail="connect")
        raise problems.Problem(
            503,
            "endpoint_unreachable",
            "the endpoint could not be reached",
            retry_after_s=1.0,
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        held.note_end(grant_pb2.REPORT_FAILED, detail=type(error).__name__)
        raise _make_broken_problem(call, error) from error
    held.note_end(grant_pb2.REPORT_COMPLETE)
    logs.log_event(
        "call_complete",
        request=call.request,
        organisation=call.organisation.id,
        endpoint=held.endpoint,
        status=response.status,
    )
    return _make_answer(response, body, call, held)


def _make_broken_problem(call: Call, error: Exception) -> problems.Problem:
    is_timeout = isinstance(error, TimeoutError)
    status = 504 if is_timeout else 502
    code = "timeout" if is_timeout else "endpoint_broken"
    if call.route.idempotent:
        return problems.Problem(
            status,
            code,
            "the call failed; it may be repeated",
            outcome=outcome.Outcome.FAILED,
            retry_after_s=1.0,
        )
    return problems.Problem(
        status,
        code,
        "the call may have run; it must not be repeated blindly",
        outcome=outcome.Outcome.UNKNOWN,
    )


def _make_answer(
    response: aiohttp.ClientResponse,
    body: bytes,
    call: Call,
    held: grants.HeldGrant,
) -> web.Response:
    answer = web.Response(status=response.status, body=body)
    for name, value in select_headers(response.headers).items():
        answer.headers.add(name, value)
    answer.headers[headers.REQUEST_ID] = call.request
    answer.headers[headers.OUTCOME] = outcome.Outcome.COMPLETE.value
    answer.headers[headers.ENDPOINT] = held.endpoint
    return answer
