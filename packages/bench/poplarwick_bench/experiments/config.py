"""Concurrent changes by two operators while responses are lost."""

from __future__ import annotations

import asyncio
import time

import msgspec

from poplarwick_bench import fault_injection
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import metrics
from poplarwick_bench import operators
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_configuration import document

POLL_PERIOD_S = 0.05
LOST_WRITE_PROBABILITY = 0.2
SETTLE_S = 3.0


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Pushes documents through two instances as fast as they are accepted."""
    plan = system.make_plan(trial_.spec)
    run_history = history.History()
    changes_each = max(1, trial_.spec.calls // 2)
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        injector = fault_injection.FaultInjector(target.fleet, run_history)
        kv_faults = {
            "lost_write_probability": LOST_WRITE_PROBABILITY,
            "seed": trial_.seed,
        }
        watch_tasks = [
            asyncio.create_task(
                _observe_versions(target.fleet, index, run_history)
            )
            for index in range(plan.instances)
        ]
        audited_before = await _read_audited_versions(target.fleet)
        await injector.set_kv_faults(kv_faults)
        refused = await asyncio.gather(
            _push_changes(target.fleet, 0, changes_each, run_history),
            _push_changes(
                target.fleet, plan.instances - 1, changes_each, run_history
            ),
        )
        await injector.set_kv_faults({})
        await asyncio.sleep(SETTLE_S)
        audited = await _read_audited_versions(target.fleet)
        for task in watch_tasks:
            task.cancel()
        await asyncio.gather(*watch_tasks, return_exceptions=True)
    times = compute_convergence_s(run_history)
    versions = [accepted.version for accepted in run_history.acceptances]
    violations = list(invariants.check_configurations(run_history))
    return {
        "changes": len(versions),
        "refused": sum(refused),
        "doubled_versions": len(versions) - len(set(versions)),
        "audit_missing": len(set(versions) - audited),
        "stored_though_refused": len(audited - set(versions) - audited_before),
        "in_force_p50_s": metrics.compute_percentile_s(times, 50),
        "in_force_p99_s": metrics.compute_percentile_s(times, 99),
        "never_in_force": sum(value < 0 for value in times),
        "violations": len(violations),
    }


def compute_convergence_s(run_history: history.History) -> list[float]:
    """Returns the time until each change was in force at all instances.

    A change that never reached some instance counts as -1.
    """
    instances = {
        observation.instance for observation in run_history.observations
    }
    times_s = []
    for accepted in run_history.acceptances:
        first_s: dict[str, float] = {}
        for observation in run_history.observations:
            if observation.version >= accepted.version:
                first_s.setdefault(observation.instance, observation.at_s)
        if first_s.keys() != instances:
            times_s.append(-1.0)
            continue
        times_s.append(max(0.0, max(first_s.values()) - accepted.at_s))
    return times_s


async def _push_changes(
    target: fleet.Fleet, node: int, changes: int, run_history: history.History
) -> int:
    """Pushes changes sequentially; returns how many were refused."""
    operator = target.make_operator(node)
    refused = 0
    for index in range(changes):
        text = msgspec.json.encode(_make_variant(target.document, node, index))
        try:
            run_history.acceptances.append(await operator.push(text))
        except operators.OperatorError:
            refused += 1
    return refused


def _make_variant(
    base: document.Document, node: int, index: int
) -> document.Document:
    """Returns the document with a limit that is unique to this change."""
    first, *others = base.organisations
    limits = msgspec.structs.replace(
        first.limits, max_concurrent=10_000 + 1_000 * node + index
    )
    changed = msgspec.structs.replace(first, limits=limits)
    return msgspec.structs.replace(base, organisations=(changed, *others))


async def _observe_versions(
    target: fleet.Fleet, node: int, run_history: history.History
) -> None:
    operator = target.make_operator(node)
    name = target.node_settings[node].instance
    while True:
        status = await operator.read_status()
        version = int(status["version"])
        run_history.observations.append(
            history.Observation(name, version, time.time())
        )
        await asyncio.sleep(POLL_PERIOD_S)


async def _read_audited_versions(target: fleet.Fleet) -> set[int]:
    address = target.node_settings[0].listen.administration
    url = f"http://{address}/v1/environments/{fleet.ENVIRONMENT}/audit"
    headers = {"Authorization": f"Bearer {fleet.OPERATOR_TOKEN}"}
    async with target.testbed.session.get(url, headers=headers) as response:
        entries = (await response.json())["entries"]
    return {entry["version"] for entry in entries if entry["version"]}
