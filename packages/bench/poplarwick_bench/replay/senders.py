"""Replays organisations that send different amounts to the same engines."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Mapping

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_placement import load_management

PROFILE = dataclasses.replace(
    engines.PROFILE,
    slots=6,
    memory_tokens=197_200,
    step_s=1.02e-3,
    prefill_tokens_per_s=206_000,
    stride=48,
)
"""Profile of engines whose memory holds one long prompt."""

ENGINES = 20
"""A third of the engines of the deployment, at a third of its rates."""

KINDS = {
    "short": traffic.Kind(
        37.4 / 3, 5_000, 0.3, 20_000, 30, 0.271, 0.25, 10.8, 1.0
    ),
    "medium": traffic.Kind(
        4.42 / 3, 45_000, 0.3, 110_000, 20, 1.532, 0.6, 10.2, 3.0
    ),
    "long": traffic.Kind(
        1.58 / 3, 190_000, 0.1, 260_000, 15, 6.055, 1.0, 15.1, 7.3
    ),
}
"""Kinds of requests of deployment N in docs/LOAD.md."""


@dataclasses.dataclass(frozen=True)
class Sender:
    """An organisation and what it sends.

    Attributes:
        name: Name of the organisation.
        rates: Multiples of the required rates, by kind.
        span: Start and end of its requests, in seconds.
    """

    name: str
    rates: Mapping[str, float]
    span: tuple[float, float] = (0.0, 30.0)


def replay(
    senders: list[Sender],
    *,
    has_contention: bool,
    seed: int = 1,
    is_global: bool = True,
) -> dict[tuple[str, str], list[engines.Job]]:
    """Replays the requests of organisations.

    Args:
        senders: The organisations. What one sends does not depend on the
            others, so that replays with and without one compare.
        has_contention: Whether the decisions under contention are in force.
        seed: Seed of arrivals and lengths.
        is_global: Whether one instance places all requests.

    Returns:
        Requests by organisation and kind.
    """
    simulation = engines.Simulation(
        engines.make_scheduler(
            is_global=is_global,
            seed=seed,
            management=load_management.make_load_management(
                has_contention=has_contention
            ),
        ),
        ENGINES,
        PROFILE,
    )
    jobs = {
        (sender.name, kind): traffic.add_traffic(
            simulation,
            KINDS[kind],
            rate,
            sender.span,
            _make_seed(seed, sender.name, kind),
            sender.name,
        )
        for sender in senders
        for kind, rate in sender.rates.items()
        if rate > 0
    }
    end_s = max(sender.span[1] for sender in senders)
    simulation.run(end_s + max(k.deadline_s for k in KINDS.values()))
    return jobs


def _make_seed(seed: int, name: str, kind: str) -> int:
    """Returns a seed for the requests of one kind of an organisation."""
    return zlib.crc32(f"{seed} {name} {kind}".encode())


def calculate_earned_weight(
    jobs: Mapping[tuple[str, str], list[engines.Job]], *names: str
) -> float:
    """Returns the weight that organisations earned, by the users' rules."""
    earned = 0.0
    for (name, kind), requests in jobs.items():
        if name not in names:
            continue
        for job in requests:
            weight = KINDS[kind].calculate_weight(job)
            if job.is_on_time:
                earned += weight
            elif job.is_complete_in_time:
                earned += weight * traffic.LATE_WEIGHT_SHARE
    return earned
