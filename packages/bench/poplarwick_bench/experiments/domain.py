"""A failure domain leaves under load and returns."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import figures
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial

DRAIN_S = 30.0
LEAVES_AT = 0.25
RETURNS_AT = 0.65


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One load with a domain that leaves, or that is out all along.

    Attributes:
        seen: History of the run.
        started_s: Monotonic start of the load.
    """

    seen: history.History
    started_s: float


async def run(own: trial.Trial) -> figures.Figures:
    """Takes a domain out and back, then compares with it out all along."""
    own.report("a domain leaves and returns")
    moving = await _measure(own, is_out_all_along=False)
    own.report("the domain is out all along")
    steady = await _measure(own, is_out_all_along=True)
    duration_s = own.spec.duration_s
    window = (LEAVES_AT * duration_s, RETURNS_AT * duration_s)
    moving_s = _compute_short_s(moving, window)
    steady_s = _compute_short_s(steady, window)
    records = moving.seen.records
    return {
        "cut_or_failed": sum(
            record.outcome not in figures.TRUTHFUL for record in records
        ),
        "last_new_work_s": _find_last_new_work_s(moving.seen),
        "short_p95_s": moving_s,
        "steady_short_p95_s": steady_s,
        "short_p95_ratio": moving_s / max(steady_s, 1e-6),
        "violations": len(invariants.check_all(moving.seen)),
        **figures.describe_first_tokens(records),
        **figures.describe_outcomes(records),
    }


async def _measure(own: trial.Trial, *, is_out_all_along: bool) -> Outcome:
    plan = system.make_plan(own.spec)
    arrivals = own.make_arrivals()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        seen = history.History()
        if is_out_all_along:
            await _take_out(target.fleet)
            await asyncio.sleep(invariants.WITHDRAWAL_LIMIT_S)
        running = own.make_load(target)
        loading = asyncio.create_task(running.run(arrivals, DRAIN_S))
        if not is_out_all_along:
            withdrawal = await _leave_and_return(own, target.fleet)
            seen.domain_withdrawals.append(withdrawal)
        seen.records = await loading
        await _wait_for_empty_engines(target)
        seen.executions = history.read_executions(target.testbed.folder)
        label = "steady" if is_out_all_along else "moving"
        own.keep(label, running, seen.executions)
    return Outcome(seen, running.started_s)


async def _leave_and_return(
    own: trial.Trial, target: fleet.Fleet
) -> history.Withdrawal:
    duration_s = own.spec.duration_s
    await asyncio.sleep(LEAVES_AT * duration_s)
    accepted = await _take_out(target)
    own.report("out")
    await asyncio.sleep((RETURNS_AT - LEAVES_AT) * duration_s)
    returned_at_s = time.time()
    await target.make_operator().put_in("domain", _name_leaving(target))
    own.report("in")
    endpoints = frozenset(
        endpoint.id
        for endpoint in target.document.endpoints
        if endpoint.domain == _name_leaving(target)
    )
    return history.Withdrawal(endpoints, accepted.at_s, returned_at_s)


async def _take_out(target: fleet.Fleet) -> history.Acceptance:
    return await target.make_operator().take_out(
        "domain", _name_leaving(target)
    )


def _name_leaving(target: fleet.Fleet) -> str:
    return fleet.name_domains(target.plan)[0]


async def _wait_for_empty_engines(target: system.System) -> None:
    for engine in target.fleet.engines:
        await target.testbed.wait_idle(engine.address)


def _find_last_new_work_s(seen: history.History) -> float:
    """Returns when a withdrawn endpoint last got work, after "accepted"."""
    latest_s = 0.0
    for withdrawal in seen.domain_withdrawals:
        for entry in seen.executions:
            is_out = entry.endpoint in withdrawal.endpoints
            is_new = entry.event is history.Event.STARTED
            after_s = entry.at_s - withdrawal.accepted_at_s
            returned_s = withdrawal.returned_at_s
            is_before = returned_s is None or entry.at_s < returned_s
            if is_out and is_new and is_before:
                latest_s = max(latest_s, after_s)
    return latest_s


def _compute_short_s(outcome: Outcome, window: tuple[float, float]) -> float:
    low_s, high_s = (outcome.started_s + edge for edge in window)
    due = [r for r in outcome.seen.records if low_s <= r.due_s < high_s]
    short: list[caller.Record] = figures.select(due, 0, figures.SHORT_TOKENS)
    return figures.compute_percentile_s(figures.find_first_token_s(short), 95)
