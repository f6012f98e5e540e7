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
    """Runs one or all scenarios and prints each result as a JSON line.

    Args:
        name: Name of the scenario, or `all`.
        policy: System under test.
        seed: Seed of arrivals and faults.
        is_quick: Whether to halve durations and counts.
        folder: Directory that results are saved to, for `compare`.
        as_json: Whether to print only JSON.

    Returns:
        Whether all bounds hold.
    """
    names = scenario.list_scenarios() if name == ALL else [name]
    results = []
    for scenario_name in names:
        spec = scenario.read_scenario(scenario_name)
        trial_ = trial.Trial(_shorten(spec, is_quick), policy, seed)
        result = await _run_one(trial_)
        results.append(result)
        if folder is not None:
            _save_result(folder, result, trial_.traces)
        if not as_json:
            print(make_table(result))
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        sys.stdout.flush()
    return all(result.holds for result in results)


def make_table(result: scenario.Result) -> str:
    """Returns a result as a human-readable table."""
    lines = [f"{result.scenario} {result.policy} seed {result.seed}"]
    for name, value in result.figures.items():
        lines.append(f"  {name:<40} {value:>14.6g}")
    for bound in result.bounds:
        shown_value = "absent" if bound.value is None else f"{bound.value:.6g}"
        word = "holds" if bound.holds else "FAILS"
        lines.append(
            f"  {word} {bound.name}: {shown_value} (limit {bound.limit:g})"
        )
    return "\n".join(lines)


def make_comparison(first: scenario.Result, second: scenario.Result) -> str:
    """Returns the metrics of two results side by side."""
    heads = [f"{r.policy} {r.seed} {r.commit}" for r in (first, second)]
    lines = [f"{first.scenario:<40} {heads[0]:>34} {heads[1]:>34} ratio"]
    for name, value in first.figures.items():
        second_value = second.figures.get(name)
        if second_value is None:
            continue
        ratio = f"{second_value / value:.3f}" if value else "-"
        lines.append(f"{name:<40} {value:>34.6g} {second_value:>34.6g} {ratio}")
    return "\n".join(lines)


def _shorten(spec: scenario.Scenario, is_quick: bool) -> scenario.Scenario:
    if not is_quick:
        return spec
    return msgspec.structs.replace(
        spec,
        duration_s=spec.duration_s * QUICK_FACTOR,
        calls=max(1, round(spec.calls * QUICK_FACTOR)),
    )


async def _run_one(trial_: trial.Trial) -> scenario.Result:
    kind = trial_.spec.kind
    module = importlib.import_module(f"poplarwick_bench.experiments.{kind}")
    metrics = await module.run(trial_)
    return scenario.make_result(
        trial_.spec, trial_.policy, trial_.seed, metrics
    )


def _save_result(
    folder: pathlib.Path, result: scenario.Result, traces: list[trace.Trace]
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{result.scenario}-{result.policy}-{result.seed}"
    (folder / f"{name}.json").write_bytes(msgspec.json.encode(result))
    for trace_ in traces:
        path = folder / f"{name}-{trace_.policy}-{trace_.label}.trace.json"
        path.write_bytes(msgspec.json.encode(trace_))
