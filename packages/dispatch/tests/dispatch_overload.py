"""Simulates callers that retry forever, at several times the capacity.

`python packages/dispatch/tests/dispatch_overload.py` prints the results.
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
class Results:
    tokens_per_s: float
    shares: dict[str, float]
    attempts: int
    late: int


def run(load, weights, *, engines=2, duration_s=120.0, seed=1, demand=None):
    """Offers equal mean load per organisation, or the shares in `demand`."""
    model = simulation.MODEL
    capacity = engines * model.prefill_tokens_per_s / TOKENS
    demand = demand or {o: 1 / len(weights) for o in weights}
    done = collections.Counter()
    late = 0
    attempts = 0

    async def main():
        view = fakes.make_view(endpoints=engines, model=model, weights=weights)
        testbed = fakes.Testbed(view)
        for endpoint in view.document.endpoints:
            testbed.engines[endpoint.address] = simulation.FluidEngine(model)
        end_s = fakes.now_s() + duration_s
        start_s = fakes.now_s() + WARM_UP_S
        rng = random.Random(seed)

        async def call(organisation):
            nonlocal late, attempts
            while fakes.now_s() < end_s:
                prompt = rng.randint(2_000, 2 * TOKENS - 2_000)
                arrival = simulation.Arrival(0.0, prompt, OUTPUT, organisation)
                result = simulation.Result(arrival)
                attempts += 1
                await simulation.serve_once(testbed, result)
                if result.end_s is not None:
                    if not start_s < fakes.now_s() < end_s:
                        return
                    if result.is_in_time:
                        done[organisation] += prompt + OUTPUT
                    else:
                        late += 1
                    return
                await asyncio.sleep(rng.uniform(0.2, 1.0))

        async def offer(organisation):
            rate = capacity * load * demand[organisation]
            async with asyncio.TaskGroup() as group:
                while fakes.now_s() < end_s:
                    await asyncio.sleep(rng.expovariate(rate))
                    group.create_task(call(organisation))

        async with testbed:
            await asyncio.gather(*(offer(o) for o in weights))

    fakes.run(main())
    total = sum(done.values())
    return Results(
        tokens_per_s=round(total / (duration_s - WARM_UP_S)),
        shares={o: round(done[o] / total, 3) for o in weights},
        attempts=attempts,
        late=late,
    )


def main():
    weights = {"o1": 3, "o2": 2, "o3": 1}
    demand = {"o1": 0.3, "o2": 0.3, "o3": 0.4}
    for load in (0.9, 1.0, 2.0, 3.0):
        for demand_shares in (None, demand):
            results = run(load, weights, demand=demand_shares)
            print(json.dumps({"load": load, **dataclasses.asdict(results)}))


if __name__ == "__main__":
    main()
