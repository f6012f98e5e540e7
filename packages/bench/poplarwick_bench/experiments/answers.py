"""Streamed responses under faults of engines, connections and instances."""

from __future__ import annotations

import asyncio

from poplarwick_bench import fault_injection
from poplarwick_bench import history
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench.experiments import once

DRAIN_S = 25.0
FAULT_EVERY_S = 3.0
KINDS = (
    fault_injection.Kind.KILL,
    fault_injection.Kind.PAUSE,
    fault_injection.Kind.RESET,
    fault_injection.Kind.DELAY,
    fault_injection.Kind.DROPPED_ANSWERS,
    fault_injection.Kind.BLACKHOLE,
    fault_injection.Kind.KV_OUTAGE,
    fault_injection.Kind.KV_LOST_WRITES,
    fault_injection.Kind.ENGINE_COLD,
    fault_injection.Kind.BAD_EVENTS,
)


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Sends streamed completions while faults are injected."""
    spec = trial_.spec
    plan = system.make_plan(spec, has_proxies=True, seed=trial_.seed)
    arrivals = trial_.make_arrivals()
    run_history = history.History()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        faults = fault_injection.generate_faults(
            KINDS, spec.duration_s, FAULT_EVERY_S, trial_.seed
        )
        for fault in faults:
            trial_.report_progress(
                f"fault {fault.kind.value} at {fault.at_s:.1f} s"
            )
        fault_task = asyncio.create_task(
            fault_injection.FaultInjector(target.fleet, run_history).run(faults)
        )
        run_history.records = await trial_.make_load_generator(target).run(
            arrivals, DRAIN_S
        )
        await fault_task
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        run_history.executions = history.read_executions(target.testbed.folder)
    return {
        **once.describe(run_history),
        "faults": len(faults),
        **metrics.describe_first_tokens(run_history.records),
    }
