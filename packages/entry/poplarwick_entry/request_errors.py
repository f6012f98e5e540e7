"""The error that ends a request without a complete answer."""

from __future__ import annotations

from aiohttp import web

from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_outcomes import replies
from poplarwick_outcomes import verdicts

STOP_RETRY_AFTER_S = 1.0
"""Time after which a caller may retry at another instance."""


class RequestEndedError(errors.PoplarwickError):
    """A request ended; its lifecycle decides the outcome to report.

    Attributes:
        ending: How the request ended.
    """

    def __init__(self, ending: verdicts.Ending) -> None:
        super().__init__(str(ending))
        self.ending = ending


def make_refusal(
    reason: verdicts.Reason,
    detail: str,
    param: str | None = None,
    retry_after_s: float | None = None,
) -> RequestEndedError:
    """Returns the error for a request that this instance refuses.

    Args:
        reason: Why the request is refused.
        detail: Error message for the caller.
        param: Name of the invalid field or header, if any.
        retry_after_s: Seconds after which the caller may retry, if known.
    """
    return RequestEndedError(
        verdicts.Refused(reason, detail, retry_after_s, param)
    )


def make_stop_refusal(detail: str) -> RequestEndedError:
    """Returns the error for a request that a stopping instance refuses.

    Args:
        detail: Error message for the caller.
    """
    return make_refusal(
        verdicts.Reason.DRAINING, detail, retry_after_s=STOP_RETRY_AFTER_S
    )


def log_end(verdict: verdicts.Verdict, request_id: str | None) -> None:
    """Logs the end of a request without a complete answer.

    Args:
        verdict: How it has ended.
        request_id: Id of the request; None if it was not validated.
    """
    logs.log_event(
        "request_ended",
        request=request_id,
        code=verdict.code,
        status=verdict.status,
        outcome=verdict.outcome.value,
    )


def make_response(verdict: verdicts.Verdict) -> web.Response:
    """Returns the HTTP error response for a verdict."""
    return web.Response(
        status=verdict.status,
        body=replies.encode_body(verdict),
        content_type="application/json",
        headers=replies.make_headers(verdict),
    )
