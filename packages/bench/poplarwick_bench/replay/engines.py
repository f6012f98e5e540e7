"""Engines that work in passes, on a virtual clock, behind a desk.

Implements the engines' published times: steps, strides, chunks, pairs, parts
that are read ahead of an engine's own reads, one event for each writer and
pass. An engine reads the newest part first.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import engine_model
from poplarwick_placement import messages
from poplarwick_placement import retry_budget
from poplarwick_placement import scheduler

PROFILE = types.EngineProfile(
    slots=8,
    memory_tokens=405_000,
    step_s=1.31e-3,
    step_per_sequence_s=1.8e-6,
    step_per_context_token_s=2.13e-9,
    prefill_tokens_per_s=154_000,
    prefill_pair_s=0.162e-9,
    chunk_tokens=2_048,
    stride=34,
    hop_s=1e-4,
    report_lag_s=0.2,
)
"""The engines of the users' sheets."""

POOL = ids.ServiceId("pool")

WAY_S = 0.003
"""Time of a way between an instance and an endpoint."""

TICK_S = 0.02
"""Period at which waiting requests are tried again."""


@dataclasses.dataclass
class Job:
    """One request on its way through an engine."""

    key: int
    wanted: messages.PlacementRequest
    arrived_s: float
    parts_left: int = 1
    lead: ids.EndpointId | None = None
    first_s: float | None = None
    last_event_s: float = 0.0
    worst_pause_s: float = 0.0
    events_left: int = 0
    ended_s: float | None = None
    refused: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether the caller saw it on time."""
        return (
            self.ended_s is not None
            and self.first_s is not None
            and self.first_s <= self.wanted.on_time_at_s
            and self.worst_pause_s <= self.wanted.pause_limit_s
            and self.ended_s <= self.wanted.deadline_at_s
        )

    @property
    def is_served(self) -> bool:
        """Whether the caller had all of it before it gave up."""
        return (
            self.ended_s is not None
            and self.ended_s <= self.wanted.deadline_at_s
        )


@dataclasses.dataclass
class Read:
    """A part of a prompt that an engine reads."""

    job: Job
    left_s: float
    chunk_s: float


class Engine:
    """One engine's reads and writers."""

    def __init__(self, endpoint: types.Endpoint) -> None:
        self.endpoint = endpoint
        self.parts: list[Read] = []
        self.reads: list[Read] = []
        self.writers: list[Job] = []
        self.is_busy = False

    def run_pass(self) -> tuple[float, list[Job]]:
        """Returns the time of the next pass and the jobs read in it."""
        steps = PROFILE.stride if self.writers else 1
        context = sum(j.wanted.prompt_tokens for j in self.writers)
        time_s = 0.0
        if self.writers:
            time_s = engine_model.calculate_pass_s(
                PROFILE, len(self.writers), context
            )
        done = []
        for _ in range(steps):
            queue = self.parts or self.reads
            if not queue:
                break
            read = queue[0]
            piece_s = min(read.left_s, read.chunk_s)
            read.left_s -= piece_s
            time_s += piece_s
            if read.left_s <= 1e-9:
                queue.pop(0)
                done.append(read.job)
        return time_s, done


class Simulation:
    """Callers, a desk and engines on one virtual clock.

    Args:
        placer: The desk under test.
        engines: Number of engines.
    """

    def __init__(self, placer: scheduler.Scheduler, engines: int = 16) -> None:
        self.now_s = 0.0
        self.jobs: dict[int, Job] = {}
        self._desk = placer
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.engines = {
            e.id: Engine(e) for e in (make_endpoint(n) for n in range(engines))
        }
        placer.set_candidates(
            scheduler.Candidate(engine.endpoint, PROFILE, True, 0.0, 36.0)
            for engine in self.engines.values()
        )

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Calls an action at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def arrive(self, time_s: float, wanted: messages.PlacementRequest) -> Job:
        """Lets a request arrive."""
        job = Job(len(self.jobs), wanted, time_s)
        job.events_left = max(wanted.output_tokens // PROFILE.stride, 1)
        self.jobs[job.key] = job

        def ask() -> None:
            self._desk.submit(job.key, wanted, self.now_s)
            self._decide()

        self.at(time_s, ask)
        return job

    def run(self, until_s: float) -> None:
        """Runs until a time."""
        self.at(0.0, self._tick)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _tick(self) -> None:
        self._decide()
        self.at(self.now_s + TICK_S, self._tick)

    def _decide(self) -> None:
        for key, decision in self._desk.decide(self.now_s):
            assert isinstance(key, int), "jobs are numbered"
            job = self.jobs[key]
            match decision:
                case messages.Placement():
                    self._start(job, decision)
                case messages.Refusal():
                    job.refused = True

    def _start(self, job: Job, placement: messages.Placement) -> None:
        group = [placement.endpoint, *(h.endpoint for h in placement.helpers)]
        whole_s = engine_model.calculate_read_s(
            PROFILE, job.wanted.prompt_tokens
        )
        part_s = whole_s / len(group)
        chunks = max(job.wanted.prompt_tokens / PROFILE.chunk_tokens, 1)
        job.parts_left = len(group)
        for place in group:
            engine = self.engines[place]
            is_lead = place == placement.endpoint
            queue = engine.reads if is_lead else engine.parts

            def add(
                engine: Engine = engine,
                queue: list[Read] = queue,
                is_lead: bool = is_lead,
            ) -> None:
                # The newest part goes ahead of all other reads.
                first = len(queue) if is_lead else 0
                queue.insert(first, Read(job, part_s, whole_s / chunks))
                self._kick(engine)

            self.at(self.now_s + WAY_S, add)
        job.lead = placement.endpoint

    def _kick(self, engine: Engine) -> None:
        if engine.is_busy:
            return
        if not (engine.parts or engine.reads or engine.writers):
            return
        engine.is_busy = True
        writers = list(engine.writers)
        time_s, done = engine.run_pass()

        def finish() -> None:
            engine.is_busy = False
            for job in writers:
                self._write(engine, job)
            for job in done:
                job.parts_left -= 1
                if job.parts_left == 0:
                    assert job.lead is not None, "a placed job has a lead"
                    lead = self.engines[job.lead]
                    lead.writers.append(job)
                    # Steps that follow the last chunk in the same pass write.
                    if lead is engine and writers:
                        self._write(engine, job)
                    self._kick(lead)
            self._kick(engine)

        self.at(self.now_s + time_s, finish)

    def _write(self, engine: Engine, job: Job) -> None:
        if job.first_s is None:
            job.first_s = self.now_s
            self.at(
                self.now_s + WAY_S,
                lambda: self._desk.record_first_event(job.key, self.now_s),
            )
        else:
            job.worst_pause_s = max(
                job.worst_pause_s, self.now_s - job.last_event_s
            )
        job.last_event_s = self.now_s
        job.events_left -= 1
        if job.events_left <= 0:
            job.ended_s = self.now_s
            engine.writers.remove(job)

            def end() -> None:
                self._desk.record_end(job.key, messages.Result.DONE, self.now_s)
                self._decide()

            self.at(self.now_s + WAY_S, end)


def make_endpoint(number: int) -> types.Endpoint:
    """Returns an engine's entry."""
    return types.Endpoint(
        id=ids.EndpointId(f"e{number}"),
        service=POOL,
        address=f"10.0.0.{number}:80",
        domain=ids.DomainId("abc"[number % 3]),
        state=types.EndpointState.READY,
        slots=8,
        cold_left_s=0.0,
        started_at_ms=1,
    )


def make_scheduler(
    *, is_global: bool = True, seed: int = 1
) -> scheduler.Scheduler:
    """Returns a desk that may repeat as often as a small fleet may."""
    return scheduler.Scheduler(
        is_global=is_global,
        rng=random.Random(seed),
        make_budget=lambda: retry_budget.RetryBudget(
            lambda: retry_budget.RetryAllowance(0.2, 100, 10.0)
        ),
    )
