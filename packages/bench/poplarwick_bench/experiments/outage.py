"""The key-value service is down while an instance dies and one starts."""

from __future__ import annotations

import asyncio
import time

from poplarwick_bench import fault_injection
from poplarwick_bench import figures
from poplarwick_bench import history
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench.experiments import once
from poplarwick_core import outcome

DRAIN_S = 25.0
BEGINS_AT = 0.2
DIES_AT = 0.4
STARTS_AT = 0.6
ENDS_AT = 0.8


async def run(own: trial.Trial) -> figures.Figures:
    """Takes the service down for three fifths of the load."""
    plan = system.make_plan(own.spec)
    arrivals = own.make_arrivals()
    seen = history.History()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        running = own.make_load(target)
        loading = asyncio.create_task(running.run(arrivals, DRAIN_S))
        began_s, ended_s = await _disturb(own, target, seen)
        seen.records = await loading
        statistics = await _read_statistics(target)
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        seen.executions = history.read_executions(target.testbed.folder)
        own.keep("outage", running, seen.executions)
    lost = [
        record
        for record in seen.records
        if began_s <= record.sent_at_s <= ended_s
        and record.outcome not in figures.TRUTHFUL
        and record.instance not in seen.killed_or_paused
        and record.code != "ClientConnectorError"
    ]
    return {
        **once.describe(seen),
        "failed_in_outage": len(lost),
        "never_whole": sum(
            record.outcome is not outcome.Outcome.COMPLETE
            for record in figures.find_last(seen.records)
        ),
        "peak_kv_writes_per_s": float(statistics["peak_writes_per_s"]),
        "peak_kv_reads_per_s": float(statistics["peak_reads_per_s"]),
        "kv_refused": float(statistics["refused"]),
        **figures.describe_first_tokens(seen.records),
    }


async def _disturb(
    own: trial.Trial, target: system.System, seen: history.History
) -> tuple[float, float]:
    duration_s = own.spec.duration_s
    makes = fault_injection.FaultInjector(target.fleet, seen)
    dying = target.fleet.nodes[-1]
    await asyncio.sleep(BEGINS_AT * duration_s)
    await makes.set_kv_faults({"outage": True})
    began_at_s = time.time()
    own.report("key-value service down")
    await asyncio.sleep((DIES_AT - BEGINS_AT) * duration_s)
    seen.killed_or_paused.add(dying.name)
    await dying.kill()
    own.report(f"{dying.name} killed")
    await asyncio.sleep((STARTS_AT - DIES_AT) * duration_s)
    await dying.start()
    own.report(f"{dying.name} started")
    await asyncio.sleep((ENDS_AT - STARTS_AT) * duration_s)
    await makes.set_kv_faults({})
    own.report("key-value service up")
    return began_at_s, time.time()


async def _read_statistics(target: system.System) -> dict[str, int]:
    url = f"http://{target.fleet.kv.address}/control/stats"
    async with target.testbed.session.get(url) as response:
        found: dict[str, int] = await response.json()
    return found
