"""Short requests with and without long ones beside them."""

from __future__ import annotations

import dataclasses

from poplarwick_bench import caller
from poplarwick_bench import figures
from poplarwick_bench import history
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
class Outcome:
    """Records of one policy.

    Attributes:
        mixed: Records with all lengths.
        alone: Records of the same short arrivals alone.
    """

    mixed: list[caller.Record]
    alone: list[caller.Record]

    @property
    def slowdown(self) -> float:
        """95th percentile of short ones, mixed over alone."""
        alone_s = _compute_short_s(self.alone)
        return _compute_short_s(self.mixed) / max(alone_s, 1e-6)

    @property
    def completed_tokens(self) -> int:
        """Tokens of the mixed calls that ended whole and in time."""
        return sum(
            record.prompt_tokens + record.tokens
            for record in figures.find_whole(self.mixed)
            if record.ended_s <= (record.timeout_s or record.ended_s)
        )


async def run(own: trial.Trial) -> figures.Figures:
    """Runs the policy, and for the current one the baselines as well."""
    outcome = await _measure(own, own.policy)
    found = {
        "short_slowdown": outcome.slowdown,
        "short_alone_p95_s": _compute_short_s(outcome.alone),
        "short_mixed_p95_s": _compute_short_s(outcome.mixed),
        "long_in_time_share": _compute_long_share(outcome.mixed),
        **figures.describe_first_tokens(outcome.mixed),
        **figures.describe_outcomes(outcome.mixed),
    }
    if own.policy is scenario.Policy.CURRENT:
        baselines = [await _measure(own, policy) for policy in BASELINES]
        found |= _compare(outcome, baselines)
    return found


async def _measure(own: trial.Trial, policy: scenario.Policy) -> Outcome:
    plan = system.make_plan(own.spec)
    arrivals = own.make_arrivals()
    short = [a for a in arrivals if a.prompt_tokens < figures.SHORT_TOKENS]
    async with system.open_system(plan, policy) as target:
        own.report(f"{policy.value}: warm-up")
        await own.make_load(target).run(_make_warm_up(own), DRAIN_S)
        own.report(f"{policy.value}: {len(short)} short requests alone")
        alone = await own.make_load(target).run(short, DRAIN_S)
        running = own.make_load(target)
        own.report(f"{policy.value}: all {len(arrivals)} requests")
        mixed = await running.run(arrivals, DRAIN_S)
        executions = history.read_executions(target.testbed.folder)
        own.keep("mixed", running, executions, policy)
    return Outcome(mixed, alone)


def _make_warm_up(own: trial.Trial) -> list[workload.Arrival]:
    """Returns short arrivals that open the windows of new endpoints."""
    load = own.make_workload()
    warm_up = workload.make_arrivals(load, own.seed + WARM_UP_SEED)
    until_s = WARM_UP_SHARE * load.duration_s
    return [
        arrival
        for arrival in warm_up
        if arrival.at_s < until_s
        and arrival.prompt_tokens < figures.SHORT_TOKENS
    ]


def _compare(outcome: Outcome, baselines: list[Outcome]) -> figures.Figures:
    # A system that is slow without long requests must not gain by it, so that
    # its slowdown counts from the best time of all.
    best_alone_s = min(
        _compute_short_s(found.alone) for found in (outcome, *baselines)
    )
    slowdown = _compute_short_s(outcome.mixed) / max(best_alone_s, 1e-6)
    better = min(baseline.slowdown for baseline in baselines)
    tokens = max(baseline.completed_tokens for baseline in baselines)
    excess = max(better - 1.0, 1e-6)
    found = {
        f"{policy.name.lower()}_short_slowdown": baseline.slowdown
        for policy, baseline in zip(BASELINES, baselines, strict=True)
    }
    for policy, baseline in zip(BASELINES, baselines, strict=True):
        name = f"{policy.name.lower()}_short_mixed_p95_s"
        found[name] = _compute_short_s(baseline.mixed)
    return found | {
        "better_baseline_short_slowdown": better,
        "short_slowdown_over_best_alone": slowdown,
        "excess_over_baseline_excess": (slowdown - 1.0) / excess,
        "tokens_over_better_baseline": outcome.completed_tokens
        / max(tokens, 1),
    }


def _compute_short_s(records: list[caller.Record]) -> float:
    short = figures.select(records, 0, figures.SHORT_TOKENS)
    times = figures.find_first_token_s(short)
    return figures.compute_percentile_s(times, 95)


def _compute_long_share(records: list[caller.Record]) -> float:
    last = figures.find_last(records)
    long = figures.select(last, figures.LONG_TOKENS, LONGEST_TOKENS)
    in_time = [
        record
        for record in figures.find_whole(long)
        if record.ended_s <= (record.timeout_s or record.ended_s)
    ]
    return len(in_time) / max(len(long), 1)
