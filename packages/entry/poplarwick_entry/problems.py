"""Refusals and failures in the shape that OpenAI-compatible clients expect."""

from __future__ import annotations

import dataclasses
import math

from aiohttp import web
import msgspec

from poplarwick_core import errors
from poplarwick_core import outcome
from poplarwick_entry import headers


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """Inner part of an error body.

    Attributes:
        message: Text for people.
        type: Class of the error, such as `invalid_request_error`.
        param: Field that is at fault, if one is.
        code: Stable machine-readable code.
        outcome: How the request ended.
    """

    message: str
    type: str
    param: str | None = None
    code: str | None = None
    outcome: str = ""


class ErrorBody(msgspec.Struct):
    """Body of every error answer."""

    error: ErrorDetail


@dataclasses.dataclass
class Problem(errors.PoplarwickError):
    """Ends a request without a whole answer.

    Attributes:
        status: HTTP status.
        code: Stable machine-readable code.
        message: Text for people.
        param: Field that is at fault, if one is.
        outcome: How the request ended.
        retry_after_s: Seconds after which a repeat makes sense.
    """

    status: int
    code: str
    message: str
    param: str | None = None
    outcome: outcome.Outcome = outcome.Outcome.NOT_RUN
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return self.message

    def encode_body(self) -> bytes:
        """Returns the JSON body."""
        detail = ErrorDetail(
            message=self.message,
            type=self._type,
            param=self.param,
            code=self.code,
            outcome=self.outcome.value,
        )
        return msgspec.json.encode(ErrorBody(detail))

    def make_response(self) -> web.Response:
        """Returns the HTTP answer."""
        response = web.Response(
            status=self.status,
            body=self.encode_body(),
            content_type="application/json",
        )
        response.headers[headers.OUTCOME] = self.outcome.value
        if self.retry_after_s is not None:
            seconds = max(1, math.ceil(self.retry_after_s))
            response.headers[headers.RETRY_AFTER] = str(seconds)
        return response

    @property
    def _type(self) -> str:
        match self.status:
            case 401 | 403:
                return "authentication_error"
            case 429:
                return "rate_limit_error"
            case status if status < 500:
                return "invalid_request_error"
            case _:
                return "server_error"


def keep_truth(problem: Problem, earlier: Problem | None) -> Problem:
    """Returns the problem to tell after an earlier attempt of one request.

    A request of which an earlier attempt may have run is never told to be
    "not run", even where the last attempt was refused.

    Args:
        problem: How the last attempt ended.
        earlier: Worst end of the attempts before it, or None.
    """
    if earlier is None or earlier.outcome is outcome.Outcome.NOT_RUN:
        return problem
    if problem.outcome is not outcome.Outcome.NOT_RUN:
        return problem
    return dataclasses.replace(problem, outcome=earlier.outcome)
