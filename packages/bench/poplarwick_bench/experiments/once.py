"""Calls that may not be repeated, under faults drawn from the seed."""

from __future__ import annotations

import asyncio

import uuid6

from poplarwick_bench import caller
from poplarwick_bench import fault_injection
from poplarwick_bench import figures
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import load
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


async def run(own: trial.Trial) -> figures.Figures:
    """Sends keyed calls until each has an outcome."""
    spec = own.spec
    plan = system.make_plan(
        spec,
        has_proxies=True,
        seed=own.seed,
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
        own.seed,
    )
    keys = {arrival.name: str(uuid6.uuid7()) for arrival in arrivals}
    seen = history.History(at_most_once_keys=set(keys.values()))
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        running = load.Load(
            target.testbed.session,
            target.addresses,
            lambda arrival: make_order(arrival, keys[arrival.name]),
            retry=load.RetryPolicy(never_gives_up=True, retries_unknown=False),
            seed=own.seed,
        )
        before = await read_kv_writes(target.fleet)
        faults = fault_injection.generate_faults(
            KINDS, spec.duration_s, FAULT_EVERY_S, own.seed
        )
        for fault in faults:
            own.report(f"fault {fault.kind.value} at {fault.at_s:.1f} s")
        disturbing = asyncio.create_task(
            fault_injection.FaultInjector(target.fleet, seen).run(faults)
        )
        seen.records = await running.run(arrivals, DRAIN_S)
        await disturbing
        writes = await read_kv_writes(target.fleet) - before
        seen.executions = history.read_executions(target.testbed.folder)
    return describe(seen) | {
        "faults": len(faults),
        "kv_writes": writes,
        "kv_writes_per_call": writes / len(arrivals),
    }


def make_order(arrival: workload.Arrival, key: str) -> caller.Call:
    """Returns a keyed call that may not be repeated."""
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
    """Returns how many writes the key-value service has seen."""
    url = f"http://{target.kv.address}/control/stats"
    async with target.testbed.session.get(url) as response:
        return int((await response.json())["writes"])


def describe(seen: history.History) -> figures.Figures:
    """Returns how the calls ended and how often each check failed."""
    last = figures.find_last(seen.records)
    counts = {
        f"ended_{kind.value}": sum(r.outcome is kind for r in last)
        for kind in outcome.Outcome
    }
    violations = invariants.check_all(seen)
    found: figures.Figures = {
        "calls": len(last),
        "attempts": len(seen.records),
        "whole_share": counts["ended_complete"] / max(len(last), 1),
        "without_outcome": sum(r.outcome is None for r in last),
        **counts,
    }
    for name in invariants.CHECKS:
        count = sum(violation.check == name for violation in violations)
        found[f"violations_{name}"] = count
    found["violations"] = len(violations)
    return found
