"""Checks whether a response may be forwarded to the caller.

A faulty endpoint may answer with what belongs to another request, also with an
earlier refusal, or with an error in place of the rest of a stream.
"""

from __future__ import annotations

from poplarwick_catalogue import types
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

EVENT_STREAM = "text/event-stream"

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that their request was not executed; not
forwarded from an endpoint that may have executed it."""


def check_response(
    exchange: http_exchange.Exchange,
    response: upstream.Response,
    *,
    is_resumed: bool,
) -> None:
    """Checks the head of a response.

    Args:
        exchange: The request.
        response: The response of an endpoint.
        is_resumed: Whether the caller has received a part of the stream.

    Raises:
        SendError: It may not be forwarded.
    """
    head = response.head
    if (
        head.request_id is not None
        and head.request_id != exchange.metadata.request_id
    ):
        # Nothing else in it says anything about this request.
        raise _make_error(f"response to request {head.request_id}")
    if head.is_misdirected:
        raise upstream.SendError(
            "the address belongs to another endpoint",
            messages.Result.MISDIRECTED,
            may_have_run=False,
        )
    if head.has_not_run:
        raise upstream.SendError(
            f"refused with status {response.status}, blamed on {head.blamed}",
            messages.Result.FULL,
            may_have_run=False,
            blamed=head.blamed,
        )
    if response.status in NOT_EXECUTED_STATUSES:
        raise _make_error(
            f"status {response.status} although the request may have run"
        )
    if response.status < 300 and not head.is_signed:
        raise _make_error("successful response without a signature")
    if "Content-Encoding" in response.headers:
        raise _make_error("response body has a content encoding")
    if is_resumed:
        _check_rest(exchange, response)


def _check_rest(
    exchange: http_exchange.Exchange, response: upstream.Response
) -> None:
    """Checks that a response can continue a stream that has begun."""
    if (
        exchange.route.kind is not types.RequestKind.STREAM
        or response.status != 200
    ):
        raise upstream.SendError(
            f"status {response.status} instead of a resumed stream",
            messages.Result.FAILED,
            may_have_run=True,
        )
    content_type = response.headers.get("Content-Type")
    if content_type is not None and not has_events(response):
        raise _make_error(f"{content_type[:40]!r} instead of a resumed stream")


def has_events(response: upstream.Response) -> bool:
    """Returns whether a response says that it is an event stream."""
    content_type = response.headers.get("Content-Type", "")
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM


def _make_error(problem: str) -> upstream.SendError:
    return upstream.SendError(
        problem, messages.Result.BROKEN, may_have_run=True
    )
