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
    """What stands between callers and engines in a run."""

    CURRENT = "current"
    ROUND_ROBIN = "baseline-round-robin"
    LEAST_OUTSTANDING = "baseline-least-outstanding"


class Sense(enum.Enum):
    """On which side of its limit a figure must lie."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"


class BoundSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A limit on one figure, from a stated target.

    Attributes:
        name: Name of the figure.
        limit: Limit.
        sense: On which side of it the figure must lie.
    """

    name: str
    limit: float
    sense: Sense = Sense.AT_MOST


class Scenario(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One experiment.

    Attributes:
        name: Name of the file without its suffix.
        kind: Module of `poplarwick_bench.experiments` that runs it.
        summary: One line for `poplarwick-bench list`.
        instances: Number of instances.
        engines: Number of engines.
        services: Number of plain services.
        domains: Number of failure domains.
        weights: Weight of each organisation.
        demand: Share of the requests by organisation; the weights if empty.
        classes: Lengths of prompts.
        load: Offered prefill work over the warm engines' capacity.
        duration_s: Time over which requests become due.
        time_scale: Engine seconds in one second.
        memory_tokens: KV cache memory of one engine.
        calls: Number of calls, where the experiment counts calls.
        bounds: Limits on the figures.
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
    """A bound held against the figure of a run.

    Attributes:
        name: Name of the figure.
        value: Figure; None if the run did not give it.
        limit: Limit.
        holds: Whether the figure lies on the right side.
    """

    name: str
    value: float | None
    limit: float
    holds: bool


class Result(msgspec.Struct, frozen=True):
    """What a run came to: its last line, as JSON.

    Attributes:
        scenario: Name of the scenario.
        policy: What stood between callers and engines.
        seed: Seed of arrivals and faults.
        commit: Commit that was run.
        figures: Figures by name, with units in the names.
        bounds: Bounds.
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
        errors.DocumentError: There is no such file, or it is not valid.
    """
    folder = importlib.resources.files("poplarwick_bench") / "scenarios"
    path = pathlib.Path(str(folder / f"{name}{SUFFIX}"))
    found = jsonc.read_file(path, Scenario)
    return msgspec.structs.replace(found, name=name)


def make_result(
    scenario: Scenario, policy: Policy, seed: int, figures: dict[str, float]
) -> Result:
    """Returns the result of a run; bounds are those of the current policy."""
    specs = scenario.bounds if policy is Policy.CURRENT else ()
    bounds = [_hold(spec, figures.get(spec.name)) for spec in specs]
    return Result(
        scenario=scenario.name,
        policy=policy.value,
        seed=seed,
        commit=read_commit(),
        figures=figures,
        bounds=bounds,
        holds=all(bound.holds for bound in bounds),
    )


def read_commit() -> str:
    """Returns the commit of this checkout, marked if files differ."""
    folder = pathlib.Path(__file__).parent
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, check=False
        )
    except OSError:
        return "unknown"
    return done.stdout.strip() or "unknown"


def _hold(spec: BoundSpec, value: float | None) -> Bound:
    holds = value is not None and (
        value <= spec.limit
        if spec.sense is Sense.AT_MOST
        else value >= spec.limit
    )
    return Bound(spec.name, value, spec.limit, holds)
