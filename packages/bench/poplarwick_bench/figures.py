"""Figures of a run, computed from callers' records."""

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

Figures = dict[str, float]


def compute_percentile_s(values_s: Iterable[float], percentile: float) -> float:
    """Returns a percentile by an HDR histogram; 0 without values."""
    found = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        found.record_value(max(1, round(value_s * MICROSECONDS)))
    return float(found.get_value_at_percentile(percentile)) / MICROSECONDS


def find_whole(records: Iterable[caller.Record]) -> list[caller.Record]:
    """Returns the attempts that ended with a whole answer."""
    return [
        record
        for record in records
        if record.is_complete and record.outcome is outcome.Outcome.COMPLETE
    ]


def find_last(records: Iterable[caller.Record]) -> list[caller.Record]:
    """Returns the last attempt of each call."""
    return list({record.name: record for record in records}.values())


def find_first_token_s(records: Iterable[caller.Record]) -> list[float]:
    """Returns times to first token of whole answers, in seconds.

    They count from the time when the call was due, retries included.
    """
    return [
        record.first_token_s
        for record in find_whole(records)
        if record.first_token_s is not None
    ]


def select(
    records: Iterable[caller.Record], low_tokens: int, high_tokens: int
) -> list[caller.Record]:
    """Returns the records of prompts of at least low, below high tokens."""
    return [r for r in records if low_tokens <= r.prompt_tokens < high_tokens]


def describe_first_tokens(
    records: Sequence[caller.Record], prefix: str = ""
) -> Figures:
    """Returns percentiles of the time to first token by length decade."""
    found: Figures = {}
    for decade in workload.DECADES[:-1]:
        same = select(records, decade, decade * 10)
        times = find_first_token_s(same)
        for percentile in (50, 95, 99):
            name = f"{prefix}first_token_{decade}_p{percentile}_s"
            found[name] = compute_percentile_s(times, percentile)
    return found


def describe_outcomes(
    records: Sequence[caller.Record], prefix: str = ""
) -> Figures:
    """Returns how many calls ended in which way."""
    last = find_last(records)
    whole = find_whole(last)
    gaps = [gap for record in whole for gap in record.gaps_s]
    return {
        f"{prefix}calls": len(last),
        f"{prefix}attempts": len(records),
        f"{prefix}whole": len(whole),
        f"{prefix}failed_or_unknown": sum(
            record.outcome not in TRUTHFUL for record in records
        ),
        f"{prefix}completed_tokens": sum(
            record.prompt_tokens + record.tokens for record in whole
        ),
        f"{prefix}token_gap_p95_s": compute_percentile_s(gaps, 95),
    }


TRUTHFUL = (outcome.Outcome.COMPLETE, outcome.Outcome.NOT_RUN)
