"""Streamed answers under faults of engines, links and instances."""

from __future__ import annotations

import asyncio

from poplarwick_bench import chaos
from poplarwick_bench import figures
from poplarwick_bench import history
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench.experiments import once

DRAIN_S = 25.0
FAULT_EVERY_S = 3.0
KINDS = (
    chaos.Kind.KILL,
    chaos.Kind.PAUSE,
    chaos.Kind.RESET,
    chaos.Kind.DELAY,
    chaos.Kind.DROPPED_ANSWERS,
    chaos.Kind.BLACKHOLE,
    chaos.Kind.KV_OUTAGE,
    chaos.Kind.KV_LOST_WRITES,
    chaos.Kind.ENGINE_COLD,
    chaos.Kind.BAD_EVENTS,
)


async def run(own: trial.Trial) -> figures.Figures:
    """Sends streamed completions while faults come."""
    spec = own.spec
    plan = system.make_plan(spec, has_proxies=True, seed=own.seed)
    arrivals = own.make_arrivals()
    seen = history.History()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        faults = chaos.draw_faults(
            KINDS, spec.duration_s, FAULT_EVERY_S, own.seed
        )
        for fault in faults:
            own.report(f"fault {fault.kind.value} at {fault.at_s:.1f} s")
        disturbing = asyncio.create_task(
            chaos.Chaos(target.fleet, seen).run(faults)
        )
        seen.records = await own.make_load(target).run(arrivals, DRAIN_S)
        await disturbing
        for engine in target.fleet.engines:
            await target.lab.wait_idle(engine.address)
        seen.executions = history.read_executions(target.lab.folder)
    return {
        **once.describe(seen),
        "faults": len(faults),
        **figures.describe_first_tokens(seen.records),
    }
