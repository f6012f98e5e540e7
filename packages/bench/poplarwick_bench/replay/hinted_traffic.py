"""Requests whose outputs differ from the callers' hints, on little memory.

Outputs are log-normal around their median. A hint is the median times a factor
of its organisation, so that some callers' hints are always wrong.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from collections.abc import Sequence

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import load_management
from poplarwick_placement import messages

OUTPUT_DEVIATION = 0.8
"""Standard deviation of the logarithm of the outputs."""

PROMPT_DEVIATION = 0.3
"""The same of the prompts."""

SPAN_S = 40.0
"""Time in which requests arrive."""

REST_S = 20.0
"""Time after it in which they end."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        per_s: Mean arrival rate.
        prompt_tokens: Median length of a prompt.
        output_tokens: Median length of an output.
        target_s: Longest time to the first event of an answer on time.
        pause_limit_s: Longest gap between events of an answer on time.
        deadline_s: Time for which the caller waits.
        hint_factors: Hint relative to the median output, by organisation.
    """

    per_s: float
    prompt_tokens: int
    output_tokens: int
    target_s: float
    pause_limit_s: float
    deadline_s: float
    hint_factors: Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Summary:
    """Result of a replay.

    Attributes:
        first_event_p95_s: 95th percentile of the time to the first event;
            requests without one count until the end.
        preemptions: Number of preemptions.
        on_time_share: Share of the requests that were on time.
    """

    first_event_p95_s: float
    preemptions: int
    on_time_share: float


_RIGHT = {"a": 1.0, "b": 1.0, "c": 1.0}

LONG_PROMPTS = (
    Kind(15.0, 5_000, 1_300, 0.271, 0.25, 10.8, _RIGHT),
    Kind(1.76, 45_000, 780, 1.532, 0.6, 10.2, _RIGHT),
    Kind(0.64, 190_000, 650, 6.055, 1.0, 15.1, _RIGHT),
)
"""Twice the load on 12 engines of a deployment whose long prompts fill one."""

WRONG_HINTS = (
    Kind(6.0, 3_000, 1_700, 0.5, 0.5, 30.0, {"a": 1.0, "b": 1 / 6, "c": 6.0}),
)
"""Outputs that are half as long as their prompts, with hints that are wrong in
either direction."""


def replay(
    kinds: Sequence[Kind],
    seed: int,
    management: load_management.LoadManagement,
    *,
    memory_tokens: int,
    engine_count: int,
) -> Summary:
    """Replays requests on engines that preempt those that outgrow them.

    Args:
        kinds: Kinds of requests.
        seed: Seed of arrivals and lengths.
        management: Optional decisions of the scheduler.
        memory_tokens: Memory of an engine.
        engine_count: Number of engines.
    """
    simulation = engines.Simulation(
        engines.make_scheduler(management=management, seed=seed),
        engine_count,
        memory_tokens=memory_tokens,
    )
    jobs: list[engines.Job] = []
    for number, kind in enumerate(kinds):
        rng = random.Random(seed * 10 + number)
        time_s = 1.0
        while time_s < SPAN_S:
            time_s += rng.expovariate(kind.per_s)
            organisation = rng.choice(list(kind.hint_factors))
            output_tokens = kind.output_tokens * rng.lognormvariate(
                0, OUTPUT_DEVIATION
            )
            prompt_tokens = kind.prompt_tokens * rng.lognormvariate(
                0, PROMPT_DEVIATION
            )
            request = messages.PlacementRequest(
                request_id=ids.RequestId(f"r{len(jobs)}"),
                service=engines.POOL,
                prompt_tokens=round(prompt_tokens),
                output_tokens=round(
                    kind.output_tokens * kind.hint_factors[organisation]
                ),
                on_time_at_s=time_s + kind.target_s,
                deadline_at_s=time_s + kind.deadline_s,
                pause_limit_s=kind.pause_limit_s,
                organisation=ids.OrganisationId(organisation),
                route=f"route-{number}",
            )
            jobs.append(
                simulation.add_request(time_s, request, round(output_tokens))
            )
    simulation.run(SPAN_S + REST_S)
    return _summarise(jobs, simulation.now_s)


def _summarise(jobs: Sequence[engines.Job], now_s: float) -> Summary:
    waits_s = sorted((j.first_event_s or now_s) - j.arrived_s for j in jobs)
    return Summary(
        waits_s[len(waits_s) * 95 // 100],
        sum(job.preemptions for job in jobs),
        sum(job.is_on_time for job in jobs) / len(jobs),
    )
