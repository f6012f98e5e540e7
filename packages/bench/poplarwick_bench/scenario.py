"""Scenario files and the results of their runs."""

from __future__ import annotations

import enum
import importlib.resources
import pathlib
import subprocess
from typing import Annotated

import msgspec

from poplarwick_bench import workload
from poplarwick_core import jsonc

SUFFIX = ".jsonc"
Positive = Annotated[int, msgspec.Meta(gt=0)]
Rate = Annotated[float, msgspec.Meta(gt=0)]


class Policy(enum.Enum):
    """System under test between callers and engines."""

    CURRENT = "current"
    ROUND_ROBIN = "baseline-round-robin"
    LEAST_OUTSTANDING = "baseline-least-outstanding"


class Sense(enum.Enum):
    """Side of the limit on which a metric must lie."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"


class BoundSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A limit on one metric, taken from a stated target.

    Attributes:
        name: Name of the metric.
        limit: Limit.
        sense: Side of the limit on which the metric must lie.
    """

    name: str
    limit: float
    sense: Sense = Sense.AT_MOST


class Scenario(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Parameters of one experiment.

    Attributes:
        name: File name without its suffix.
        kind: Module of `poplarwick_bench.experiments` that runs it.
        summary: One line for `poplarwick-bench list`.
        instances: Number of instances.
        engines: Number of engines.
        services: Number of plain services.
        domains: Number of failure domains.
        weights: Weight of each organisation.
        demand: Share of the requests by organisation; the weights are used if
            it is empty.
        classes: Prompt length classes.
        load: Offered prefill work as a fraction of the warm engines' capacity.
        duration_s: Time during which requests arrive.
        time_scale: Seconds of engine time per second of real time.
        memory_tokens: KV cache memory of one engine.
        calls: Number of calls, for experiments with a fixed number.
        bounds: Limits on the metrics.
    """

    name: str = ""
    kind: str
    summary: str
    instances: Positive = 8
    engines: Positive = 16
    services: Annotated[int, msgspec.Meta(ge=0)] = 0
    domains: Positive = 3
    weights: dict[str, Positive] = msgspec.field(
        default_factory=lambda: {"labels": 1}
    )
    demand: dict[str, Rate] = {}
    classes: tuple[workload.LengthClass, ...] = ()
    load: Rate = 0.5
    duration_s: Rate = 10.0
    time_scale: Rate = 1.0
    memory_tokens: Positive = 400_000
    calls: Positive = 100
    bounds: tuple[BoundSpec, ...] = ()


class Bound(msgspec.Struct, frozen=True):
    """A bound compared with the metric of a run.

    Attributes:
        name: Name of the metric.
        value: Value; None if the run did not report the metric.
        limit: Limit.
        holds: Whether the value is within the limit.
    """

    name: str
    value: float | None
    limit: float
    holds: bool


class Result(msgspec.Struct, frozen=True):
    """Result of a run, printed as its last line in JSON.

    Attributes:
        scenario: Name of the scenario.
        policy: System under test.
        seed: Seed of arrivals and faults.
        commit: Commit of the checkout.
        figures: Metrics by name; the names state the units.
        bounds: Bounds compared with the metrics.
        holds: Whether all bounds hold.
    """

    scenario: str
    policy: str
    seed: int
    commit: str
    figures: dict[str, float]
    bounds: list[Bound]
    holds: bool


def list_scenarios() -> list[str]:
    """Returns the names of all scenarios."""
    folder = importlib.resources.files("poplarwick_bench") / "scenarios"
    names = (entry.name for entry in folder.iterdir())
    return sorted(n.removesuffix(SUFFIX) for n in names if n.endswith(SUFFIX))


def read_scenario(name: str) -> Scenario:
    """Reads a scenario by its name.

    Raises:
        errors.DocumentError: The file does not exist or is not valid.
    """
    folder = importlib.resources.files("poplarwick_bench") / "scenarios"
    path = pathlib.Path(str(folder / f"{name}{SUFFIX}"))
    scenario = jsonc.read_file(path, Scenario)
    return msgspec.structs.replace(scenario, name=name)


def make_result(
    scenario: Scenario, policy: Policy, seed: int, metrics: dict[str, float]
) -> Result:
    """Returns the result of a run; only the current policy has bounds."""
    specs = scenario.bounds if policy is Policy.CURRENT else ()
    bounds = [_check_bound(spec, metrics.get(spec.name)) for spec in specs]
    return Result(
        scenario=scenario.name,
        policy=policy.value,
        seed=seed,
        commit=read_commit(),
        figures=metrics,
        bounds=bounds,
        holds=all(bound.holds for bound in bounds),
    )


def read_commit() -> str:
    """Returns the commit of this checkout, marked if it has local changes."""
    folder = pathlib.Path(__file__).parent
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    try:
        completed = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, check=False
        )
    except OSError:
        return "unknown"
    return completed.stdout.strip() or "unknown"


def _check_bound(spec: BoundSpec, value: float | None) -> Bound:
    holds = value is not None and (
        value <= spec.limit
        if spec.sense is Sense.AT_MOST
        else value >= spec.limit
    )
    return Bound(spec.name, value, spec.limit, holds)
