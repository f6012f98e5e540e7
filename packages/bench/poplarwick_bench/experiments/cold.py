"""Engines, then a whole failure domain, turn cold unannounced."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import time

from poplarwick_bench import figures
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import process
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial

DRAIN_S = 30.0
ENGINE_TURNS_AT = 0.15
DOMAIN_TURNS_AT = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """How an engine came back to full use.

    Attributes:
        measured_s: Time from the restart until it was warm.
        allowed_s: Time that the window and the demand allow.
    """

    measured_s: float
    allowed_s: float


async def run(own: trial.Trial) -> figures.Figures:
    """Restarts one engine, later all of a domain, under load."""
    plan = system.make_plan(own.spec)
    arrivals = own.make_arrivals()
    async with system.open_system(plan, own.policy) as target:
        running = own.make_load(target)
        loading = asyncio.create_task(running.run(arrivals, DRAIN_S))
        duration_s = own.spec.duration_s
        await asyncio.sleep(ENGINE_TURNS_AT * duration_s)
        first_at_s = time.time()
        await _restart(target, target.fleet.engines[:1])
        own.report("one engine turned cold")
        await asyncio.sleep((DOMAIN_TURNS_AT - ENGINE_TURNS_AT) * duration_s)
        await _restart(target, _find_domain_engines(own.spec, target))
        own.report("a domain turned cold")
        records = await loading
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        executions = history.read_executions(target.testbed.folder)
        own.keep("cold", running, executions)
    seen = history.History(records=records, executions=executions)
    late = list(invariants.check_cold_starts(seen))
    warm_ups = _find_warm_ups(own, executions, first_at_s)
    ratios = [found.measured_s / found.allowed_s for found in warm_ups]
    turned_cold = _count_unannounced(executions)
    found: figures.Figures = {
        "overloads": _count(executions, history.Event.COLD_OVERLOAD),
        "overloads_after_signal": len(late),
        "turned_cold": turned_cold,
        "never_warm": turned_cold - len(warm_ups),
        **figures.describe_first_tokens(records),
        **figures.describe_outcomes(records),
    }
    # Without a warm engine the figures are absent, so that bounds on them fail.
    if warm_ups:
        found |= {
            "warm_up_p50_s": _find_median([w.measured_s for w in warm_ups]),
            "warm_up_over_allowed_p50": _find_median(ratios),
            "warm_up_over_allowed_max": max(ratios),
        }
    return found


def _find_domain_engines(
    own: scenario.Scenario, target: system.System
) -> list[process.Process]:
    # The second domain, as the first holds the engine that turned before.
    return target.fleet.engines[1 :: own.domains]


async def _restart(
    target: system.System, engines: list[process.Process]
) -> None:
    for engine in engines:
        url = f"http://{engine.address}/control/restart"
        async with target.testbed.session.post(url) as response:
            response.raise_for_status()


def _count(executions: list[history.Execution], event: history.Event) -> int:
    return sum(entry.event is event for entry in executions)


def _count_unannounced(executions: list[history.Execution]) -> int:
    return sum(e.reason == invariants.UNANNOUNCED for e in executions)


def _find_warm_ups(
    own: trial.Trial, executions: list[history.Execution], since_s: float
) -> list[WarmUp]:
    found = []
    for entry in executions:
        if entry.reason != invariants.UNANNOUNCED:
            continue
        warm_up = _measure_warm_up(own, executions, entry)
        if warm_up is not None and entry.at_s >= since_s:
            found.append(warm_up)
    return found


def _measure_warm_up(
    own: trial.Trial,
    executions: list[history.Execution],
    turned: history.Execution,
) -> WarmUp | None:
    engine = system.make_plan(own.spec).engine
    started: dict[str | None, float] = {}
    durations_s: list[float] = []
    for entry in executions:
        if entry.endpoint != turned.endpoint or entry.at_s <= turned.at_s:
            continue
        if entry.event is history.Event.RESTARTED:
            break
        if entry.event is history.Event.STARTED:
            started[entry.stream] = entry.at_s
        if entry.event is history.Event.FINISHED and entry.stream in started:
            durations_s.append(entry.at_s - started[entry.stream])
        if len(durations_s) == engine.warm_requests:
            rate = own.make_workload().rate_per_s / own.spec.engines
            allowed_s = compute_allowed_s(
                durations_s, engine.cold_concurrent, rate
            )
            return WarmUp(entry.at_s - turned.at_s, allowed_s)
    return None


def compute_allowed_s(
    durations_s: list[float], concurrent: int, rate_per_s: float
) -> float:
    """Returns the shortest time in which a cold engine completes requests.

    Each completed request opens the window by one; requests come no faster
    than the engine's share of the demand.

    Args:
        durations_s: Time that each request ran, in order of their ends.
        concurrent: Requests that the engine carries at first.
        rate_per_s: Requests that the engine would get when warm.
    """
    ends_s: list[float] = []
    now_s = 0.0
    window = concurrent
    for index, duration_s in enumerate(durations_s):
        while len(ends_s) >= window:
            now_s = max(now_s, heapq.heappop(ends_s))
            window += 1
        now_s = max(now_s, index / rate_per_s)
        heapq.heappush(ends_s, now_s + duration_s)
    return max(ends_s)


def _find_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
