"""Streamed answers under faults of engines, links and instances."""

from __future__ import annotations

import asyncio

from poplarwick_bench import fault_injection
from poplarwick_bench import figures
from poplarwick_bench import history
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


async def run(own: trial.Trial) -> figures.Figures:
    """Sends streamed completions while faults come."""
    spec = own.spec
    plan = system.make_plan(spec, has_proxies=True, seed=own.seed)
    arrivals = own.make_arrivals()
    seen = history.History()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        faults = fault_injection.generate_faults(
            KINDS, spec.duration_s, FAULT_EVERY_S, own.seed
        )
        for fault in faults:
            own.report(f"fault {fault.kind.value} at {fault.at_s:.1f} s")
        disturbing = asyncio.create_task(
            fault_injection.FaultInjector(target.fleet, seen).run(faults)
        )
        seen.records = await own.make_load(target).run(arrivals, DRAIN_S)
        await disturbing
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        seen.executions = history.read_executions(target.testbed.folder)
    return {
        **once.describe(seen),
        "faults": len(faults),
        **figures.describe_first_tokens(seen.records),
    }
