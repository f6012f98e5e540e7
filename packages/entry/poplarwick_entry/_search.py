"""State of the search for a dispatcher that grants a request."""

from __future__ import annotations

import math
import random

from poplarwick_core import ids
from poplarwick_entry import request_errors
from poplarwick_outcomes import verdicts
from poplarwick_peers.wire import grant_pb2

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 3.0

_REASONS = {
    grant_pb2.REFUSAL_DEADLINE: verdicts.Reason.DEADLINE,
    grant_pb2.REFUSAL_LIMIT: verdicts.Reason.LIMIT,
    grant_pb2.REFUSAL_TOO_LONG: verdicts.Reason.TOO_LONG,
    grant_pb2.REFUSAL_DRAINING: verdicts.Reason.DRAINING,
}
_TRANSIENT_REASONS = frozenset(
    (
        grant_pb2.REFUSAL_NOT_OWNER,
        grant_pb2.REFUSAL_DRAINING,
    )
)
"""Refusals that are expected to end when endpoints get a new owner."""

_FINAL_REASONS = frozenset(
    (
        grant_pb2.REFUSAL_LIMIT,
        grant_pb2.REFUSAL_TOO_LONG,
    )
)
_REASONS_BY_PRECEDENCE = (
    grant_pb2.REFUSAL_DEADLINE,
    grant_pb2.REFUSAL_NO_ROOM,
    grant_pb2.REFUSAL_DRAINING,
    grant_pb2.REFUSAL_CANCELLED,
    grant_pb2.REFUSAL_NOT_OWNER,
)
_PRECEDENCE = {
    reason: precedence
    for precedence, reason in enumerate(_REASONS_BY_PRECEDENCE)
}


class Search:
    """Refusals of the dispatchers that were tried for one request.

    Attributes:
        refusal: The most informative refusal so far.
        shortest_queue_instance: Instance whose dispatcher reported the
            shortest queue, or None.
    """

    def __init__(self) -> None:
        self.refusal = grant_pb2.Refusal(
            reason=grant_pb2.REFUSAL_NOT_OWNER,
            detail="no instance owns an endpoint for the model or service",
        )
        self.shortest_queue_instance: ids.InstanceId | None = None
        self._shortest_queue_s = math.inf

    @property
    def is_transient(self) -> bool:
        """Whether the refusal may end when endpoints get a new owner."""
        return self.refusal.reason in _TRANSIENT_REASONS

    @property
    def is_final(self) -> bool:
        """Whether every dispatcher would refuse for the same reason."""
        return self.refusal.reason in _FINAL_REASONS

    def record_refusal(
        self, instance: ids.InstanceId, reply: grant_pb2.AcquireReply
    ) -> None:
        """Records a refusal and the queueing time reported with it."""
        self.refusal = _choose_refusal(self.refusal, reply.refusal)
        if reply.refusal.reason != grant_pb2.REFUSAL_NO_ROOM:
            return
        if any(hint.is_absent for hint in reply.room):
            return
        queue_s = sum(hint.queue_s for hint in reply.room)
        if queue_s < self._shortest_queue_s:
            self._shortest_queue_s = queue_s
            self.shortest_queue_instance = instance


def make_error(refusal: grant_pb2.Refusal) -> request_errors.RequestEndedError:
    """Returns the error for a request that no dispatcher granted."""
    reason = _REASONS.get(refusal.reason, verdicts.Reason.NO_ROOM)
    retry_after_s: float | None = refusal.retry_after_s
    if reason is verdicts.Reason.TOO_LONG:
        retry_after_s = None
    elif not retry_after_s:
        retry_after_s = random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
    return request_errors.make_refusal(
        reason,
        refusal.detail or "no endpoint has capacity for the request",
        retry_after_s=retry_after_s,
    )


def _choose_refusal(
    earlier: grant_pb2.Refusal, later: grant_pb2.Refusal
) -> grant_pb2.Refusal:
    """Returns the more informative of two refusals."""
    if later.reason in _FINAL_REASONS:
        return later
    if _get_precedence(later) <= _get_precedence(earlier):
        return later
    return earlier


def _get_precedence(refusal: grant_pb2.Refusal) -> int:
    return _PRECEDENCE.get(refusal.reason, len(_PRECEDENCE))
