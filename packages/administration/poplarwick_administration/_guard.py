"""Admits calls to the administration API."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
from aiohttp import web

from poplarwick_administration import access
from poplarwick_administration import messages
from poplarwick_administration import refusals
from poplarwick_configuration import failures
from poplarwick_configuration import follower
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_core import metrics

CALLS_PER_S = 20.0
BURST_CALLS = 60.0
MAX_BUCKETS = 10_000
JSON = "application/json"
RETRY_AFTER_S = 1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_OPERATOR = web.RequestKey("operator", access.Operator)


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at_s: float


class RateLimiter:
    """Token buckets by caller.

    Attributes:
        calls_per_s: Sustained rate of one caller.
        burst: Calls that may come at once.
    """

    def __init__(
        self, calls_per_s: float = CALLS_PER_S, burst: float = BURST_CALLS
    ) -> None:
        self.calls_per_s = calls_per_s
        self.burst = burst
        self._buckets: dict[str, _Bucket] = {}

    def take(self, caller: str, now_s: float) -> bool:
        """Counts a call and returns whether the caller may make it."""
        bucket = self._buckets.pop(caller, None)
        if bucket is None:
            bucket = _Bucket(self.burst, now_s)
            if len(self._buckets) >= MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
        self._buckets[caller] = bucket
        gained = (now_s - bucket.at_s) * self.calls_per_s
        bucket.tokens = min(self.burst, bucket.tokens + gained)
        bucket.at_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


class Guard:
    """Checks tokens and rates and turns errors into answers."""

    def __init__(
        self,
        operators: tuple[access.Operator, ...],
        documents: follower.Follower,
        limiter: RateLimiter,
    ) -> None:
        self._operators = operators
        self._documents = documents
        self._limiter = limiter
        self._calls = metrics.make_counter(
            "administration_calls", "Calls of the administration API"
        )

    @web.middleware
    async def turn_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answers each refusal with its status and a JSON body."""
        try:
            response = await handler(request)
        except refusals.ApiError as error:
            response = respond(error.body, error.status)
            if error.body.kind is messages.ErrorKind.TOO_MANY_CALLS:
                response.headers["Retry-After"] = str(RETRY_AFTER_S)
        except web.HTTPException as error:
            response = respond(_turn_http_error(error), error.status)
        except failures.MissingError as error:
            response = _respond_kind(messages.ErrorKind.NOT_FOUND, error)
        except failures.StoreError as error:
            response = _respond_kind(messages.ErrorKind.NOT_STORED, error)
        self._calls.add(1, {"status": str(response.status)})
        return response

    @web.middleware
    async def admit(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuses calls without a valid token or above the caller's rate."""
        operator = access.find_operator(
            self._operators,
            self._documents.view,
            request.headers.get("Authorization", ""),
            _read_certificate(request),
        )
        remote = f"address {request.remote}"
        caller = operator.name if operator is not None else remote
        if not self._limiter.take(caller, clock.now_s()):
            raise refusals.make_error(
                messages.ErrorKind.TOO_MANY_CALLS,
                f"at most {self._limiter.calls_per_s:g} calls a second",
            )
        if operator is None:
            logs.log_event("administration_denied", "WARNING", caller=remote)
            raise refusals.make_error(
                messages.ErrorKind.UNAUTHENTICATED,
                "a valid bearer token or client certificate is needed",
            )
        request[_OPERATOR] = operator
        return await handler(request)


def _read_certificate(request: web.Request) -> bytes | None:
    """Returns the caller's certificate, which TLS has verified."""
    connection = request.get_extra_info("ssl_object")
    if connection is None:
        return None
    certificate: bytes | None = connection.getpeercert(binary_form=True)
    return certificate


def respond(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Returns a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type=JSON
    )


def get_operator(request: web.Request) -> access.Operator:
    """Returns who makes the call."""
    return request[_OPERATOR]


def require_viewer(request: web.Request) -> access.Operator:
    """Returns who makes the call if they may read everything.

    Raises:
        refusals.ApiError: They may not.
    """
    operator = get_operator(request)
    if not access.may_view(operator):
        raise _make_forbidden(operator, "viewer or operator")
    return operator


def require_operator(request: web.Request) -> access.Operator:
    """Returns who makes the call if they may change everything.

    Raises:
        refusals.ApiError: They may not.
    """
    operator = get_operator(request)
    if not access.may_change(operator):
        raise _make_forbidden(operator, "operator")
    return operator


def require_manager(request: web.Request, organisation: str) -> access.Operator:
    """Returns who makes the call if they may manage an organisation.

    Raises:
        refusals.ApiError: They may not.
    """
    operator = get_operator(request)
    if not access.may_manage(operator, organisation):
        raise _make_forbidden(operator, f"administrator of {organisation}")
    return operator


def _make_forbidden(
    operator: access.Operator, needed: str
) -> refusals.ApiError:
    return refusals.make_error(
        messages.ErrorKind.FORBIDDEN,
        f"{operator.name} has the role {operator.role.value}; "
        f"the call needs the role {needed}",
    )


def _respond_kind(kind: messages.ErrorKind, error: Exception) -> web.Response:
    refused = refusals.make_error(kind, str(error))
    return respond(refused.body, refused.status)


def _turn_http_error(error: web.HTTPException) -> messages.ErrorMessage:
    match error.status:
        case 404 | 405:
            kind = messages.ErrorKind.NOT_FOUND
        case 413:
            kind = messages.ErrorKind.TOO_LARGE
        case _:
            kind = messages.ErrorKind.BAD_REQUEST
    return messages.ErrorMessage(kind=kind, message=error.reason)
