"""Drain and return of a failure domain under load."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial

DRAIN_S = 30.0
LEAVE_FRACTION = 0.25
RETURN_FRACTION = 0.65


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRun:
    """One load with a domain that is drained, or out of service throughout.

    Attributes:
        run_history: History of the run.
        started_s: Monotonic start of the load.
    """

    run_history: history.History
    started_s: float


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Compares draining a domain under load with a domain always out."""
    trial_.report_progress("domain drained and returned to service")
    moving = await _measure(trial_, is_always_out=False)
    trial_.report_progress("domain out of service throughout")
    steady = await _measure(trial_, is_always_out=True)
    duration_s = trial_.spec.duration_s
    window = (LEAVE_FRACTION * duration_s, RETURN_FRACTION * duration_s)
    moving_s = _compute_short_p95_s(moving, window)
    steady_s = _compute_short_p95_s(steady, window)
    records = moving.run_history.records
    return {
        "cut_or_failed": sum(
            record.outcome not in metrics.EXPECTED_OUTCOMES
            for record in records
        ),
        "last_new_work_s": _compute_last_new_work_s(moving.run_history),
        "short_p95_s": moving_s,
        "steady_short_p95_s": steady_s,
        "short_p95_ratio": moving_s / max(steady_s, 1e-6),
        "violations": len(invariants.check_all(moving.run_history)),
        **metrics.describe_first_tokens(records),
        **metrics.describe_outcomes(records),
    }


async def _measure(trial_: trial.Trial, *, is_always_out: bool) -> LoadRun:
    plan = system.make_plan(trial_.spec)
    arrivals = trial_.make_arrivals()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        run_history = history.History()
        if is_always_out:
            await _take_out(target.fleet)
            await asyncio.sleep(invariants.WITHDRAWAL_LIMIT_S)
        generator = trial_.make_load_generator(target)
        load_task = asyncio.create_task(generator.run(arrivals, DRAIN_S))
        if not is_always_out:
            withdrawal = await _leave_and_return(trial_, target.fleet)
            run_history.domain_withdrawals.append(withdrawal)
        run_history.records = await load_task
        await _wait_for_idle_engines(target)
        run_history.executions = history.read_executions(target.testbed.folder)
        label = "steady" if is_always_out else "moving"
        trial_.record_trace(label, generator, run_history.executions)
    return LoadRun(run_history, generator.started_s)


async def _leave_and_return(
    trial_: trial.Trial, target: fleet.Fleet
) -> history.Withdrawal:
    duration_s = trial_.spec.duration_s
    await asyncio.sleep(LEAVE_FRACTION * duration_s)
    accepted = await _take_out(target)
    trial_.report_progress("domain out of service")
    await asyncio.sleep((RETURN_FRACTION - LEAVE_FRACTION) * duration_s)
    returned_at_s = time.time()
    await target.make_operator().put_in("domain", _get_drained_domain(target))
    trial_.report_progress("domain in service")
    endpoints = frozenset(
        endpoint.id
        for endpoint in target.document.endpoints
        if endpoint.domain == _get_drained_domain(target)
    )
    return history.Withdrawal(endpoints, accepted.at_s, returned_at_s)


async def _take_out(target: fleet.Fleet) -> history.Acceptance:
    return await target.make_operator().take_out(
        "domain", _get_drained_domain(target)
    )


def _get_drained_domain(target: fleet.Fleet) -> str:
    return fleet.name_domains(target.plan)[0]


async def _wait_for_idle_engines(target: system.System) -> None:
    for engine in target.fleet.engines:
        await target.testbed.wait_idle(engine.address)


def _compute_last_new_work_s(run_history: history.History) -> float:
    """Returns the latest start of work after a withdrawal, in seconds."""
    latest_s = 0.0
    for withdrawal in run_history.domain_withdrawals:
        for entry in run_history.executions:
            is_out = entry.endpoint in withdrawal.endpoints
            is_new = entry.event is history.Event.STARTED
            after_s = entry.at_s - withdrawal.accepted_at_s
            returned_s = withdrawal.returned_at_s
            is_before = returned_s is None or entry.at_s < returned_s
            if is_out and is_new and is_before:
                latest_s = max(latest_s, after_s)
    return latest_s


def _compute_short_p95_s(
    outcome: LoadRun, window: tuple[float, float]
) -> float:
    low_s, high_s = (outcome.started_s + edge for edge in window)
    due = [r for r in outcome.run_history.records if low_s <= r.due_s < high_s]
    short: list[caller.AttemptRecord] = metrics.select_by_prompt_size(
        due, 0, metrics.SHORT_TOKENS
    )
    return metrics.compute_percentile_s(
        metrics.get_first_token_times_s(short), 95
    )
