"""Simulates engines and seeded arrivals to compare dispatch policies.

`python packages/dispatch/tests/dispatch_simulation.py` prints the results.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import itertools
import json
import math
import random

import dispatch_fakes as fakes

from poplarwick_peers.wire import grant_pb2

TICK_S = 0.01
SHORT_TOKENS = 10_000
LONG_TOKENS = 100_000
RETRY_S = 0.05
MODEL = fakes.make_model(memory_tokens=1_200_000)


@dataclasses.dataclass(eq=False)
class Stream:
    prompt: int
    output: int
    priority: int
    first: asyncio.Future
    end: asyncio.Future
    prefilled: float = 0.0
    decoded: float = 0.0

    @property
    def memory(self):
        return self.prompt + self.output


class FluidEngine(fakes.FakeEngine):
    """A fluid model of an engine.

    It prefills by priority, then arrival, and decodes all other streams of the
    batch in parallel.
    """

    def __init__(self, model=MODEL):
        super().__init__()
        self.model = model
        self.running = []
        self.sent = {}
        self._task = None

    def submit(self, prompt, output, priority):
        loop = asyncio.get_running_loop()
        stream = Stream(
            prompt, output, priority, loop.create_future(), loop.create_future()
        )
        used = sum(s.memory for s in self.running)
        if used + stream.memory > self.model.memory_tokens:
            return None
        self.running.append(stream)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return stream

    async def _run(self):
        while self.running:
            await asyncio.sleep(TICK_S)
            self._advance()

    def _advance(self):
        batch = sorted(
            self.running, key=lambda s: (not s.first.done(), -s.priority)
        )[: self.model.max_batch]
        prefills = [s for s in batch if not s.first.done()]
        decodes = [s for s in batch if s.first.done()]
        budget = self.model.prefill_tokens_per_s * TICK_S
        for stream in prefills:
            step = min(budget, stream.prompt - stream.prefilled)
            stream.prefilled += step
            budget -= step
            if stream.prefilled >= stream.prompt:
                stream.first.set_result(None)
        share = 0.7 if prefills else 1.0
        rate = self.model.decode_tokens_per_s * share
        rate /= 1 + 0.01 * max(len(decodes) - 1, 0)
        for stream in decodes:
            stream.decoded += rate * TICK_S
            if stream.decoded >= stream.output:
                stream.end.set_result(None)
                self.running.remove(stream)


@dataclasses.dataclass(frozen=True)
class Arrival:
    at_s: float
    prompt: int
    output: int
    organisation: str = "o1"

    @property
    def timeout_s(self):
        return 30.0 + self.prompt / 20_000 * 6


def make_arrivals(seed, engines, load, duration_s):
    rng = random.Random(seed)
    at_s = 0.0
    arrivals = []
    mean_prefill_s = (0.98 * 21_500 + 0.02 * 391_000) / 20_000
    rate = engines * load / mean_prefill_s
    while at_s < duration_s:
        at_s += rng.expovariate(rate)
        low, high = (1e5, 1e6) if rng.random() < 0.02 else (1e3, 1e5)
        prompt = int(math.exp(rng.uniform(math.log(low), math.log(high))))
        output = rng.randint(20, 300)
        arrivals.append(Arrival(at_s, prompt, output))
    return arrivals


@dataclasses.dataclass
class Result:
    arrival: Arrival
    first_s: float | None = None
    end_s: float | None = None
    reason: int = 0

    @property
    def is_in_time(self):
        return self.end_s is not None and self.end_s <= self.arrival.timeout_s


async def _send(
    engine, arrival, priority, result, start_s, on_first=None, name=None
):
    while True:
        stream = engine.submit(arrival.prompt, arrival.output, priority)
        if stream is not None:
            break
        await asyncio.sleep(RETRY_S)
    if name is not None:
        engine.start(name, stream.memory)
    await stream.first
    result.first_s = fakes.now_s() - start_s
    if on_first is not None:
        await on_first(result.first_s)
    await stream.end
    engine.streams.pop(name, None)
    result.end_s = fakes.now_s() - start_s


def _run_all(arrivals, serve):
    async def main():
        start_s = fakes.now_s()
        results = [Result(a) for a in arrivals]

        async def serve_at_arrival(result):
            delay_s = start_s + result.arrival.at_s - fakes.now_s()
            await asyncio.sleep(delay_s)
            await serve(result)

        await asyncio.gather(*(serve_at_arrival(r) for r in results))
        return results

    return main


def run_round_robin(arrivals, engines):
    async def main():
        engine_pool = itertools.cycle([FluidEngine() for _ in range(engines)])

        async def serve(result):
            now = fakes.now_s()
            await _send(next(engine_pool), result.arrival, 0, result, now)

        return await _run_all(arrivals, serve)()

    return fakes.run(main())


def run_least_outstanding(arrivals, engines):
    async def main():
        engine_pool = [FluidEngine() for _ in range(engines)]

        async def serve(result):
            engine = min(engine_pool, key=lambda e: len(e.running))
            await _send(engine, result.arrival, 0, result, fakes.now_s())

        return await _run_all(arrivals, serve)()

    return fakes.run(main())


def run_dispatcher(arrivals, engines, model=MODEL, weights=None):
    async def main():
        view = fakes.make_view(endpoints=engines, model=model, weights=weights)
        testbed = fakes.Testbed(view)
        for endpoint in view.document.endpoints:
            testbed.engines[endpoint.address] = FluidEngine(model)
        async with testbed:

            async def serve(result):
                await serve_once(testbed, result)

            return await _run_all(arrivals, serve)()

    return fakes.run(main())


async def serve_once(testbed, result):
    arrival = result.arrival
    start_s = fakes.now_s()
    request = fakes.make_request(
        arrival.prompt,
        arrival.output,
        timeout_s=arrival.timeout_s,
        organisation=arrival.organisation,
    )
    reply = await testbed.dispatcher.acquire(request)
    if not reply.HasField("grant"):
        result.reason = reply.refusal.reason
        return
    grant = reply.grant
    engine = testbed.find_engine(grant.endpoint)
    sent_s = fakes.now_s()

    async def on_first(_):
        await testbed.report(
            grant,
            grant_pb2.REPORT_FIRST_TOKEN,
            first_token_s=fakes.now_s() - sent_s,
        )

    await _send(
        engine,
        arrival,
        grant.priority,
        result,
        start_s,
        on_first,
        grant.stream_id,
    )
    await testbed.report(grant, grant_pb2.REPORT_COMPLETE, arrival.output)


POLICIES = {
    "round-robin": run_round_robin,
    "least-outstanding": run_least_outstanding,
    "dispatcher": run_dispatcher,
}


def find_percentile(values, share):
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]


def measure_short_p95_s(results):
    times = [
        r.first_s if r.first_s is not None else math.inf
        for r in results
        if r.arrival.prompt < SHORT_TOKENS
    ]
    return find_percentile(times, 0.95)


def summarise(policy, arrivals, engines):
    run = POLICIES[policy]
    mixed = run(arrivals, engines)
    alone = run([a for a in arrivals if a.prompt < LONG_TOKENS], engines)
    long = [r for r in mixed if r.arrival.prompt >= LONG_TOKENS]
    medium = [
        r.first_s or math.inf
        for r in mixed
        if SHORT_TOKENS <= r.arrival.prompt < LONG_TOKENS
    ]
    return {
        "short_p95_s": round(measure_short_p95_s(mixed), 3),
        "short_p95_without_long_s": round(measure_short_p95_s(alone), 3),
        "slowdown": round(
            measure_short_p95_s(mixed) / measure_short_p95_s(alone), 3
        ),
        "middle_p95_s": round(find_percentile(medium, 0.95), 3),
        "long": len(long),
        "long_in_time": sum(r.is_in_time for r in long),
        "in_time": sum(r.is_in_time for r in mixed),
        "requests": len(mixed),
        "tokens_in_time": sum(
            r.arrival.prompt + r.arrival.output for r in mixed if r.is_in_time
        ),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--duration-s", type=float, default=300.0)
    options = parser.parse_args()
    arrivals = make_arrivals(
        options.seed, options.engines, options.load, options.duration_s
    )
    for policy in POLICIES:
        results = summarise(policy, arrivals, options.engines)
        print(json.dumps({"policy": policy, **results}))


if __name__ == "__main__":
    main()
