"""Metrics of the requests of callers."""

from __future__ import annotations

import math

from poplarwick_core import metrics
from poplarwick_outcomes import verdicts

_FIRST_TOKEN = metrics.make_histogram(
    "first_token",
    "Time from receipt of a request to its first token, by prompt length.",
)
_ENDED = metrics.make_counter(
    "requests_ended", "Requests by outcome and by the code of their refusal."
)
_BROKEN = metrics.make_counter(
    "streams_broken", "Connections to engines that ended before the answer."
)


def count_first_token(prompt_tokens: int, elapsed_s: float) -> None:
    """Records the time to the first token.

    Args:
        prompt_tokens: Estimated prompt length, in tokens.
        elapsed_s: Seconds since the request was received.
    """
    _FIRST_TOKEN.record(elapsed_s, {"decade": name_decade(prompt_tokens)})


def count_end(verdict: verdicts.Verdict) -> None:
    """Counts an ended request by its outcome and code."""
    _ENDED.add(
        1, {"outcome": verdict.outcome.value, "code": verdict.code or "none"}
    )


def count_disconnect(fault: str) -> None:
    """Counts an engine connection that was lost during an answer."""
    _BROKEN.add(1, {"fault": fault})


def name_decade(prompt_tokens: int) -> str:
    """Returns the largest power of ten up to a length, such as `1000`."""
    if prompt_tokens < 1:
        return "0"
    return str(10 ** int(math.log10(prompt_tokens)))
