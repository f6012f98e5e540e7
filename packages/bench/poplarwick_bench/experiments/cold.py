"""Cold restart of an engine, then of a failure domain, without notice."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import time

from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import metrics
from poplarwick_bench import process
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial

DRAIN_S = 30.0
ENGINE_RESTART_FRACTION = 0.15
DOMAIN_RESTART_FRACTION = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """Warm-up of an engine after a cold restart.

    Attributes:
        measured_s: Time from the restart until the engine was warm.
        allowed_s: Shortest time that the concurrency limit and the demand
            allow.
    """

    measured_s: float
    allowed_s: float


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Restarts one engine, later all engines of a domain, under load."""
    plan = system.make_plan(trial_.spec)
    arrivals = trial_.make_arrivals()
    async with system.open_system(plan, trial_.policy) as target:
        generator = trial_.make_load_generator(target)
        load_task = asyncio.create_task(generator.run(arrivals, DRAIN_S))
        duration_s = trial_.spec.duration_s
        await asyncio.sleep(ENGINE_RESTART_FRACTION * duration_s)
        first_restart_at_s = time.time()
        await _restart(target, target.fleet.engines[:1])
        trial_.report_progress("one engine restarted cold")
        await asyncio.sleep(
            (DOMAIN_RESTART_FRACTION - ENGINE_RESTART_FRACTION) * duration_s
        )
        await _restart(target, _select_domain_engines(trial_.spec, target))
        trial_.report_progress("engines of a domain restarted cold")
        records = await load_task
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        executions = history.read_executions(target.testbed.folder)
        trial_.record_trace("cold", generator, executions)
    run_history = history.History(records=records, executions=executions)
    late_overloads = list(invariants.check_cold_starts(run_history))
    warm_ups = _measure_warm_ups(trial_, executions, first_restart_at_s)
    ratios = [warm_up.measured_s / warm_up.allowed_s for warm_up in warm_ups]
    turned_cold = _count_unannounced(executions)
    results: metrics.Metrics = {
        "overloads": _count_events(executions, history.Event.COLD_OVERLOAD),
        "overloads_after_signal": len(late_overloads),
        "turned_cold": turned_cold,
        "never_warm": turned_cold - len(warm_ups),
        **metrics.describe_first_tokens(records),
        **metrics.describe_outcomes(records),
    }
    # Without a warm engine the metrics are absent, so bounds on them fail.
    if warm_ups:
        results |= {
            "warm_up_p50_s": _compute_median([w.measured_s for w in warm_ups]),
            "warm_up_over_allowed_p50": _compute_median(ratios),
            "warm_up_over_allowed_max": max(ratios),
        }
    return results


def _select_domain_engines(
    spec: scenario.Scenario, target: system.System
) -> list[process.Process]:
    # The second domain: the first holds the engine that was restarted before.
    return target.fleet.engines[1 :: spec.domains]


async def _restart(
    target: system.System, engines: list[process.Process]
) -> None:
    for engine in engines:
        url = f"http://{engine.address}/control/restart"
        async with target.testbed.session.post(url) as response:
            response.raise_for_status()


def _count_events(
    executions: list[history.Execution], event: history.Event
) -> int:
    return sum(entry.event is event for entry in executions)


def _count_unannounced(executions: list[history.Execution]) -> int:
    return sum(e.reason == invariants.UNANNOUNCED for e in executions)


def _measure_warm_ups(
    trial_: trial.Trial, executions: list[history.Execution], since_s: float
) -> list[WarmUp]:
    warm_ups = []
    for entry in executions:
        if entry.reason != invariants.UNANNOUNCED:
            continue
        warm_up = _measure_warm_up(trial_, executions, entry)
        if warm_up is not None and entry.at_s >= since_s:
            warm_ups.append(warm_up)
    return warm_ups


def _measure_warm_up(
    trial_: trial.Trial,
    executions: list[history.Execution],
    restart: history.Execution,
) -> WarmUp | None:
    engine = system.make_plan(trial_.spec).engine
    started: dict[str | None, float] = {}
    durations_s: list[float] = []
    for entry in executions:
        if entry.endpoint != restart.endpoint or entry.at_s <= restart.at_s:
            continue
        if entry.event is history.Event.RESTARTED:
            break
        if entry.event is history.Event.STARTED:
            started[entry.stream] = entry.at_s
        if entry.event is history.Event.FINISHED and entry.stream in started:
            durations_s.append(entry.at_s - started[entry.stream])
        if len(durations_s) == engine.warm_requests:
            rate = trial_.make_workload().rate_per_s / trial_.spec.engines
            allowed_s = compute_allowed_s(
                durations_s, engine.cold_concurrent, rate
            )
            return WarmUp(entry.at_s - restart.at_s, allowed_s)
    return None


def compute_allowed_s(
    durations_s: list[float], concurrent: int, rate_per_s: float
) -> float:
    """Returns the shortest time in which a cold engine completes requests.

    Each completed request raises the concurrency limit by one. Requests
    arrive no faster than the engine's share of the demand.

    Args:
        durations_s: Execution time of each request, in the order of their ends.
        concurrent: Initial concurrency limit of the engine.
        rate_per_s: Request rate that the engine would get when warm.
    """
    end_times_s: list[float] = []
    now_s = 0.0
    concurrency_limit = concurrent
    for index, duration_s in enumerate(durations_s):
        while len(end_times_s) >= concurrency_limit:
            now_s = max(now_s, heapq.heappop(end_times_s))
            concurrency_limit += 1
        now_s = max(now_s, index / rate_per_s)
        heapq.heappush(end_times_s, now_s + duration_s)
    return max(end_times_s)


def _compute_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
