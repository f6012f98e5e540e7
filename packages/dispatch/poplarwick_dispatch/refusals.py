"""Refusals; a refused request was never sent to an engine."""

from __future__ import annotations

import random

from poplarwick_peers.wire import grant_pb2

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 60.0
JITTER_SHARE = 0.5


def make_refusal(
    reason: grant_pb2.RefusalReason,
    detail: str,
    retry_after_s: float = 0.0,
) -> grant_pb2.AcquireReply:
    """Returns a refusal whose retry time includes jitter.

    Args:
        reason: Reason for the refusal.
        detail: Limit or state that caused the refusal, for the caller.
        retry_after_s: Estimated time until capacity is available.
    """
    base_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    jittered_s = base_s * (1 + random.random() * JITTER_SHARE)
    return grant_pb2.AcquireReply(
        refusal=grant_pb2.Refusal(
            reason=reason, retry_after_s=jittered_s, detail=detail
        )
    )
