"""Request traffic with the rates and lengths of the users' requirements."""

from __future__ import annotations

import dataclasses
import math
import random

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import messages

LATE_WEIGHT_SHARE = 0.25
"""Share of its weight that a late answer keeps in the users' requirements."""

BASE_WEIGHT_SHARE = 0.3
"""Share of a kind's weight that each answer has regardless of its length."""

MAX_WEIGHT_FACTOR = 4.0
"""Largest weight of one answer, as a multiple of its kind's weight."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request in a traffic mix.

    Attributes:
        requests_per_s: Mean arrival rate.
        prompt_tokens: Mean prompt length.
        length_variation: Coefficient of variation of the prompt lengths.
        max_prompt_tokens: Length of the longest prompt.
        events: Mean number of events of an answer.
        target_s: Longest time to the first event of an answer on time.
        pause_limit_s: Longest gap between events of an answer on time.
        deadline_s: Time for which the caller waits.
        weight: Weight of an answer of mean length on time.
    """

    requests_per_s: float
    prompt_tokens: float
    length_variation: float
    max_prompt_tokens: int
    events: float
    target_s: float
    pause_limit_s: float
    deadline_s: float
    weight: float

    def calculate_weight(self, job: engines.Job) -> float:
        """Returns the weight of a request on time, by the users' rules."""
        size = job.request.prompt_tokens / self.prompt_tokens
        share = min(
            BASE_WEIGHT_SHARE + (1 - BASE_WEIGHT_SHARE) * size,
            MAX_WEIGHT_FACTOR,
        )
        return self.weight * share


LABEL = Kind(16, 4_960, 0.9, 23_800, 38, 0.3, 0.25, 10, 1.3)
CONTRACT = Kind(0.9, 45_000, 0.5, 110_000, 23, 1.5, 0.6, 10, 3.9)
DOSSIER = Kind(0.42, 182_000, 0.55, 900_000, 19, 3.0, 1.0, 15, 24)

KINDS = {"label": LABEL, "contract": CONTRACT, "dossier": DOSSIER}

_LONG_PHASE = {"label": 0.37, "contract": 1.3, "dossier": 2.7}
_SHORT_PHASE = {"label": 2.5, "contract": 0.5, "dossier": 0.05}

PHASES = (
    ((2.0, 11.5), _LONG_PHASE),
    ((12.0, 21.5), _SHORT_PHASE),
    ((23.0, 32.5), _LONG_PHASE),
)
"""Spans in seconds and rate factors by kind, as on the users' days: long
prompts replace short ones, then short ones replace long ones."""


def add_traffic(
    simulation: engines.Simulation,
    kind: Kind,
    rate_factor: float,
    span: tuple[float, float],
    seed: int,
    organisation: str = "",
) -> list[engines.Job]:
    """Adds requests of one kind with random arrival times and lengths."""
    rng = random.Random(seed)
    jobs: list[engines.Job] = []
    time_s = span[0]
    variance = math.log(1 + kind.length_variation * kind.length_variation)
    while True:
        time_s += rng.expovariate(kind.requests_per_s * rate_factor)
        if time_s >= span[1]:
            return jobs
        tokens = rng.lognormvariate(0, variance**0.5) * kind.prompt_tokens
        tokens /= math.exp(variance / 2)
        events = max(int(rng.gauss(kind.events, kind.events / 2)), 2)
        request = make_request(
            kind,
            time_s,
            min(int(tokens), kind.max_prompt_tokens),
            events,
            f"r{len(simulation.jobs)}",
            organisation=organisation,
            stride=simulation.profile.stride,
        )
        jobs.append(simulation.add_request(time_s, request))


def make_request(
    kind: Kind,
    arrival_s: float,
    tokens: int,
    events: int,
    request_id: str,
    priority: int = 0,
    organisation: str = "",
    stride: int = engines.PROFILE.stride,
) -> messages.PlacementRequest:
    """Returns a placement request of one kind."""
    return messages.PlacementRequest(
        request_id=ids.RequestId(request_id),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=events * stride,
        on_time_at_s=arrival_s + kind.target_s,
        deadline_at_s=arrival_s + kind.deadline_s,
        pause_limit_s=kind.pause_limit_s,
        priority=priority,
        organisation=ids.OrganisationId(organisation),
    )


def replay_changing_mix(
    seed: int,
    *,
    is_global: bool = True,
    engine_count: int = 16,
    scale: float = 1.0,
) -> dict[str, list[engines.Job]]:
    """Replays a day with a changing traffic mix; returns its requests by kind.

    Args:
        seed: Seed of arrivals and lengths.
        is_global: Whether one instance places all requests; otherwise each
            instance spreads its own.
        engine_count: Number of engines.
        scale: Multiple of the required rates.
    """
    simulation = engines.Simulation(
        engines.make_scheduler(is_global=is_global, seed=seed), engine_count
    )
    jobs: dict[str, list[engines.Job]] = {name: [] for name in KINDS}
    for number, (span, rate_factors) in enumerate(PHASES):
        for name, kind in KINDS.items():
            jobs[name] += add_traffic(
                simulation,
                kind,
                rate_factors[name] * scale,
                span,
                seed * 100 + number * 10 + len(name),
            )
    simulation.run(
        PHASES[-1][0][1] + max(kind.deadline_s for kind in KINDS.values())
    )
    return jobs


def share_on_time(jobs: list[engines.Job]) -> float:
    """Returns the share of jobs that were on time."""
    return sum(job.is_on_time for job in jobs) / max(len(jobs), 1)


def calculate_goodput_share(kind: Kind, jobs: list[engines.Job]) -> float:
    """Returns the achieved share of the weight of a kind's jobs."""
    earned = possible = 0.0
    for job in jobs:
        weight = kind.calculate_weight(job)
        possible += weight
        if job.is_on_time:
            earned += weight
        elif job.is_complete_in_time:
            earned += weight * LATE_WEIGHT_SHARE
    return earned / possible if possible else 1.0
