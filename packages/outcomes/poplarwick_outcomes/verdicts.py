"""The decision on how a request ended.

`decide_outcome` is the one place that decides how a request ended. Nothing
else in the system turns an error into an `Outcome`.
"""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core.outcome import Outcome


class Reason(enum.Enum):
    """Why a request was refused before any endpoint ran it.

    The value is the `code` of the error body.
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
    """The whole answer of an endpoint was received.

    Attributes:
        status: HTTP status of the answer; from 500 on it tells that the run
            failed.
    """

    status: int = _OK


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """This system refused the request.

    Attributes:
        reason: Why.
        detail: Text for people.
        retry_after_s: Seconds after which a repeat makes sense, if known.
        param: Field or header at fault, if one is.
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None
    param: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRefused:
    """The last endpoint answered that it runs nothing of the request.

    Attributes:
        detail: Text for people.
        retry_after_s: Seconds after which a repeat makes sense, if known.
    """

    detail: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """The endpoint answered that it ran the request and failed.

    Attributes:
        detail: Text for people.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the endpoint ended before the answer did.

    Attributes:
        detail: Text for people.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The request's time was up."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeMissing:
    """An earlier call with the same key has no recorded outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class StillRunning:
    """An earlier call with the same key is still running."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExpired:
    """The call's key is older than the retention; it never runs again."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDropped:
    """An earlier call with the same key ran; its answer is not kept.

    Attributes:
        status: HTTP status of the answer.
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
    """How a request ended, as told to its caller.

    Attributes:
        outcome: The outcome.
        status: HTTP status, if none was sent yet.
        code: Stable machine-readable code; empty for a whole answer.
        message: Text for people; empty for a whole answer.
        is_retryable: Whether the caller may send the same request again.
        retry_after_s: Seconds after which a repeat makes sense, if known.
        param: Field or header at fault, if one is.
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
    """Decides how a request ended; this is the only place that does.

    The rules, in order:

    1. A whole answer is `COMPLETE`, or `FAILED` if it tells so itself; what
       an earlier call with the same key may have done is `UNKNOWN`.
    2. Without a send whose effect is open, the request is `NOT_RUN`.
    3. An endpoint that answered that its run failed makes it `FAILED`.
    4. Any other end of an idempotent request is `FAILED` and repeatable.
    5. All else is `UNKNOWN`.

    Args:
        ending: What ended the request.
        may_have_run: Whether any endpoint may have run the request. An
            attempt that the endpoint answered with a refusal does not count.
        is_idempotent: Whether the request may be repeated without harm.

    Returns:
        The verdict.
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
            return "its time was up"
        case CallerLeft():
            return "the caller closed the connection"
        case StillRunning():
            return "an earlier call with this key is still running"
        case KeyExpired():
            return "the key is older than the time for which keys are kept"
        case AnswerDropped(status):
            return f"it ran and was answered with {status}; that is not kept"
        case AnswerComplete(status):
            return f"the endpoint answered with {status}"
        case _:
            return "an earlier call with this key has no recorded outcome"
