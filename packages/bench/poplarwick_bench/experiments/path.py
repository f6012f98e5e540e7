"""What the way through one instance costs: time and processor time."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import figures
from poplarwick_bench import fleet
from poplarwick_bench import system
from poplarwick_bench import trial

PROMPT = "the quick brown fox " * 200
WARM_UP_CALLS = 20
CONCURRENT_STREAMS = 16
FEW_TOKENS = 8
MANY_TOKENS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of one batch of calls.

    Attributes:
        cpu_s: Processor time of all instances.
        events: Pieces that callers received.
        elapsed_s: Time that the batch took.
    """

    cpu_s: float
    events: int
    elapsed_s: float


async def run(own: trial.Trial) -> figures.Figures:
    """Compares straight and relayed calls in one run."""
    plan = system.make_plan(own.spec)
    async with system.open_system(plan, own.policy) as target:
        engine = target.fleet.engines[0].address
        straight = caller.Caller(target.testbed.session, engine)
        through = caller.Caller(target.testbed.session, target.addresses[0])
        await _measure_first_tokens(through, WARM_UP_CALLS)
        memory = target.entries[0].read_memory_bytes()
        straight_s, through_s = await _interleave(
            own, straight, through, own.spec.calls
        )
        own.report("processor time")
        few = await _measure_cost(own, target, FEW_TOKENS)
        many = await _measure_cost(own, target, MANY_TOKENS)
    return {
        **_describe(straight_s, through_s),
        **_compute_slopes(few, many, own.spec.calls),
        "instance_memory_bytes": memory,
    }


async def _interleave(
    own: trial.Trial,
    straight: caller.Caller,
    through: caller.Caller,
    calls: int,
) -> tuple[list[float], list[float]]:
    own.report("time to first token")
    straight_s: list[float] = []
    through_s: list[float] = []
    for _ in range(calls):
        straight_s += await _measure_first_tokens(straight, 1)
        through_s += await _measure_first_tokens(through, 1)
    return straight_s, through_s


async def _measure_first_tokens(
    sender: caller.Caller, calls: int
) -> list[float]:
    found = []
    for _ in range(calls):
        record = await sender.send(_make_call(FEW_TOKENS))
        if record.first_token_s is None or not record.is_complete:
            raise fleet.FleetError(f"no answer: {record.status} {record.code}")
        found.append(record.first_token_s)
    return found


async def _measure_cost(
    own: trial.Trial, target: system.System, tokens: int
) -> Cost:
    sender = caller.Caller(target.testbed.session, target.addresses[0])
    before_s = sum(entry.read_cpu_s() for entry in target.entries)
    began_s = time.monotonic()
    events = 0
    left = own.spec.calls

    async def work() -> None:
        nonlocal left, events
        while left > 0:
            left -= 1
            record = await sender.send(_make_call(tokens))
            events += 1 + len(record.gaps_s)

    async with asyncio.TaskGroup() as group:
        for _ in range(CONCURRENT_STREAMS):
            group.create_task(work())
    after_s = sum(entry.read_cpu_s() for entry in target.entries)
    return Cost(after_s - before_s, events, time.monotonic() - began_s)


def _describe(
    straight_s: list[float], through_s: list[float]
) -> figures.Figures:
    found: figures.Figures = {}
    for percentile in (50, 95):
        one = figures.compute_percentile_s(straight_s, percentile)
        two = figures.compute_percentile_s(through_s, percentile)
        found[f"straight_first_token_p{percentile}_s"] = one
        found[f"through_first_token_p{percentile}_s"] = two
        found[f"difference_p{percentile}_s"] = two - one
        found[f"ratio_p{percentile}"] = two / one
    return found


def _compute_slopes(few: Cost, many: Cost, calls: int) -> figures.Figures:
    """Returns cost per request and per chunk: the line through both."""
    chunks = max(many.events - few.events, 1)
    per_chunk_s = (many.cpu_s - few.cpu_s) / chunks
    per_call_s = (few.cpu_s - per_chunk_s * few.events) / calls
    return {
        "cpu_per_chunk_us": per_chunk_s * 1e6,
        "cpu_per_request_us": per_call_s * 1e6,
        "chunks_per_s": many.events / many.elapsed_s,
        "tokens_per_chunk": calls * MANY_TOKENS / max(many.events, 1),
    }


def _make_call(tokens: int) -> caller.Call:
    organisation = "labels"
    return caller.Call(
        name="path",
        organisation=organisation,
        secret=fleet.make_secret(organisation),
        body={
            "model": fleet.MODEL,
            "prompt": PROMPT,
            "max_tokens": tokens,
            "stream": True,
        },
    )
