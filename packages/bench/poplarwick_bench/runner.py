"""Runs scenarios and prints their results."""

from __future__ import annotations

import importlib
import pathlib
import sys

import msgspec

from poplarwick_bench import scenario
from poplarwick_bench import trace
from poplarwick_bench import trial

QUICK_FACTOR = 0.5
ALL = "all"


async def run(
    name: str,
    policy: scenario.Policy,
    seed: int,
    *,
    is_quick: bool = False,
    folder: pathlib.Path | None = None,
    as_json: bool = False,
) -> bool:
    """Runs one scenario, or all, and prints each result on a line.

    Args:
        name: Name of the scenario, or `all`.
        policy: What stands between callers and engines.
        seed: Seed of arrivals and faults.
        is_quick: Whether to halve durations and counts.
        folder: Directory that results are kept in, for `compare`.
        as_json: Whether to leave out the table for people.

    Returns:
        Whether all bounds hold.
    """
    names = scenario.list_scenarios() if name == ALL else [name]
    results = []
    for found in names:
        own = scenario.read_scenario(found)
        attempt = trial.Trial(_shorten(own, is_quick), policy, seed)
        result = await _run_one(attempt)
        results.append(result)
        if folder is not None:
            _keep(folder, result, attempt.traces)
        if not as_json:
            print(make_table(result))
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        sys.stdout.flush()
    return all(result.holds for result in results)


def make_table(result: scenario.Result) -> str:
    """Returns a result as a table for people."""
    lines = [f"{result.scenario} {result.policy} seed {result.seed}"]
    for name, value in result.figures.items():
        lines.append(f"  {name:<40} {value:>14.6g}")
    for bound in result.bounds:
        seen = "absent" if bound.value is None else f"{bound.value:.6g}"
        word = "holds" if bound.holds else "FAILS"
        lines.append(f"  {word} {bound.name}: {seen} (limit {bound.limit:g})")
    return "\n".join(lines)


def make_comparison(first: scenario.Result, second: scenario.Result) -> str:
    """Returns the figures of two results side by side."""
    heads = [f"{r.policy} {r.seed} {r.commit}" for r in (first, second)]
    lines = [f"{first.scenario:<40} {heads[0]:>34} {heads[1]:>34} ratio"]
    for name, value in first.figures.items():
        other = second.figures.get(name)
        if other is None:
            continue
        ratio = f"{other / value:.3f}" if value else "-"
        lines.append(f"{name:<40} {value:>34.6g} {other:>34.6g} {ratio}")
    return "\n".join(lines)


def _shorten(own: scenario.Scenario, is_quick: bool) -> scenario.Scenario:
    if not is_quick:
        return own
    return msgspec.structs.replace(
        own,
        duration_s=own.duration_s * QUICK_FACTOR,
        calls=max(1, round(own.calls * QUICK_FACTOR)),
    )


async def _run_one(attempt: trial.Trial) -> scenario.Result:
    kind = attempt.spec.kind
    module = importlib.import_module(f"poplarwick_bench.experiments.{kind}")
    figures = await module.run(attempt)
    return scenario.make_result(
        attempt.spec, attempt.policy, attempt.seed, figures
    )


def _keep(
    folder: pathlib.Path, result: scenario.Result, traces: list[trace.Trace]
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{result.scenario}-{result.policy}-{result.seed}"
    (folder / f"{name}.json").write_bytes(msgspec.json.encode(result))
    for found in traces:
        path = folder / f"{name}-{found.policy}-{found.label}.trace.json"
        path.write_bytes(msgspec.json.encode(found))
