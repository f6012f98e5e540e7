"""Key-value outage during which an instance is killed and restarted."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import fault_injection
from poplarwick_bench import history
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench.experiments import once
from poplarwick_core import outcome

DRAIN_S = 25.0
OUTAGE_START_FRACTION = 0.2
KILL_FRACTION = 0.4
RESTART_FRACTION = 0.6
OUTAGE_END_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Wall times of the faults, in seconds.

    Attributes:
        began_s: Start of the key-value outage.
        ended_s: End of the outage.
        killed: Host and port of the killed instance.
        kill_began_s: Time before its process was killed.
        kill_ended_s: Time at which the process was gone.
    """

    began_s: float
    ended_s: float
    killed: str
    kill_began_s: float
    kill_ended_s: float


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Stops the key-value service for three fifths of the load."""
    plan = system.make_plan(trial_.spec)
    arrivals = trial_.make_arrivals()
    run_history = history.History()
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        generator = trial_.make_load_generator(target)
        load_task = asyncio.create_task(generator.run(arrivals, DRAIN_S))
        faults = await _inject_faults(trial_, target, run_history)
        run_history.records = await load_task
        statistics = await _read_kv_statistics(target)
        for engine in target.fleet.engines:
            await target.testbed.wait_idle(engine.address)
        run_history.executions = history.read_executions(target.testbed.folder)
        trial_.record_trace("outage", generator, run_history.executions)
    failed = find_failed(run_history, faults)
    return {
        **once.describe(run_history),
        "failed_in_outage": len(failed),
        "never_whole": sum(
            record.outcome is not outcome.Outcome.COMPLETE
            for record in metrics.select_last_attempts(run_history.records)
        ),
        "peak_kv_writes_per_s": float(statistics["peak_writes_per_s"]),
        "peak_kv_reads_per_s": float(statistics["peak_reads_per_s"]),
        "kv_refused": float(statistics["refused"]),
        **metrics.describe_first_tokens(run_history.records),
    }


def find_failed(
    run_history: history.History, faults: Faults
) -> list[caller.AttemptRecord]:
    """Returns the attempts that the outage, and not the kill, made fail."""
    return [
        record
        for record in run_history.records
        if faults.began_s <= record.sent_at_s <= faults.ended_s
        and record.outcome not in metrics.EXPECTED_OUTCOMES
        and record.instance not in run_history.killed_or_paused
        and record.code != "ClientConnectorError"
        and not _was_cut_by_kill(record, faults)
    ]


def _was_cut_by_kill(record: caller.AttemptRecord, faults: Faults) -> bool:
    """Returns whether the process was killed before it named itself."""
    return (
        not record.instance
        and record.address == faults.killed
        and record.sent_at_s <= faults.kill_ended_s
        and record.sent_at_s + record.duration_s >= faults.kill_began_s
    )


async def _inject_faults(
    trial_: trial.Trial, target: system.System, run_history: history.History
) -> Faults:
    duration_s = trial_.spec.duration_s
    injector = fault_injection.FaultInjector(target.fleet, run_history)
    killed_node = target.fleet.nodes[-1]
    await asyncio.sleep(OUTAGE_START_FRACTION * duration_s)
    await injector.set_kv_faults({"outage": True})
    outage_start_s = time.time()
    trial_.report_progress("key-value service down")
    await asyncio.sleep((KILL_FRACTION - OUTAGE_START_FRACTION) * duration_s)
    run_history.killed_or_paused.add(killed_node.name)
    kill_began_s = time.time()
    await killed_node.kill()
    kill_ended_s = time.time()
    trial_.report_progress(f"{killed_node.name} killed")
    await asyncio.sleep((RESTART_FRACTION - KILL_FRACTION) * duration_s)
    await killed_node.start()
    trial_.report_progress(f"{killed_node.name} started")
    await asyncio.sleep((OUTAGE_END_FRACTION - RESTART_FRACTION) * duration_s)
    await injector.set_kv_faults({})
    trial_.report_progress("key-value service up")
    return Faults(
        began_s=outage_start_s,
        ended_s=time.time(),
        killed=killed_node.address,
        kill_began_s=kill_began_s,
        kill_ended_s=kill_ended_s,
    )


async def _read_kv_statistics(target: system.System) -> dict[str, int]:
    url = f"http://{target.fleet.kv.address}/control/stats"
    async with target.testbed.session.get(url) as response:
        statistics: dict[str, int] = await response.json()
    return statistics
