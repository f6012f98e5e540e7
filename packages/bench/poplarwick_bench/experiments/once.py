"""Non-idempotent calls under seeded faults."""

from __future__ import annotations

import asyncio

import uuid6

from poplarwick_bench import caller
from poplarwick_bench import fault_injection
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import load_generator
from poplarwick_bench import metrics
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_bench import workload
from poplarwick_core import outcome
from poplarwick_standins import service

TIMEOUT_S = 10.0
DRAIN_S = 25.0
FAULT_EVERY_S = 3.0
SERVICE_DELAY_S = 0.02
KINDS = (
    fault_injection.Kind.KILL,
    fault_injection.Kind.PAUSE,
    fault_injection.Kind.RESET,
    fault_injection.Kind.DELAY,
    fault_injection.Kind.DROPPED_ANSWERS,
    fault_injection.Kind.KV_OUTAGE,
    fault_injection.Kind.KV_LOST_WRITES,
)


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Sends calls with idempotency keys until each has an outcome."""
    spec = trial_.spec
    plan = system.make_plan(
        spec,
        has_proxies=True,
        seed=trial_.seed,
        service=service.ServiceSettings(delay_s=SERVICE_DELAY_S),
    )
    rate = spec.calls / spec.duration_s
    arrivals = workload.make_arrivals(
        workload.Workload(
            classes=(workload.LengthClass(1, 1, 1, timeout_s=TIMEOUT_S),),
            demand={name: float(w) for name, w in spec.weights.items()},
            rate_per_s=rate,
            duration_s=spec.duration_s,
        ),
        trial_.seed,
    )
    keys = {arrival.name: str(uuid6.uuid7()) for arrival in arrivals}
    run_history = history.History(at_most_once_keys=set(keys.values()))
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        generator = load_generator.LoadGenerator(
            target.testbed.session,
            target.addresses,
            lambda arrival: make_order(arrival, keys[arrival.name]),
            retry=load_generator.RetryPolicy(
                retries_past_deadline=True, retries_unknown=False
            ),
            seed=trial_.seed,
        )
        writes_before = await read_kv_writes(target.fleet)
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
        run_history.records = await generator.run(arrivals, DRAIN_S)
        await fault_task
        writes = await read_kv_writes(target.fleet) - writes_before
        run_history.executions = history.read_executions(target.testbed.folder)
    return describe(run_history) | {
        "faults": len(faults),
        "kv_writes": writes,
        "kv_writes_per_call": writes / len(arrivals),
    }


def make_order(arrival: workload.Arrival, key: str) -> caller.Call:
    """Returns a non-idempotent call with an idempotency key."""
    return caller.Call(
        name=arrival.name,
        organisation=arrival.organisation,
        secret=fleet.make_secret(arrival.organisation),
        path=f"/services/{fleet.SERVICE}/orders",
        body={"order": arrival.name},
        timeout_s=arrival.timeout_s,
        key=key,
    )


async def read_kv_writes(target: fleet.Fleet) -> int:
    """Returns the number of writes to the key-value service."""
    url = f"http://{target.kv.address}/control/stats"
    async with target.testbed.session.get(url) as response:
        return int((await response.json())["writes"])


def describe(run_history: history.History) -> metrics.Metrics:
    """Returns counts of outcomes and of violations by check."""
    last = metrics.select_last_attempts(run_history.records)
    counts = {
        f"ended_{kind.value}": sum(r.outcome is kind for r in last)
        for kind in outcome.Outcome
    }
    violations = invariants.check_all(run_history)
    results: metrics.Metrics = {
        "calls": len(last),
        "attempts": len(run_history.records),
        "whole_share": counts["ended_complete"] / max(len(last), 1),
        "without_outcome": sum(r.outcome is None for r in last),
        **counts,
    }
    for name in invariants.CHECKS:
        count = sum(violation.check == name for violation in violations)
        results[f"violations_{name}"] = count
    results["violations"] = len(violations)
    return results
