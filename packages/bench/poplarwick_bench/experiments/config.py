"""Two operators race with lost answers; all instances follow."""

from __future__ import annotations

import asyncio
import time

import msgspec

from poplarwick_bench import fault_injection
from poplarwick_bench import figures
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_bench import operators
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trial
from poplarwick_configuration import document

POLL_S = 0.05
LOST_ANSWERS = 0.2
SETTLE_S = 3.0


async def run(own: trial.Trial) -> figures.Figures:
    """Pushes documents through two instances as fast as they are taken."""
    plan = system.make_plan(own.spec)
    seen = history.History()
    changes_each = max(1, own.spec.calls // 2)
    async with system.open_system(plan, scenario.Policy.CURRENT) as target:
        makes = fault_injection.FaultInjector(target.fleet, seen)
        lost = {"lost_write_probability": LOST_ANSWERS, "seed": own.seed}
        watching = [
            asyncio.create_task(_watch(target.fleet, index, seen))
            for index in range(plan.instances)
        ]
        first = await _count_audited(target.fleet)
        await makes.set_kv_faults(lost)
        refused = await asyncio.gather(
            _push(target.fleet, 0, changes_each, seen),
            _push(target.fleet, plan.instances - 1, changes_each, seen),
        )
        await makes.set_kv_faults({})
        await asyncio.sleep(SETTLE_S)
        audited = await _count_audited(target.fleet)
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
    times = find_convergence_s(seen)
    versions = [accepted.version for accepted in seen.acceptances]
    reverts = list(invariants.check_configurations(seen))
    return {
        "changes": len(versions),
        "refused": sum(refused),
        "doubled_versions": len(versions) - len(set(versions)),
        "audit_missing": len(set(versions) - audited),
        "stored_though_refused": len(audited - set(versions) - first),
        "in_force_p50_s": figures.compute_percentile_s(times, 50),
        "in_force_p99_s": figures.compute_percentile_s(times, 99),
        "never_in_force": sum(value < 0 for value in times),
        "violations": len(reverts),
    }


def find_convergence_s(seen: history.History) -> list[float]:
    """Returns for each change the time until all instances had it in force.

    A change that some instance never had counts as -1.
    """
    instances = {observation.instance for observation in seen.observations}
    found = []
    for accepted in seen.acceptances:
        first_s: dict[str, float] = {}
        for observation in seen.observations:
            if observation.version >= accepted.version:
                first_s.setdefault(observation.instance, observation.at_s)
        if first_s.keys() != instances:
            found.append(-1.0)
            continue
        found.append(max(0.0, max(first_s.values()) - accepted.at_s))
    return found


async def _push(
    target: fleet.Fleet, node: int, changes: int, seen: history.History
) -> int:
    """Pushes changes one after the other; returns how many were refused."""
    operator = target.make_operator(node)
    refused = 0
    for index in range(changes):
        text = msgspec.json.encode(_vary(target.document, node, index))
        try:
            seen.acceptances.append(await operator.push(text))
        except operators.OperatorError:
            refused += 1
    return refused


def _vary(base: document.Document, node: int, index: int) -> document.Document:
    """Returns the document with a limit that no other change sets."""
    first, *others = base.organisations
    limits = msgspec.structs.replace(
        first.limits, max_concurrent=10_000 + 1_000 * node + index
    )
    changed = msgspec.structs.replace(first, limits=limits)
    return msgspec.structs.replace(base, organisations=(changed, *others))


async def _watch(target: fleet.Fleet, node: int, seen: history.History) -> None:
    operator = target.make_operator(node)
    name = target.node_settings[node].instance
    while True:
        status = await operator.read_status()
        version = int(status["version"])
        seen.observations.append(
            history.Observation(name, version, time.time())
        )
        await asyncio.sleep(POLL_S)


async def _count_audited(target: fleet.Fleet) -> set[int]:
    address = target.node_settings[0].listen.administration
    url = f"http://{address}/v1/environments/{fleet.ENVIRONMENT}/audit"
    headers = {"Authorization": f"Bearer {fleet.OPERATOR_TOKEN}"}
    async with target.testbed.session.get(url, headers=headers) as response:
        entries = (await response.json())["entries"]
    return {entry["version"] for entry in entries if entry["version"]}
