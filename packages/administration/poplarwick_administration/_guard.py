"""Authentication, rate limits and error responses of the administration API."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
from aiohttp import web

from poplarwick_administration import access
from poplarwick_administration import api_errors
from poplarwick_administration import messages
from poplarwick_configuration import failures
from poplarwick_configuration import follower
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_core import metrics

CALLS_PER_S = 20.0
BURST_CALLS = 60.0
MAX_BUCKETS = 10_000
JSON_CONTENT_TYPE = "application/json"
RETRY_AFTER_S = 1

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_OPERATOR = web.RequestKey("operator", access.Operator)


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_at_s: float


class RateLimiter:
    """Token bucket rate limiter with one bucket for each caller.

    It holds at most `MAX_BUCKETS` buckets and evicts the least recently used.

    Attributes:
        calls_per_s: Sustained rate of one caller, in calls per second.
        burst: Number of calls that one caller may make at once.
    """

    def __init__(
        self, calls_per_s: float = CALLS_PER_S, burst: float = BURST_CALLS
    ) -> None:
        self.calls_per_s = calls_per_s
        self.burst = burst
        self._buckets: dict[str, _TokenBucket] = {}

    def take(self, caller: str, now_s: float) -> bool:
        """Takes a token and returns whether the call is within the limit.

        Args:
            caller: Name of the operator, or the address of the caller.
            now_s: Time on the monotonic clock, in seconds.
        """
        bucket = self._buckets.pop(caller, None)
        if bucket is None:
            bucket = _TokenBucket(self.burst, now_s)
            if len(self._buckets) >= MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
        self._buckets[caller] = bucket
        refill = (now_s - bucket.refilled_at_s) * self.calls_per_s
        bucket.tokens = min(self.burst, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


class Guard:
    """Middlewares that authenticate and limit calls and report errors."""

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
    async def handle_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Converts exceptions to responses with a JSON body."""
        try:
            response = await handler(request)
        except api_errors.ApiError as error:
            response = respond(error.body, error.status)
            if error.body.kind is messages.ErrorKind.TOO_MANY_CALLS:
                response.headers["Retry-After"] = str(RETRY_AFTER_S)
        except web.HTTPException as error:
            response = respond(_make_http_error_message(error), error.status)
        except failures.MissingError as error:
            response = _respond_with_error(messages.ErrorKind.NOT_FOUND, error)
        except failures.StoreError as error:
            response = _respond_with_error(messages.ErrorKind.NOT_STORED, error)
        self._calls.add(1, {"status": str(response.status)})
        return response

    @web.middleware
    async def admit(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuses calls without valid credentials or above the rate limit."""
        operator = access.find_operator(
            self._operators,
            self._documents.view,
            request.headers.get("Authorization", ""),
            _read_certificate(request),
        )
        remote = f"address {request.remote}"
        caller = operator.name if operator is not None else remote
        if not self._limiter.take(caller, clock.now_s()):
            raise api_errors.make_error(
                messages.ErrorKind.TOO_MANY_CALLS,
                f"rate limit of {self._limiter.calls_per_s:g} calls per second "
                "exceeded",
            )
        if operator is None:
            logs.log_event("administration_denied", "WARNING", caller=remote)
            raise api_errors.make_error(
                messages.ErrorKind.UNAUTHENTICATED,
                "a valid bearer token or client certificate is required",
            )
        request[_OPERATOR] = operator
        return await handler(request)


def _read_certificate(request: web.Request) -> bytes | None:
    """Returns the verified client certificate in DER form, if any."""
    connection = request.get_extra_info("ssl_object")
    if connection is None:
        return None
    certificate: bytes | None = connection.getpeercert(binary_form=True)
    return certificate


def respond(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type=JSON_CONTENT_TYPE,
    )


def get_operator(request: web.Request) -> access.Operator:
    """Returns the authenticated caller."""
    return request[_OPERATOR]


def require_viewer(request: web.Request) -> access.Operator:
    """Returns the caller if it may read everything.

    Raises:
        api_errors.ApiError: The role of the caller does not allow it.
    """
    operator = get_operator(request)
    if not access.may_view(operator):
        raise _make_forbidden_error(operator, "viewer or operator")
    return operator


def require_operator(request: web.Request) -> access.Operator:
    """Returns the caller if it may change everything.

    Raises:
        api_errors.ApiError: The role of the caller does not allow it.
    """
    operator = get_operator(request)
    if not access.may_change(operator):
        raise _make_forbidden_error(operator, "operator")
    return operator


def require_manager(request: web.Request, organisation: str) -> access.Operator:
    """Returns the caller if it may manage an organisation.

    Raises:
        api_errors.ApiError: The role of the caller does not allow it.
    """
    operator = get_operator(request)
    if not access.may_manage(operator, organisation):
        raise _make_forbidden_error(
            operator, f"administrator of {organisation}"
        )
    return operator


def _make_forbidden_error(
    operator: access.Operator, needed: str
) -> api_errors.ApiError:
    return api_errors.make_error(
        messages.ErrorKind.FORBIDDEN,
        f"{operator.name} has the role {operator.role.value}; "
        f"the call requires the role {needed}",
    )


def _respond_with_error(
    kind: messages.ErrorKind, error: Exception
) -> web.Response:
    api_error = api_errors.make_error(kind, str(error))
    return respond(api_error.body, api_error.status)


def _make_http_error_message(error: web.HTTPException) -> messages.ErrorMessage:
    match error.status:
        case 404 | 405:
            kind = messages.ErrorKind.NOT_FOUND
        case 413:
            kind = messages.ErrorKind.TOO_LARGE
        case _:
            kind = messages.ErrorKind.BAD_REQUEST
    return messages.ErrorMessage(kind=kind, message=error.reason)
