"""Seeded Poisson arrivals with a wide range of prompt lengths."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Annotated

import msgspec

from poplarwick_bench import caller
from poplarwick_standins import completions

_FILLER = "the quick brown fox jumps over the lazy dog and "
_LONGEST_BYTES = 4_400_000
_TEXT = _FILLER * (_LONGEST_BYTES // len(_FILLER))
DECADES = (1_000, 10_000, 100_000, 1_000_000)

Positive = Annotated[int, msgspec.Meta(gt=0)]
Rate = Annotated[float, msgspec.Meta(gt=0)]


class LengthClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests; prompt lengths are log-uniform.

    Attributes:
        weight: Share of the requests, relative to the other classes.
        low_tokens: Size of the shortest prompt.
        high_tokens: Size of the longest prompt.
        output_tokens: Tokens generated.
        timeout_s: Time limit of the request, in engine time.
    """

    weight: Rate
    low_tokens: Positive
    high_tokens: Positive
    output_tokens: Positive = 64
    timeout_s: Rate = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that is due at a fixed time.

    Attributes:
        name: Unique name in the run.
        at_s: Seconds after the start of the load.
        organisation: Organisation that calls.
        prompt_tokens: Size of the prompt.
        output_tokens: Tokens generated.
        timeout_s: Time limit of the request.
    """

    name: str
    at_s: float
    organisation: str
    prompt_tokens: int
    output_tokens: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A stochastic stream of requests.

    Attributes:
        classes: Prompt length classes.
        demand: Share of the requests by organisation.
        rate_per_s: Mean number of requests per second.
        duration_s: Time during which requests arrive.
        time_scale: Divides the timeouts of the classes.
    """

    classes: tuple[LengthClass, ...]
    demand: dict[str, float]
    rate_per_s: float
    duration_s: float
    time_scale: float = 1.0


def make_arrivals(load: Workload, seed: int) -> list[Arrival]:
    """Returns Poisson arrivals; the same seed gives the same arrivals."""
    rng = random.Random(seed)
    organisations = list(load.demand)
    shares = list(load.demand.values())
    weights = [length_class.weight for length_class in load.classes]
    arrivals: list[Arrival] = []
    at_s = rng.expovariate(load.rate_per_s)
    while at_s < load.duration_s:
        length = rng.choices(load.classes, weights)[0]
        arrivals.append(
            Arrival(
                name=f"s{seed}-{len(arrivals)}",
                at_s=at_s,
                organisation=rng.choices(organisations, shares)[0],
                prompt_tokens=_sample_tokens(length, rng),
                output_tokens=length.output_tokens,
                timeout_s=length.timeout_s / load.time_scale,
            )
        )
        at_s += rng.expovariate(load.rate_per_s)
    return arrivals


def compute_mean_tokens(classes: tuple[LengthClass, ...]) -> float:
    """Returns the exact mean prompt size of a mix of length classes."""
    total = sum(length_class.weight for length_class in classes)
    return sum(_compute_mean(c) * c.weight / total for c in classes)


def make_prompt(arrival: Arrival) -> str:
    """Returns a unique prompt of the arrival's size."""
    size = arrival.prompt_tokens * completions.BYTES_PER_TOKEN
    name = f"{arrival.name} "
    return name + _TEXT[: size - len(name)]


def make_call(arrival: Arrival, model: str, secret: str) -> caller.Call:
    """Returns the streamed completion call of an arrival."""
    return caller.Call(
        name=arrival.name,
        organisation=arrival.organisation,
        secret=secret,
        timeout_s=arrival.timeout_s,
        body={
            "model": model,
            "prompt": make_prompt(arrival),
            "max_tokens": arrival.output_tokens,
            "stream": True,
        },
    )


def find_decade(tokens: int) -> int:
    """Returns the lower bound of the decade of a prompt size."""
    return max((d for d in DECADES if d <= tokens), default=DECADES[0])


def _sample_tokens(length: LengthClass, rng: random.Random) -> int:
    low, high = math.log(length.low_tokens), math.log(length.high_tokens)
    return round(math.exp(rng.uniform(low, high)))


def _compute_mean(length: LengthClass) -> float:
    low, high = length.low_tokens, length.high_tokens
    if low == high:
        return low
    return (high - low) / math.log(high / low)
