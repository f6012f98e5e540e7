"""Time series of a run, recorded for the plots of the report."""

from __future__ import annotations

import msgspec

from poplarwick_bench import caller
from poplarwick_bench import history


class Point(msgspec.Struct, frozen=True):
    """One attempt of a call.

    Attributes:
        organisation: Organisation that called.
        prompt_tokens: Size of the prompt.
        due_s: Seconds from the start of the load to when the call was due.
        first_token_s: Seconds from due to the first token.
        ended_s: Seconds from due to the end.
        tokens: Tokens received.
        is_whole: Whether the response was complete.
    """

    organisation: str
    prompt_tokens: int
    due_s: float
    first_token_s: float | None
    ended_s: float
    tokens: int
    is_whole: bool


class Load(msgspec.Struct, frozen=True):
    """KV cache memory in use at an engine from a point in time on.

    Attributes:
        endpoint: Engine.
        at_s: Seconds from the start of the load.
        memory_tokens: Memory in use.
    """

    endpoint: str
    at_s: float
    memory_tokens: int


class Trace(msgspec.Struct, frozen=True):
    """One load of a run.

    Attributes:
        scenario: Name of the scenario.
        policy: System under test.
        seed: Seed.
        label: Name of the load within the run.
        points: Attempts.
        loads: Memory in use at the engines over time.
        capacity_tokens: KV cache memory of one engine.
    """

    scenario: str
    policy: str
    seed: int
    label: str
    points: list[Point]
    loads: list[Load]
    capacity_tokens: int


def make_points(
    records: list[caller.AttemptRecord], started_s: float
) -> list[Point]:
    """Returns the points of a load, given its monotonic start time."""
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
    """Returns the memory in use at the engines since a wall time."""
    return [
        Load(
            entry.endpoint, entry.at_s - started_at_s, entry.memory_used_tokens
        )
        for entry in executions
        if entry.memory_used_tokens is not None and entry.at_s >= started_at_s
    ]
