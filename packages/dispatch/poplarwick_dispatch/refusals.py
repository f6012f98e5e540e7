"""Refusals, which always mean that nothing was run."""

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
    """Returns a refusal whose retry time carries jitter.

    Args:
        reason: Why the request is refused.
        detail: The limit or state behind it, for the caller.
        retry_after_s: Estimated time until there is room.
    """
    base_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    jittered_s = base_s * (1 + random.random() * JITTER_SHARE)
    return grant_pb2.AcquireReply(
        refusal=grant_pb2.Refusal(
            reason=reason, retry_after_s=jittered_s, detail=detail
        )
    )
