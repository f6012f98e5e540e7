"""Goodput and fair shares under overload by persistently retrying callers."""

from __future__ import annotations

import collections
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import history
from poplarwick_bench import load_generator
from poplarwick_bench import metrics
from poplarwick_bench import system
from poplarwick_bench import trial

OVERLOAD_FACTOR = 3.0
QUEUED_START_FRACTION = 0.25
PERSISTENT_RETRIES = load_generator.RetryPolicy(retries_past_deadline=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Tokens completed within their deadline, by organisation.

    Attributes:
        all: In the whole load window.
        queued: After the first quarter of the window, when every organisation
            has queued work. Before that, capacity is not contended.
    """

    all: collections.Counter[str]
    queued: collections.Counter[str]


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Offers the scenario's load, then three times that load."""
    plan = system.make_plan(trial_.spec)
    async with system.open_system(plan, trial_.policy) as target:
        trial_.report_progress("load 1x")
        normal = await _measure(trial_, target, 1.0)
        trial_.report_progress(f"load {OVERLOAD_FACTOR:g}x")
        overload = await _measure(trial_, target, OVERLOAD_FACTOR)
    normal_tokens = sum(normal.all.values())
    overload_tokens = sum(overload.all.values())
    duration_s = trial_.spec.duration_s
    shares = _compute_relative_shares(trial_, overload.queued)
    full_window_shares = _compute_relative_shares(trial_, overload.all)
    results: metrics.Metrics = {
        "goodput_1x_tokens_per_s": normal_tokens / duration_s,
        "goodput_3x_tokens_per_s": overload_tokens / duration_s,
        "goodput_ratio": overload_tokens / max(normal_tokens, 1),
        "share_error": _compute_share_error(shares),
        "share_error_whole_window": _compute_share_error(full_window_shares),
    }
    for name, share in shares.items():
        results[f"share_{name}_over_weight"] = share
    return results


async def _measure(
    trial_: trial.Trial, target: system.System, factor: float
) -> Completed:
    """Returns tokens completed within both their deadline and the window."""
    generator = trial_.make_load_generator(target, PERSISTENT_RETRIES)
    records = await generator.run(trial_.make_arrivals(factor), 0.0)
    executions = history.read_executions(target.testbed.folder)
    trial_.record_trace(f"{factor:g}x", generator, executions)
    until_s = generator.started_s + trial_.spec.duration_s
    queued_from_s = (
        generator.started_s + QUEUED_START_FRACTION * trial_.spec.duration_s
    )
    tokens: collections.Counter[str] = collections.Counter()
    queued: collections.Counter[str] = collections.Counter()
    for record in metrics.select_complete(records):
        ended_s = record.due_s + record.ended_s
        if ended_s > until_s or not _meets_deadline(record):
            continue
        size = record.prompt_tokens + record.tokens
        tokens[record.organisation] += size
        if ended_s >= queued_from_s:
            queued[record.organisation] += size
    trial_.report_progress(
        f"{len(records)} attempts, {sum(tokens.values())} tokens, drained"
        f" {time.monotonic() - until_s:.1f} s after the load"
    )
    return Completed(tokens, queued)


def _compute_share_error(shares: dict[str, float]) -> float:
    return max(abs(share - 1.0) for share in shares.values())


def _meets_deadline(record: caller.AttemptRecord) -> bool:
    return record.timeout_s is None or record.ended_s <= record.timeout_s


def _compute_relative_shares(
    trial_: trial.Trial, tokens: collections.Counter[str]
) -> dict[str, float]:
    weights = trial_.spec.weights
    total = max(sum(tokens.values()), 1)
    total_weight = sum(weights.values())
    return {
        name: (tokens[name] / total) / (weight / total_weight)
        for name, weight in weights.items()
    }
