"""Points over time that a run keeps for the plots of the report."""

from __future__ import annotations

import msgspec

from poplarwick_bench import caller
from poplarwick_bench import history


class Point(msgspec.Struct, frozen=True):
    """One attempt of a call.

    Attributes:
        organisation: Organisation that called.
        prompt_tokens: Size of the prompt.
        due_s: Seconds from the start of the load to when it was due.
        first_token_s: Seconds from due to the first token.
        ended_s: Seconds from due to the end.
        tokens: Tokens received.
        is_whole: Whether the answer was whole.
    """

    organisation: str
    prompt_tokens: int
    due_s: float
    first_token_s: float | None
    ended_s: float
    tokens: int
    is_whole: bool


class Load(msgspec.Struct, frozen=True):
    """KV cache memory that an engine held from some time on.

    Attributes:
        endpoint: Engine.
        at_s: Seconds from the start of the load.
        memory_tokens: Memory held.
    """

    endpoint: str
    at_s: float
    memory_tokens: int


class Trace(msgspec.Struct, frozen=True):
    """One load of a run.

    Attributes:
        scenario: Name of the scenario.
        policy: What stood between callers and engines.
        seed: Seed.
        label: Which load of the run this is.
        points: Attempts.
        loads: Memory held by engines over time.
        capacity_tokens: KV cache memory of one engine.
    """

    scenario: str
    policy: str
    seed: int
    label: str
    points: list[Point]
    loads: list[Load]
    capacity_tokens: int


def make_points(records: list[caller.Record], started_s: float) -> list[Point]:
    """Returns the points of a load that began at a monotonic time."""
    return [
        Point(
            organisation=record.organisation,
            prompt_tokens=record.prompt_tokens,
            due_s=record.due_s - started_s,
            first_token_s=record.first_token_s,
            ended_s=record.ended_s,
            tokens=record.tokens,
            is_whole=record.is_complete,
        )
        for record in records
    ]


def make_loads(
    executions: list[history.Execution], started_at_s: float
) -> list[Load]:
    """Returns the memory of engines since a wall time."""
    return [
        Load(
            entry.endpoint, entry.at_s - started_at_s, entry.memory_used_tokens
        )
        for entry in executions
        if entry.memory_used_tokens is not None and entry.at_s >= started_at_s
    ]
