"""Log lines and metrics of the decisions on a request."""

from __future__ import annotations

from poplarwick_coordination import placement_client
from poplarwick_core import logs
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import upstream
from poplarwick_placement import messages


def record_placement(
    exchange: http_exchange.Exchange,
    reply: placement_client.PlacementOutcome,
    placement: messages.Placement,
    progress: request_progress.RequestProgress,
    *,
    is_resumed: bool,
) -> None:
    """Records that a request may be sent to an endpoint."""
    metrics.placing_seconds.record(reply.waited_s)
    if is_resumed:
        metrics.streams_resumed.add(1)
    logs.log(
        log_events.RequestPlaced(
            request=exchange.metadata.request_id,
            endpoint=placement.endpoint,
            address=placement.address,
            helpers=",".join(h.endpoint for h in placement.helpers) or None,
            reserved_tokens=sum(h.reserved_tokens for h in placement.helpers)
            or None,
            expected_first_s=placement.expected_first_s,
            expected_tokens=placement.expected_tokens,
            cost_samples=placement.cost_samples,
            reason=str(placement.reason),
            placer=reply.decided_by,
            waited_s=reply.waited_s,
            send=progress.attempts + 1,
            resumes_after=progress.last_event_id if is_resumed else None,
        )
    )


def record_relay(
    exchange: http_exchange.Exchange,
    placement: messages.Placement,
    response: upstream.Response,
) -> None:
    """Records that another instance relays a connection, if one does."""
    if response.relay is not None:
        logs.log(
            log_events.AttemptRelayed(
                request=exchange.metadata.request_id,
                endpoint=placement.endpoint,
                relay=response.relay,
            )
        )


def record_refusal(
    exchange: http_exchange.Exchange,
    reply: placement_client.PlacementOutcome,
    refusal: messages.Refusal,
    retry_after_s: float,
) -> None:
    """Records that a request is not sent to any endpoint."""
    outlook = refusal.outlook
    metrics.requests_refused.add(
        1,
        {
            "reason": refusal.reason.value,
            "forecast": _describe_outlook(outlook),
        },
    )
    logs.log(
        log_events.RequestNotPlaced(
            request=exchange.metadata.request_id,
            service=exchange.service,
            reason=refusal.reason.value,
            placer=reply.decided_by,
            waited_s=reply.waited_s,
            retry_after_s=retry_after_s,
            served_first=None if outlook is None else outlook.served_first,
            capacity_in_s=None if outlook is None else outlook.capacity_in_s,
        )
    )


def _describe_outlook(outlook: messages.CapacityOutlook | None) -> str:
    """Returns what a forecast said as an attribute of a metric."""
    match outlook:
        case None:
            return "none"
        case messages.CapacityOutlook(capacity_in_s=None):
            return "no_capacity"
        case messages.CapacityOutlook():
            return "later"
