"""Callers that retry forever, at several times the capacity.

`python packages/dispatch/tests/dispatch_overload.py` prints the figures.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import random

import dispatch_fakes as fakes
import dispatch_simulation as simulation

WARM_UP_S = 20.0
TOKENS = 10_000
OUTPUT = 100


@dataclasses.dataclass
class Figures:
    tokens_per_s: float
    shares: dict[str, float]
    attempts: int
    late: int


def run(load, weights, *, engines=2, duration_s=120.0, seed=1, demand=None):
    """Offers the same mean load for each organisation, or by `demand`."""
    model = simulation.MODEL
    capacity = engines * model.prefill_tokens_per_s / TOKENS
    demand = demand or {o: 1 / len(weights) for o in weights}
    done = collections.Counter()
    late = 0
    attempts = 0

    async def main():
        view = fakes.make_view(endpoints=engines, model=model, weights=weights)
        bed = fakes.Bed(view)
        for endpoint in view.document.endpoints:
            bed.engines[endpoint.address] = simulation.FluidEngine(model)
        end_s = fakes.now_s() + duration_s
        start_s = fakes.now_s() + WARM_UP_S
        chance = random.Random(seed)

        async def call(organisation):
            nonlocal late, attempts
            while fakes.now_s() < end_s:
                prompt = chance.randint(2_000, 2 * TOKENS - 2_000)
                arrival = simulation.Arrival(0.0, prompt, OUTPUT, organisation)
                result = simulation.Result(arrival)
                attempts += 1
                await simulation.serve_once(bed, result)
                if result.end_s is not None:
                    if not start_s < fakes.now_s() < end_s:
                        return
                    if result.is_in_time:
                        done[organisation] += prompt + OUTPUT
                    else:
                        late += 1
                    return
                await asyncio.sleep(chance.uniform(0.2, 1.0))

        async def offer(organisation):
            rate = capacity * load * demand[organisation]
            async with asyncio.TaskGroup() as group:
                while fakes.now_s() < end_s:
                    await asyncio.sleep(chance.expovariate(rate))
                    group.create_task(call(organisation))

        async with bed:
            await asyncio.gather(*(offer(o) for o in weights))

    fakes.run(main())
    total = sum(done.values())
    return Figures(
        tokens_per_s=round(total / (duration_s - WARM_UP_S)),
        shares={o: round(done[o] / total, 3) for o in weights},
        attempts=attempts,
        late=late,
    )


def main():
    weights = {"o1": 3, "o2": 2, "o3": 1}
    demand = {"o1": 0.3, "o2": 0.3, "o3": 0.4}
    for load in (0.9, 1.0, 2.0, 3.0):
        for wanted in (None, demand):
            figures = run(load, weights, demand=wanted)
            print(json.dumps({"load": load, **dataclasses.asdict(figures)}))


if __name__ == "__main__":
    main()
