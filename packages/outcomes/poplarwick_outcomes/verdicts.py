"""Classification of how a request ended.

`decide_outcome` is the only function that maps an error to an `Outcome`.
"""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core.outcome import Outcome


class Reason(enum.Enum):
    """Reason for refusing a request before any endpoint ran it.

    The value is the `code` in the error body.
    """

    INVALID = "invalid_request"
    UNAUTHENTICATED = "unknown_key"
    NOT_FOUND = "not_found"
    MODEL_NOT_FOUND = "model_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    TOO_LONG = "context_length_exceeded"
    SLOW_SENDER = "request_timeout"
    LIMIT = "rate_limit_exceeded"
    NO_ROOM = "no_room"
    DEADLINE = "deadline_too_near"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_INVALID = "idempotency_key_invalid"
    KEY_CONFLICT = "idempotency_key_conflict"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    INTERNAL = "internal_error"


_STATUS = {
    Reason.INVALID: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NOT_FOUND: 404,
    Reason.MODEL_NOT_FOUND: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.TOO_LARGE: 413,
    Reason.TOO_LONG: 400,
    Reason.SLOW_SENDER: 408,
    Reason.LIMIT: 429,
    Reason.NO_ROOM: 503,
    Reason.DEADLINE: 503,
    Reason.DRAINING: 503,
    Reason.NOT_READY: 503,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_CONFLICT: 422,
    Reason.CLAIMS_UNAVAILABLE: 503,
    Reason.INTERNAL: 500,
}

_GONE = 410
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_CLIENT_CLOSED = 499
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerComplete:
    """The endpoint's answer was received completely.

    Attributes:
        status: HTTP status of the answer; 500 and above report a failed run.
    """

    status: int = _OK


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Poplarwick refused the request.

    Attributes:
        reason: Reason for the refusal.
        detail: Human-readable description.
        retry_after_s: Seconds to wait before a retry, if known.
        param: Invalid field or header, if any.
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None
    param: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRefused:
    """The last endpoint refused the request without running any of it.

    Attributes:
        detail: Human-readable description.
        retry_after_s: Seconds to wait before a retry, if known.
    """

    detail: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The endpoint reported that it ran the request and failed.

    Attributes:
        detail: Human-readable description.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the endpoint closed before the answer was complete.

    Attributes:
        detail: Human-readable description.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline of the request passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller disconnected."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeMissing:
    """An earlier call with the same key has no recorded outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class StillRunning:
    """An earlier call with the same key is still running."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExpired:
    """The key is older than the retention period; the call never runs again."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDropped:
    """An earlier call with the same key ran; its answer is no longer stored.

    Attributes:
        status: HTTP status of that answer.
    """

    status: int


Ending = (
    AnswerComplete
    | Refused
    | EndpointRefused
    | EndpointFailed
    | ConnectionLost
    | DeadlineExceeded
    | CallerLeft
    | OutcomeMissing
    | StillRunning
    | KeyExpired
    | AnswerDropped
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a request as reported to its caller.

    Attributes:
        outcome: Outcome of the request.
        status: HTTP status to send if the response has not started.
        code: Stable machine-readable code; empty for a complete answer.
        message: Human-readable description; empty for a complete answer.
        is_retryable: Whether the caller may send the same request again.
        retry_after_s: Seconds to wait before a retry, if known.
        param: Invalid field or header, if any.
    """

    outcome: Outcome
    status: int
    code: str = ""
    message: str = ""
    is_retryable: bool = False
    retry_after_s: float | None = None
    param: str | None = None


def decide_outcome(
    ending: Ending, *, may_have_run: bool, is_idempotent: bool
) -> Verdict:
    """Maps the ending of a request to its outcome, status and error code.

    The rules, in order:

    1. A complete answer is `COMPLETE`, or `FAILED` if its status is 500 or
       above. A request that depends on an earlier call with the same key
       whose effect is unknown, or whose answer is gone, is `UNKNOWN`.
    2. If no endpoint may have run the request, it is `NOT_RUN`.
    3. If the endpoint reported that the run failed, it is `FAILED`.
    4. Any other ending of an idempotent request is `FAILED` and retryable.
    5. Everything else is `UNKNOWN`.

    Args:
        ending: Event that ended the request.
        may_have_run: Whether any endpoint may have run the request. Attempts
            that the endpoint refused do not count.
        is_idempotent: Whether the request can safely be retried.

    Returns:
        The verdict to report to the caller.
    """
    match ending:
        case AnswerComplete(status) if status < _SERVER_ERROR:
            return Verdict(Outcome.COMPLETE, status)
        case AnswerComplete():
            return _make_failed(ending, is_retryable=is_idempotent)
        case OutcomeMissing() | StillRunning() | KeyExpired() | AnswerDropped():
            return _make_unknown(ending)
    if not may_have_run and not isinstance(ending, EndpointFailed):
        return _make_not_run(ending)
    if is_idempotent:
        return _make_failed(ending, is_retryable=True)
    if isinstance(ending, EndpointFailed):
        return _make_failed(ending, is_retryable=False)
    return _make_unknown(ending)


def _make_not_run(ending: Ending) -> Verdict:
    match ending:
        case Refused(reason, detail, retry_after_s, param):
            status = _STATUS[reason]
            return Verdict(
                Outcome.NOT_RUN,
                status,
                reason.value,
                detail,
                is_retryable=status in (408, 429) or status >= 500,
                retry_after_s=retry_after_s,
                param=param,
            )
        case EndpointRefused(_, retry_after_s):
            status, code = _STATUS[Reason.NO_ROOM], Reason.NO_ROOM.value
        case _:
            status, code = _describe(ending)
            retry_after_s = None
    return Verdict(
        Outcome.NOT_RUN,
        status,
        code,
        f"not run: {_explain(ending)}",
        is_retryable=True,
        retry_after_s=retry_after_s,
    )


def _make_failed(ending: Ending, *, is_retryable: bool) -> Verdict:
    status, code = _describe(ending)
    return Verdict(
        Outcome.FAILED,
        status,
        code,
        f"failed: {_explain(ending)}",
        is_retryable=is_retryable,
    )


def _make_unknown(ending: Ending) -> Verdict:
    status, code = _describe(ending)
    message = f"the call may have run: {_explain(ending)}"
    return Verdict(Outcome.UNKNOWN, status, code, message)


def _describe(ending: Ending) -> tuple[int, str]:
    match ending:
        case DeadlineExceeded():
            return _GATEWAY_TIMEOUT, "deadline_exceeded"
        case CallerLeft():
            return _CLIENT_CLOSED, "caller_left"
        case OutcomeMissing():
            return _BAD_GATEWAY, "outcome_unknown"
        case StillRunning():
            return _GATEWAY_TIMEOUT, "still_running"
        case KeyExpired():
            return _GONE, "idempotency_key_expired"
        case AnswerDropped():
            return _GONE, "answer_not_kept"
        case AnswerComplete(status):
            return status, "endpoint_failed"
        case EndpointFailed():
            return _BAD_GATEWAY, "endpoint_failed"
        case _:
            return _BAD_GATEWAY, "endpoint_lost"


def _explain(ending: Ending) -> str:
    match ending:
        case (
            Refused(detail=detail)
            | EndpointRefused(detail=detail)
            | EndpointFailed(detail=detail)
            | ConnectionLost(detail=detail)
        ):
            return detail
        case DeadlineExceeded():
            return "the deadline passed"
        case CallerLeft():
            return "the caller closed the connection"
        case StillRunning():
            return "an earlier call with this key is still running"
        case KeyExpired():
            return "the key is older than the retention period"
        case AnswerDropped(status):
            return f"it was answered with {status}; the answer is not stored"
        case AnswerComplete(status):
            return f"the endpoint answered with status {status}"
        case _:
            return "an earlier call with this key has no recorded outcome"
