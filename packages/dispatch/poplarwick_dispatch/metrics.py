"""Metrics of the dispatcher."""

from __future__ import annotations

from poplarwick_core import metrics
from poplarwick_peers.wire import grant_pb2

_acquired = metrics.make_counter(
    "dispatch_acquired_total", "Grants and refusals by result."
)
_queued = metrics.make_histogram(
    "dispatch_queued_seconds", "Time from arrival to grant."
)
_RESULTS = {
    value: name.removeprefix("REFUSAL_").lower()
    for name, value in grant_pb2.RefusalReason.items()
}


def count_reply(reply: grant_pb2.AcquireReply) -> None:
    """Counts one reply to an acquire request."""
    if reply.HasField("grant"):
        _acquired.add(1, {"result": "granted"})
        _queued.record(reply.grant.queued_s)
    else:
        reason = _RESULTS.get(reply.refusal.reason, "unspecified")
        _acquired.add(1, {"result": reason})
