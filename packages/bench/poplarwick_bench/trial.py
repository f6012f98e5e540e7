"""One run of a scenario, with the helpers of its experiment."""

from __future__ import annotations

import dataclasses
import sys
import time

from poplarwick_bench import caller
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import load_generator
from poplarwick_bench import scenario
from poplarwick_bench import system
from poplarwick_bench import trace
from poplarwick_bench import workload


@dataclasses.dataclass(slots=True)
class Trial:
    """One run of a scenario.

    Attributes:
        spec: Scenario of the run.
        policy: System under test.
        seed: Seed of arrivals and faults.
        shows_progress: Whether progress goes to standard error.
        started_s: Monotonic time of the start.
        traces: Points recorded for the report.
    """

    spec: scenario.Scenario
    policy: scenario.Policy
    seed: int
    shows_progress: bool = True
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    traces: list[trace.Trace] = dataclasses.field(default_factory=list)

    def record_trace(
        self,
        label: str,
        generator: load_generator.LoadGenerator,
        executions: list[history.Execution] | None = None,
        policy: scenario.Policy | None = None,
    ) -> None:
        """Records the trace of a finished load for the report."""
        started_at_s = time.time() - (time.monotonic() - generator.started_s)
        recorded = trace.Trace(
            scenario=self.spec.name,
            policy=(policy or self.policy).value,
            seed=self.seed,
            label=label,
            points=trace.make_points(generator.records, generator.started_s),
            loads=trace.make_loads(executions or [], started_at_s),
            capacity_tokens=self.spec.memory_tokens,
        )
        self.traces.append(recorded)

    def report_progress(self, text: str) -> None:
        """Prints a progress message to standard error."""
        if not self.shows_progress:
            return
        elapsed_s = time.monotonic() - self.started_s
        name = f"{self.spec.name} {self.policy.value}"
        print(f"[{elapsed_s:6.1f} s] {name}: {text}", file=sys.stderr)

    def make_workload(self, factor: float = 1.0) -> workload.Workload:
        """Returns the scenario's workload at a multiple of its load."""
        spec = self.spec
        capacity = system.PREFILL_TOKENS_PER_S * spec.engines * spec.time_scale
        mean_tokens = workload.compute_mean_tokens(spec.classes)
        return workload.Workload(
            classes=spec.classes,
            demand=spec.demand
            or {k: float(v) for k, v in spec.weights.items()},
            rate_per_s=factor * spec.load * capacity / mean_tokens,
            duration_s=spec.duration_s,
            time_scale=spec.time_scale,
        )

    def make_arrivals(self, factor: float = 1.0) -> list[workload.Arrival]:
        """Returns the seeded arrivals at a multiple of the scenario's load."""
        return workload.make_arrivals(self.make_workload(factor), self.seed)

    def make_load_generator(
        self,
        target: system.System,
        retry: load_generator.RetryPolicy | None = None,
    ) -> load_generator.LoadGenerator:
        """Returns a load generator for a system."""
        return load_generator.LoadGenerator(
            target.testbed.session,
            target.addresses,
            make_call,
            retry=retry,
            seed=self.seed,
        )


def make_call(arrival: workload.Arrival) -> caller.Call:
    """Returns the call of an arrival in the bench environment."""
    secret = fleet.make_secret(arrival.organisation)
    return workload.make_call(arrival, fleet.MODEL, secret)
