"""Encodes verdicts as OpenAI-compatible error responses."""

from __future__ import annotations

import math

import msgspec

from poplarwick_outcomes import verdicts

OUTCOME_HEADER = "Poplarwick-Outcome"
RETRY_AFTER_HEADER = "Retry-After"
SHOULD_RETRY_HEADER = "x-should-retry"
"""Header that the official OpenAI clients check before they retry."""


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """Content of the `error` object in an error response.

    Attributes:
        message: Human-readable description.
        type: Class of the error, such as `invalid_request_error`.
        outcome: Outcome of the request.
        repeatable: Whether the caller may send the same request again.
        param: Invalid field or header, if any.
        code: Stable machine-readable code.
        retry_after_s: Seconds to wait before a retry, if known.
    """

    message: str
    type: str
    outcome: str
    repeatable: bool | None = None
    param: str | None = None
    code: str | None = None
    retry_after_s: float | None = None


class ErrorBody(msgspec.Struct):
    """Body of every error response."""

    error: ErrorDetail


def encode_body(verdict: verdicts.Verdict) -> bytes:
    """Returns the JSON error body for a verdict."""
    detail = ErrorDetail(
        message=verdict.message,
        type=_error_type(verdict.status),
        outcome=verdict.outcome.value,
        repeatable=verdict.is_retryable,
        param=verdict.param,
        code=verdict.code,
        retry_after_s=verdict.retry_after_s,
    )
    return msgspec.json.encode(ErrorBody(detail))


def encode_event(verdict: verdicts.Verdict) -> bytes:
    """Returns the server-sent event that ends a stream with an error."""
    return b"data: " + encode_body(verdict) + b"\n\n"


def make_headers(verdict: verdicts.Verdict) -> dict[str, str]:
    """Returns the response headers for a verdict."""
    headers = {OUTCOME_HEADER: verdict.outcome.value}
    if verdict.code:
        headers[SHOULD_RETRY_HEADER] = str(verdict.is_retryable).lower()
    if verdict.retry_after_s is not None:
        seconds = max(1, math.ceil(verdict.retry_after_s))
        headers[RETRY_AFTER_HEADER] = str(seconds)
    return headers


def _error_type(status: int) -> str:
    match status:
        case 401 | 403:
            return "authentication_error"
        case 429:
            return "rate_limit_error"
        case status if status < 500:
            return "invalid_request_error"
        case _:
            return "server_error"
