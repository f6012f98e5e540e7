"""Latency and CPU cost of the request path through one instance."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from poplarwick_bench import caller
from poplarwick_bench import fleet
from poplarwick_bench import metrics
from poplarwick_bench import system
from poplarwick_bench import trial

PROMPT = "the quick brown fox " * 200
WARM_UP_CALLS = 20
CONCURRENT_STREAMS = 16
FEW_TOKENS = 8
MANY_TOKENS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """CPU cost of one batch of calls.

    Attributes:
        cpu_s: CPU time of all instances.
        events: Stream chunks that callers received.
        elapsed_s: Duration of the batch.
    """

    cpu_s: float
    events: int
    elapsed_s: float


async def run(trial_: trial.Trial) -> metrics.Metrics:
    """Compares calls to an engine with calls through an instance."""
    plan = system.make_plan(trial_.spec)
    async with system.open_system(plan, trial_.policy) as target:
        engine = target.fleet.engines[0].address
        direct = caller.Caller(target.testbed.session, engine)
        relayed = caller.Caller(target.testbed.session, target.addresses[0])
        await _measure_first_tokens(relayed, WARM_UP_CALLS)
        memory = target.frontends[0].read_memory_bytes()
        direct_s, relayed_s = await _interleave(
            trial_, direct, relayed, trial_.spec.calls
        )
        trial_.report_progress("CPU time")
        few = await _measure_cost(trial_, target, FEW_TOKENS)
        many = await _measure_cost(trial_, target, MANY_TOKENS)
    return {
        **_describe(direct_s, relayed_s),
        **_compute_slopes(few, many, trial_.spec.calls),
        "instance_memory_bytes": memory,
    }


async def _interleave(
    trial_: trial.Trial,
    direct: caller.Caller,
    relayed: caller.Caller,
    calls: int,
) -> tuple[list[float], list[float]]:
    trial_.report_progress("time to first token")
    direct_s: list[float] = []
    relayed_s: list[float] = []
    for _ in range(calls):
        direct_s += await _measure_first_tokens(direct, 1)
        relayed_s += await _measure_first_tokens(relayed, 1)
    return direct_s, relayed_s


async def _measure_first_tokens(
    sender: caller.Caller, calls: int
) -> list[float]:
    times_s = []
    for _ in range(calls):
        record = await sender.send(_make_call(FEW_TOKENS))
        if record.first_token_s is None or not record.is_complete:
            raise fleet.FleetError(
                f"incomplete response: status {record.status}, {record.code}"
            )
        times_s.append(record.first_token_s)
    return times_s


async def _measure_cost(
    trial_: trial.Trial, target: system.System, tokens: int
) -> Cost:
    sender = caller.Caller(target.testbed.session, target.addresses[0])
    cpu_before_s = sum(frontend.read_cpu_s() for frontend in target.frontends)
    started_s = time.monotonic()
    events = 0
    remaining = trial_.spec.calls

    async def send_calls() -> None:
        nonlocal remaining, events
        while remaining > 0:
            remaining -= 1
            record = await sender.send(_make_call(tokens))
            events += 1 + len(record.gaps_s)

    async with asyncio.TaskGroup() as group:
        for _ in range(CONCURRENT_STREAMS):
            group.create_task(send_calls())
    cpu_after_s = sum(frontend.read_cpu_s() for frontend in target.frontends)
    return Cost(
        cpu_after_s - cpu_before_s, events, time.monotonic() - started_s
    )


def _describe(direct_s: list[float], relayed_s: list[float]) -> metrics.Metrics:
    results: metrics.Metrics = {}
    for percentile in (50, 95):
        direct_percentile_s = metrics.compute_percentile_s(direct_s, percentile)
        relayed_percentile_s = metrics.compute_percentile_s(
            relayed_s, percentile
        )
        results[f"straight_first_token_p{percentile}_s"] = direct_percentile_s
        results[f"through_first_token_p{percentile}_s"] = relayed_percentile_s
        results[f"difference_p{percentile}_s"] = (
            relayed_percentile_s - direct_percentile_s
        )
        results[f"ratio_p{percentile}"] = (
            relayed_percentile_s / direct_percentile_s
        )
    return results


def _compute_slopes(few: Cost, many: Cost, calls: int) -> metrics.Metrics:
    """Fits the CPU cost per request and per chunk to two batches."""
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
