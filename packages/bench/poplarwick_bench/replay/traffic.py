"""Requests at the rates and lengths of the users' sheets."""

from __future__ import annotations

import dataclasses
import math
import random

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import messages

LATE_SHARE = 0.25
"""Part of its worth that a late answer has in the users' sheets."""

BASE_SHARE = 0.3
"""Part of a kind's worth that each answer has, whatever its length."""

MOST_WORTH = 4.0
"""Most that one answer is worth, in worths of its kind."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request in a mix.

    Attributes:
        per_s: Mean rate.
        prompt_tokens: Mean length of prompts.
        spread: Coefficient of variation of their lengths.
        most_tokens: Longest prompt.
        events: Mean number of events of an answer.
        aim_s: Time to the first event of an answer that is on time.
        pause_s: Longest pause of one.
        deadline_s: How long the caller waits.
        worth: Worth of a mean answer on time.
    """

    per_s: float
    prompt_tokens: float
    spread: float
    most_tokens: int
    events: float
    aim_s: float
    pause_s: float
    deadline_s: float
    worth: float

    def calculate_worth(self, job: engines.Job) -> float:
        """Returns what a request is worth on time, by the users' rules."""
        size = job.wanted.prompt_tokens / self.prompt_tokens
        share = min(BASE_SHARE + (1 - BASE_SHARE) * size, MOST_WORTH)
        return self.worth * share


LABEL = Kind(16, 4_960, 0.9, 23_800, 38, 0.3, 0.25, 10, 1.3)
CONTRACT = Kind(0.9, 45_000, 0.5, 110_000, 23, 1.5, 0.6, 10, 3.9)
DOSSIER = Kind(0.42, 182_000, 0.55, 900_000, 19, 3.0, 1.0, 15, 24)

KINDS = {"label": LABEL, "contract": CONTRACT, "dossier": DOSSIER}

_LONG_TURN = {"label": 0.37, "contract": 1.3, "dossier": 2.7}
_SHORT_TURN = {"label": 2.5, "contract": 0.5, "dossier": 0.05}

TURNS = (
    ((2.0, 11.5), _LONG_TURN),
    ((12.0, 21.5), _SHORT_TURN),
    ((23.0, 32.5), _LONG_TURN),
)
"""Spans in seconds and rates by kind of the users' days: long prompts in place
of short ones, then short ones in place of long ones."""


def add_traffic(
    world: engines.Simulation,
    kind: Kind,
    factor: float,
    span: tuple[float, float],
    seed: int,
) -> list[engines.Job]:
    """Adds requests of one kind at random times and of random lengths."""
    draw = random.Random(seed)
    jobs: list[engines.Job] = []
    time_s = span[0]
    variance = math.log(1 + kind.spread * kind.spread)
    while True:
        time_s += draw.expovariate(kind.per_s * factor)
        if time_s >= span[1]:
            return jobs
        tokens = draw.lognormvariate(0, variance**0.5) * kind.prompt_tokens
        tokens /= math.exp(variance / 2)
        events = max(int(draw.gauss(kind.events, kind.events / 2)), 2)
        wanted = make_request(
            kind,
            time_s,
            min(int(tokens), kind.most_tokens),
            events,
            f"r{len(world.jobs)}",
        )
        jobs.append(world.arrive(time_s, wanted))


def make_request(
    kind: Kind,
    at_s: float,
    tokens: int,
    events: int,
    request: str,
    priority: int = 0,
) -> messages.PlacementRequest:
    """Returns what one request of a kind needs."""
    return messages.PlacementRequest(
        request_id=ids.RequestId(request),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=events * engines.PROFILE.stride,
        on_time_at_s=at_s + kind.aim_s,
        deadline_at_s=at_s + kind.deadline_s,
        pause_limit_s=kind.pause_s,
        priority=priority,
    )


def replay_changing_mix(
    seed: int,
    *,
    is_global: bool = True,
    engine_count: int = 16,
    scale: float = 1.0,
) -> dict[str, list[engines.Job]]:
    """Plays a day whose mix turns over; returns its requests by kind.

    Args:
        seed: Seed of arrivals and lengths.
        is_global: Whether one instance places for all, else each spreads.
        engine_count: Number of engines.
        scale: Multiple of the sheets' rates.
    """
    world = engines.Simulation(
        engines.make_scheduler(is_global=is_global, seed=seed), engine_count
    )
    jobs: dict[str, list[engines.Job]] = {name: [] for name in KINDS}
    for number, (span, factors) in enumerate(TURNS):
        for name, kind in KINDS.items():
            jobs[name] += add_traffic(
                world,
                kind,
                factors[name] * scale,
                span,
                seed * 100 + number * 10 + len(name),
            )
    world.run(TURNS[-1][0][1] + max(kind.deadline_s for kind in KINDS.values()))
    return jobs


def share_on_time(jobs: list[engines.Job]) -> float:
    """Returns the share of jobs that were on time."""
    return sum(job.is_on_time for job in jobs) / max(len(jobs), 1)


def calculate_goodput_share(kind: Kind, jobs: list[engines.Job]) -> float:
    """Returns the share of a kind's worth that was earned."""
    earned = owed = 0.0
    for job in jobs:
        worth = kind.calculate_worth(job)
        owed += worth
        if job.is_on_time:
            earned += worth
        elif job.is_served:
            earned += worth * LATE_SHARE
    return earned / owed if owed else 1.0
