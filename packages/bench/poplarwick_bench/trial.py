"""One run of a scenario and what its experiment needs to know."""

from __future__ import annotations

import dataclasses
import sys
import time

from poplarwick_bench import caller
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import load
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trace
from poplarwick_bench import workload


@dataclasses.dataclass(slots=True)
class Trial:
    """One run.

    Attributes:
        spec: What is run.
        policy: What stands between callers and engines.
        seed: Seed of arrivals and faults.
        shows_progress: Whether progress goes to standard error.
        began_s: Monotonic time of the start.
        traces: Points kept for the report.
    """

    spec: scenario.Scenario
    policy: scenario.Policy
    seed: int
    shows_progress: bool = True
    began_s: float = dataclasses.field(default_factory=time.monotonic)
    traces: list[trace.Trace] = dataclasses.field(default_factory=list)

    def keep(
        self,
        label: str,
        running: load.Load,
        executions: list[history.Execution] | None = None,
        policy: scenario.Policy | None = None,
    ) -> None:
        """Keeps the points of a finished load for the report."""
        started_at_s = time.time() - (time.monotonic() - running.started_s)
        kept = trace.Trace(
            scenario=self.spec.name,
            policy=(policy or self.policy).value,
            seed=self.seed,
            label=label,
            points=trace.make_points(running.records, running.started_s),
            loads=trace.make_loads(executions or [], started_at_s),
            capacity_tokens=self.spec.memory_tokens,
        )
        self.traces.append(kept)

    def report(self, text: str) -> None:
        """Shows a step of the run."""
        if not self.shows_progress:
            return
        elapsed_s = time.monotonic() - self.began_s
        name = f"{self.spec.name} {self.policy.value}"
        print(f"[{elapsed_s:6.1f} s] {name}: {text}", file=sys.stderr)

    def make_workload(self, factor: float = 1.0) -> workload.Workload:
        """Returns the scenario's workload at a multiple of its load."""
        own = self.spec
        capacity = system.PREFILL_TOKENS_PER_S * own.engines * own.time_scale
        mean_tokens = workload.compute_mean_tokens(own.classes)
        return workload.Workload(
            classes=own.classes,
            demand=own.demand or {k: float(v) for k, v in own.weights.items()},
            rate_per_s=factor * own.load * capacity / mean_tokens,
            duration_s=own.duration_s,
            time_scale=own.time_scale,
        )

    def make_arrivals(self, factor: float = 1.0) -> list[workload.Arrival]:
        """Returns the seeded arrivals at a multiple of the load."""
        return workload.make_arrivals(self.make_workload(factor), self.seed)

    def make_load(
        self, target: system.System, retry: load.RetryPolicy | None = None
    ) -> load.Load:
        """Returns a load on a system."""
        return load.Load(
            target.testbed.session,
            target.addresses,
            make_call,
            retry=retry,
            seed=self.seed,
        )


def make_call(arrival: workload.Arrival) -> caller.Call:
    """Returns the call of an arrival in the bench's own environment."""
    secret = fleet.make_secret(arrival.organisation)
    return workload.make_call(arrival, fleet.MODEL, secret)
