"""Slowdown of short requests by concurrent long requests."""

from __future__ import annotations

import dataclasses

from poplarwick_bench import caller
from poplarwick_bench import history
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench import workload

BASELINES = (
    scenario.Policy.ROUND_ROBIN,
    scenario.Policy.LEAST_OUTSTANDING,
)
DRAIN_S = 60.0
WARM_UP_SHARE = 0.3
WARM_UP_SEED = 1_000
LONGEST_TOKENS = 10_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyOutcome:
    """Records of one policy.

    Attributes:
        mixed: Records of the load with all lengths.
        alone: Records of the same short arrivals without the long ones.
    """

    mixed: list[caller.AttemptRecord]
    alone: list[caller.AttemptRecord]

    @property
    def slowdown(self) -> float:
        """Ratio of the short requests' p95 first-token time, mixed to alone."""
        alone_s = _compute_short_p95_s(self.alone)
        return _compute_short_p95_s(self.mixed) / max(alone_s, 1e-6)

    @property
    def completed_tokens(self) -> int:
        """Tokens of the mixed calls that completed within their deadline."""
        return sum(
            record.prompt_tokens + record.tokens
            for record in metrics.select_complete(self.mixed)
            if record.ended_s <= (record.timeout_s or record.ended_s)
        )


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Runs the policy; the current policy is compared with the baselines."""
    outcome = await _measure(trial_, trial_.policy)
    results = {
        "short_slowdown": outcome.slowdown,
        "short_alone_p95_s": _compute_short_p95_s(outcome.alone),
        "short_mixed_p95_s": _compute_short_p95_s(outcome.mixed),
        "long_in_time_share": _compute_long_in_time_share(outcome.mixed),
        **metrics.describe_first_tokens(outcome.mixed),
        **metrics.describe_outcomes(outcome.mixed),
    }
    if trial_.policy is scenario.Policy.CURRENT:
        baselines = [await _measure(trial_, policy) for policy in BASELINES]
        results |= _compare(outcome, baselines)
    return results


async def _measure(
    trial_: trial.Trial, policy: scenario.Policy
) -> PolicyOutcome:
    plan = system.make_plan(trial_.spec)
    arrivals = trial_.make_arrivals()
    short = [a for a in arrivals if a.prompt_tokens < metrics.SHORT_TOKENS]
    async with system.open_system(plan, policy) as target:
        trial_.report_progress(f"{policy.value}: warm-up")
        await trial_.make_load_generator(target).run(
            _make_warm_up(trial_), DRAIN_S
        )
        trial_.report_progress(
            f"{policy.value}: {len(short)} short requests alone"
        )
        alone = await trial_.make_load_generator(target).run(short, DRAIN_S)
        generator = trial_.make_load_generator(target)
        trial_.report_progress(f"{policy.value}: all {len(arrivals)} requests")
        mixed = await generator.run(arrivals, DRAIN_S)
        executions = history.read_executions(target.testbed.folder)
        trial_.record_trace("mixed", generator, executions, policy)
    return PolicyOutcome(mixed, alone)


def _make_warm_up(trial_: trial.Trial) -> list[workload.Arrival]:
    """Returns short arrivals that warm up new endpoints."""
    load = trial_.make_workload()
    warm_up = workload.make_arrivals(load, trial_.seed + WARM_UP_SEED)
    until_s = WARM_UP_SHARE * load.duration_s
    return [
        arrival
        for arrival in warm_up
        if arrival.at_s < until_s
        and arrival.prompt_tokens < metrics.SHORT_TOKENS
    ]


def _compare(
    outcome: PolicyOutcome, baselines: list[PolicyOutcome]
) -> metrics.Metrics:
    # The slowdown is relative to the best time of all systems, so that a
    # system does not benefit from being slow without long requests.
    best_alone_s = min(
        _compute_short_p95_s(candidate.alone)
        for candidate in (outcome, *baselines)
    )
    slowdown = _compute_short_p95_s(outcome.mixed) / max(best_alone_s, 1e-6)
    better_slowdown = min(baseline.slowdown for baseline in baselines)
    tokens = max(baseline.completed_tokens for baseline in baselines)
    excess = max(better_slowdown - 1.0, 1e-6)
    results = {
        f"{policy.name.lower()}_short_slowdown": baseline.slowdown
        for policy, baseline in zip(BASELINES, baselines, strict=True)
    }
    for policy, baseline in zip(BASELINES, baselines, strict=True):
        name = f"{policy.name.lower()}_short_mixed_p95_s"
        results[name] = _compute_short_p95_s(baseline.mixed)
    return results | {
        "better_baseline_short_slowdown": better_slowdown,
        "short_slowdown_over_best_alone": slowdown,
        "excess_over_baseline_excess": (slowdown - 1.0) / excess,
        "tokens_over_better_baseline": outcome.completed_tokens
        / max(tokens, 1),
    }


def _compute_short_p95_s(records: list[caller.AttemptRecord]) -> float:
    short = metrics.select_by_prompt_size(records, 0, metrics.SHORT_TOKENS)
    times = metrics.get_first_token_times_s(short)
    return metrics.compute_percentile_s(times, 95)


def _compute_long_in_time_share(records: list[caller.AttemptRecord]) -> float:
    last = metrics.select_last_attempts(records)
    long = metrics.select_by_prompt_size(
        last, metrics.LONG_TOKENS, LONGEST_TOKENS
    )
    in_time = [
        record
        for record in metrics.select_complete(long)
        if record.ended_s <= (record.timeout_s or record.ended_s)
    ]
    return len(in_time) / max(len(long), 1)
