"""Metrics of a run, computed from the callers' records."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from hdrh import histogram

from poplarwick_bench import caller
from poplarwick_bench import workload
from poplarwick_core import outcome

MICROSECONDS = 1_000_000
LONGEST_US = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
SHORT_TOKENS = 10_000
LONG_TOKENS = 100_000

Metrics = dict[str, float]


def compute_percentile_s(values_s: Iterable[float], percentile: float) -> float:
    """Returns a percentile from an HDR histogram; 0 without values."""
    hdr = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        hdr.record_value(max(1, round(value_s * MICROSECONDS)))
    return float(hdr.get_value_at_percentile(percentile)) / MICROSECONDS


def select_complete(
    records: Iterable[caller.AttemptRecord],
) -> list[caller.AttemptRecord]:
    """Returns the attempts that received a complete response."""
    return [
        record
        for record in records
        if record.is_complete and record.outcome is outcome.Outcome.COMPLETE
    ]


def select_last_attempts(
    records: Iterable[caller.AttemptRecord],
) -> list[caller.AttemptRecord]:
    """Returns the last attempt of each call."""
    return list({record.name: record for record in records}.values())


def get_first_token_times_s(
    records: Iterable[caller.AttemptRecord],
) -> list[float]:
    """Returns the times to first token of complete responses, in seconds.

    Times are measured from when the call was due and include its retries.
    """
    return [
        record.first_token_s
        for record in select_complete(records)
        if record.first_token_s is not None
    ]


def select_by_prompt_size(
    records: Iterable[caller.AttemptRecord], low_tokens: int, high_tokens: int
) -> list[caller.AttemptRecord]:
    """Returns the records with a prompt size in [low_tokens, high_tokens)."""
    return [r for r in records if low_tokens <= r.prompt_tokens < high_tokens]


def describe_first_tokens(
    records: Sequence[caller.AttemptRecord], prefix: str = ""
) -> Metrics:
    """Returns percentiles of the time to first token by prompt decade."""
    percentiles: Metrics = {}
    for decade in workload.DECADES[:-1]:
        same = select_by_prompt_size(records, decade, decade * 10)
        times = get_first_token_times_s(same)
        for percentile in (50, 95, 99):
            name = f"{prefix}first_token_{decade}_p{percentile}_s"
            percentiles[name] = compute_percentile_s(times, percentile)
    return percentiles


def describe_outcomes(
    records: Sequence[caller.AttemptRecord], prefix: str = ""
) -> Metrics:
    """Returns counts of outcomes, completed tokens and the token gap."""
    last = select_last_attempts(records)
    complete = select_complete(last)
    gaps = [gap for record in complete for gap in record.gaps_s]
    return {
        f"{prefix}calls": len(last),
        f"{prefix}attempts": len(records),
        f"{prefix}whole": len(complete),
        f"{prefix}failed_or_unknown": sum(
            record.outcome not in EXPECTED_OUTCOMES for record in records
        ),
        f"{prefix}completed_tokens": sum(
            record.prompt_tokens + record.tokens for record in complete
        ),
        f"{prefix}token_gap_p95_s": compute_percentile_s(gaps, 95),
    }


EXPECTED_OUTCOMES = (outcome.Outcome.COMPLETE, outcome.Outcome.NOT_RUN)
