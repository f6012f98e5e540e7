"""Goodput and fair shares when callers that never give up offer too much."""

from __future__ import annotations

import collections
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import figures
from poplarwick_bench import history
from poplarwick_bench import load
from poplarwick_bench import system
from poplarwick_bench import trial

OVERLOAD_FACTOR = 3.0
QUEUED_FROM = 0.25
NEVER_GIVES_UP = load.RetryPolicy(never_gives_up=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Tokens completed in time, by organisation.

    Attributes:
        all: In the whole window of the load.
        queued: From a quarter of it on, when every organisation has work
            waiting: before that nothing needs to be shared.
    """

    all: collections.Counter[str]
    queued: collections.Counter[str]


async def run(own: trial.Trial) -> figures.Figures:
    """Offers the scenario's load, then three times as much."""
    plan = system.make_plan(own.spec)
    async with system.open_system(plan, own.policy) as target:
        own.report("load 1x")
        normal = await _measure(own, target, 1.0)
        own.report(f"load {OVERLOAD_FACTOR:g}x")
        over = await _measure(own, target, OVERLOAD_FACTOR)
    normal_tokens = sum(normal.all.values())
    over_tokens = sum(over.all.values())
    duration_s = own.spec.duration_s
    shares = _compute_relative_shares(own, over.queued)
    whole_shares = _compute_relative_shares(own, over.all)
    found: figures.Figures = {
        "goodput_1x_tokens_per_s": normal_tokens / duration_s,
        "goodput_3x_tokens_per_s": over_tokens / duration_s,
        "goodput_ratio": over_tokens / max(normal_tokens, 1),
        "share_error": _find_error(shares),
        "share_error_whole_window": _find_error(whole_shares),
    }
    for name, share in shares.items():
        found[f"share_{name}_over_weight"] = share
    return found


async def _measure(
    own: trial.Trial, target: system.System, factor: float
) -> Completed:
    """Returns tokens completed in time and in the window, by organisation."""
    running = own.make_load(target, NEVER_GIVES_UP)
    records = await running.run(own.make_arrivals(factor), 0.0)
    executions = history.read_executions(target.testbed.folder)
    own.keep(f"{factor:g}x", running, executions)
    until_s = running.started_s + own.spec.duration_s
    queued_s = running.started_s + QUEUED_FROM * own.spec.duration_s
    tokens: collections.Counter[str] = collections.Counter()
    queued: collections.Counter[str] = collections.Counter()
    for record in figures.find_whole(records):
        ended_s = record.due_s + record.ended_s
        if ended_s > until_s or not _is_in_time(record):
            continue
        size = record.prompt_tokens + record.tokens
        tokens[record.organisation] += size
        if ended_s >= queued_s:
            queued[record.organisation] += size
    own.report(
        f"{len(records)} attempts, {sum(tokens.values())} tokens, drained"
        f" {time.monotonic() - until_s:.1f} s after the load"
    )
    return Completed(tokens, queued)


def _find_error(shares: dict[str, float]) -> float:
    return max(abs(share - 1.0) for share in shares.values())


def _is_in_time(record: caller.Record) -> bool:
    return record.timeout_s is None or record.ended_s <= record.timeout_s


def _compute_relative_shares(
    own: trial.Trial, tokens: collections.Counter[str]
) -> dict[str, float]:
    weights = own.spec.weights
    total = max(sum(tokens.values()), 1)
    whole = sum(weights.values())
    return {
        name: (tokens[name] / total) / (weight / whole)
        for name, weight in weights.items()
    }
