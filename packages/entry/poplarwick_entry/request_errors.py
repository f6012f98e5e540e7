"""The error that ends a request without a whole answer."""

from __future__ import annotations

from aiohttp import web

from poplarwick_core import errors
from poplarwick_outcomes import replies
from poplarwick_outcomes import verdicts


class RequestEndedError(errors.PoplarwickError):
    """Ends a request; the lifecycle decides what its caller is told.

    Attributes:
        ending: What ended the request.
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
    """Returns the error for a request that this system refuses."""
    return RequestEndedError(
        verdicts.Refused(reason, detail, retry_after_s, param)
    )


def make_response(verdict: verdicts.Verdict) -> web.Response:
    """Returns the HTTP answer that tells a verdict."""
    return web.Response(
        status=verdict.status,
        body=replies.encode_body(verdict),
        content_type="application/json",
        headers=replies.make_headers(verdict),
    )
