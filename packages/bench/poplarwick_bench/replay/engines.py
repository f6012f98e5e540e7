"""Simulated engines on a virtual clock, driven by a scheduler.

Implements the published timing of the engines: steps, strides, chunks,
attention pairs, helper parts that run before an engine's own prefills, and one
event per decoding request and iteration. An engine prefills the newest helper
part first.
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
from poplarwick_placement import load_management
from poplarwick_placement import messages
from poplarwick_placement import retry_budget
from poplarwick_placement import scheduler as scheduling
from poplarwick_placement import service_pool

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
"""Engine profile from the users' requirements."""

POOL = ids.ServiceId("pool")

HOP_S = 0.003
"""Latency of a hop between an instance and an endpoint."""

TICK_S = 0.02
"""Period at which queued requests are tried again."""


@dataclasses.dataclass
class Job:
    """One simulated request."""

    key: int
    request: messages.PlacementRequest
    arrived_s: float
    parts_left: int = 1
    primary: ids.EndpointId | None = None
    first_event_s: float | None = None
    last_event_s: float = 0.0
    max_pause_s: float = 0.0
    events: int = 0
    events_left: int = 0
    preemptions: int = 0
    reservations: tuple[messages.Helper, ...] = ()
    ended_s: float | None = None
    is_refused: bool = False

    @property
    def memory_tokens(self) -> int:
        """Memory of the prompt and the output so far on the primary."""
        reserved_tokens = sum(h.reserved_tokens for h in self.reservations)
        return (
            self.request.prompt_tokens
            + self.events * PROFILE.stride
            - reserved_tokens
        )

    @property
    def is_on_time(self) -> bool:
        """Whether the answer was on time for the caller."""
        return (
            self.ended_s is not None
            and self.first_event_s is not None
            and self.first_event_s <= self.request.on_time_at_s
            and self.max_pause_s <= self.request.pause_limit_s
            and self.ended_s <= self.request.deadline_at_s
        )

    @property
    def is_complete_in_time(self) -> bool:
        """Whether the answer was complete before the caller's deadline."""
        return (
            self.ended_s is not None
            and self.ended_s <= self.request.deadline_at_s
        )


@dataclasses.dataclass
class PrefillPart:
    """A part of a prompt that an engine prefills."""

    job: Job
    remaining_s: float
    chunk_s: float


class Engine:
    """Prefills and decoding requests of one engine.

    Args:
        endpoint: Entry of the engine.
        profile: Profile of the engine.
    """

    def __init__(
        self,
        endpoint: types.Endpoint,
        profile: types.EngineProfile = PROFILE,
    ) -> None:
        self.endpoint = endpoint
        self.profile = profile
        self.slowdown = 1.0
        self.preempted: list[Job] = []
        self.reserved_tokens = 0
        self.helper_parts: list[PrefillPart] = []
        self.primary_parts: list[PrefillPart] = []
        self.decoding: list[Job] = []
        self.is_busy = False

    def run_iteration(self) -> tuple[float, list[Job]]:
        """Returns the next iteration's time and the jobs prefilled in it."""
        step_count = self.profile.stride if self.decoding else 1
        context_tokens = sum(j.request.prompt_tokens for j in self.decoding)
        time_s = 0.0
        if self.decoding:
            time_s = engine_model.calculate_iteration_s(
                self.profile, len(self.decoding), context_tokens
            )
        finished = []
        for _ in range(step_count):
            queue = self.helper_parts or self.primary_parts
            if not queue:
                break
            part = queue[0]
            step_s = min(part.remaining_s, part.chunk_s)
            part.remaining_s -= step_s
            time_s += step_s
            if part.remaining_s <= 1e-9:
                queue.pop(0)
                finished.append(part.job)
        return self.slowdown * time_s, finished

    def preempt(self) -> None:
        """Stops the newest requests that exceed the memory.

        Each one is prefilled again, with its output so far, once it fits.
        """
        needed_tokens = [
            j.memory_tokens + self.profile.stride for j in self.decoding
        ]
        used_tokens = self.reserved_tokens + sum(needed_tokens)
        used_tokens += sum(p.job.memory_tokens for p in self.primary_parts)
        while (
            used_tokens > self.profile.memory_tokens and len(self.decoding) > 1
        ):
            used_tokens -= needed_tokens.pop()
            job = self.decoding.pop()
            job.preemptions += 1
            self.preempted.append(job)
        while self.preempted and (
            used_tokens + self.preempted[0].memory_tokens + self.profile.stride
            <= self.profile.memory_tokens
        ):
            job = self.preempted.pop(0)
            used_tokens += job.memory_tokens + self.profile.stride
            prefill_s = engine_model.calculate_prefill_s(
                self.profile, job.memory_tokens
            )
            chunks = max(job.memory_tokens / self.profile.chunk_tokens, 1)
            job.parts_left = 1
            self.primary_parts.append(
                PrefillPart(job, prefill_s, prefill_s / chunks)
            )


class Simulation:
    """Callers, a scheduler and engines on one virtual clock.

    Args:
        scheduler: The scheduler under test.
        engines: Number of engines.
        profile: Profile of the engines.
        memory_tokens: Memory of an engine that preempts its newest requests
            when they outgrow it; None for the memory of the profile without
            preemption. With it, the ends of answers are told to the scheduler.

    Attributes:
        streams_answers: Whether the scheduler is told of first events when they
            are made; otherwise it is told with the whole answer.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        engines: int = 16,
        profile: types.EngineProfile = PROFILE,
        memory_tokens: int | None = None,
    ) -> None:
        self.streams_answers = True
        self._has_preemption = memory_tokens is not None
        if memory_tokens is not None:
            profile = dataclasses.replace(profile, memory_tokens=memory_tokens)
        self.profile = profile
        self.now_s = 0.0
        self.jobs: dict[int, Job] = {}
        self._scheduler = scheduler
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.engines = {
            e.id: Engine(e, profile)
            for e in (make_endpoint(n) for n in range(engines))
        }
        self.offer_engines()

    def offer_engines(self) -> None:
        """Tells the scheduler which engines there are."""
        self._scheduler.set_candidates(
            service_pool.Candidate(
                engine.endpoint, self.profile, True, 0.0, 36.0
            )
            for engine in self.engines.values()
        )

    def lose_engines(self, count: int) -> None:
        """Ends engines, with the requests that run on them."""
        lost = set(list(self.engines)[:count])
        for endpoint in lost:
            del self.engines[endpoint]
        for job in self.jobs.values():
            if job.primary in lost and job.ended_s is None:
                self._scheduler.record_end(
                    job.key, messages.Result.BROKEN, self.now_s
                )
        self.offer_engines()

    def replace_scheduler(self, scheduler: scheduling.Scheduler) -> None:
        """Replaces the scheduler by one that is told what runs and waits."""
        self._scheduler = scheduler
        self.offer_engines()
        for job in self.jobs.values():
            if job.is_refused or job.ended_s is not None:
                continue
            if job.primary in self.engines:
                scheduler.adopt(
                    job.key,
                    job.request,
                    job.primary,
                    self.now_s,
                    has_begun=job.first_event_s is not None,
                )
            elif job.primary is None and job.arrived_s <= self.now_s:
                scheduler.submit(job.key, job.request, self.now_s)

    def call_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def add_request(
        self,
        time_s: float,
        request: messages.PlacementRequest,
        output_tokens: int | None = None,
    ) -> Job:
        """Schedules the arrival of a request.

        Args:
            time_s: Time of the arrival.
            request: The request, with the caller's hint of its output.
            output_tokens: Actual length of its output; None for the hint.
        """
        job = Job(len(self.jobs), request, time_s)
        if output_tokens is None:
            output_tokens = request.output_tokens
        job.events_left = max(output_tokens // self.profile.stride, 1)
        self.jobs[job.key] = job

        def submit() -> None:
            self._scheduler.submit(job.key, request, self.now_s)
            self._decide()

        self.call_at(time_s, submit)
        return job

    def run(self, until_s: float) -> None:
        """Runs the simulation until a time."""
        self.call_at(0.0, self._tick)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _tick(self) -> None:
        self._decide()
        self.call_at(self.now_s + TICK_S, self._tick)

    def _decide(self) -> None:
        for key, decision in self._scheduler.decide(self.now_s):
            assert isinstance(key, int), "jobs are numbered"
            job = self.jobs[key]
            match decision:
                case messages.Placement():
                    self._start_prefill(job, decision)
                case messages.Refusal():
                    self.refuse(job, decision)

    def refuse(self, job: Job, refusal: messages.Refusal) -> None:
        """Ends a job that was refused."""
        del refusal
        job.is_refused = True

    def _start_prefill(self, job: Job, placement: messages.Placement) -> None:
        group = [placement.endpoint, *(h.endpoint for h in placement.helpers)]
        full_prefill_s = engine_model.calculate_prefill_s(
            self.profile, job.request.prompt_tokens
        )
        part_s = full_prefill_s / len(group)
        chunk_count = max(
            job.request.prompt_tokens / self.profile.chunk_tokens, 1
        )
        job.parts_left = len(group)
        for endpoint in group:
            engine = self.engines[endpoint]
            is_primary = endpoint == placement.endpoint
            queue = engine.primary_parts if is_primary else engine.helper_parts

            def add_part(
                engine: Engine = engine,
                queue: list[PrefillPart] = queue,
                is_primary: bool = is_primary,
            ) -> None:
                # The newest helper part runs before all other prefills.
                first = len(queue) if is_primary else 0
                queue.insert(
                    first,
                    PrefillPart(job, part_s, full_prefill_s / chunk_count),
                )
                self._start_iteration(engine)

            self.call_at(self.now_s + HOP_S, add_part)
        job.primary = placement.endpoint
        job.reservations = placement.helpers
        for helper in placement.helpers:
            self.engines[
                helper.endpoint
            ].reserved_tokens += helper.reserved_tokens

    def _start_iteration(self, engine: Engine) -> None:
        if engine.is_busy:
            return
        if self._has_preemption:
            engine.preempt()
        if not (engine.helper_parts or engine.primary_parts or engine.decoding):
            return
        engine.is_busy = True
        decoding = list(engine.decoding)
        time_s, finished = engine.run_iteration()

        def finish() -> None:
            engine.is_busy = False
            if engine.endpoint.id not in self.engines:
                return
            for job in decoding:
                self._emit_event(engine, job)
            for job in finished:
                job.parts_left -= 1
                if job.parts_left == 0:
                    assert job.primary is not None, "a placed job has a primary"
                    primary = self.engines.get(job.primary)
                    if primary is None:
                        continue
                    primary.decoding.append(job)
                    # Steps after the last chunk of an iteration already decode.
                    if primary is engine and decoding:
                        self._emit_event(engine, job)
                    self._start_iteration(primary)
            self._start_iteration(engine)

        self.call_at(self.now_s + time_s, finish)

    def _emit_event(self, engine: Engine, job: Job) -> None:
        if job.first_event_s is None:
            job.first_event_s = self.now_s
            if self.streams_answers:
                self.call_at(
                    self.now_s + HOP_S,
                    lambda: self._scheduler.record_first_event(
                        job.key, self.now_s
                    ),
                )
        else:
            job.max_pause_s = max(
                job.max_pause_s, self.now_s - job.last_event_s
            )
        job.last_event_s = self.now_s
        job.events += 1
        job.events_left -= 1
        if job.events_left <= 0:
            job.ended_s = self.now_s
            engine.decoding.remove(job)
            for helper in job.reservations:
                self.engines[
                    helper.endpoint
                ].reserved_tokens -= helper.reserved_tokens

            def finish_request() -> None:
                if not self.streams_answers:
                    self._scheduler.record_first_event(job.key, self.now_s)
                self._scheduler.record_end(
                    job.key,
                    messages.Result.DONE,
                    self.now_s,
                    answer=self._make_answer(job),
                )
                self._decide()

            self.call_at(self.now_s + HOP_S, finish_request)

    def _make_answer(self, job: Job) -> messages.AnswerEnd | None:
        if not self._has_preemption:
            return None
        assert job.first_event_s is not None, "the job has ended"
        return messages.AnswerEnd(
            is_complete=True,
            written_s=job.last_event_s - job.first_event_s,
            events=job.events,
        )


def make_endpoint(number: int) -> types.Endpoint:
    """Returns the entry of an engine."""
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
    *,
    is_global: bool = True,
    seed: int = 1,
    has_contention: bool = False,
    management: load_management.LoadManagement | None = None,
) -> scheduling.Scheduler:
    """Returns a scheduler with the retry budget of a small fleet.

    Args:
        is_global: Whether it knows all requests.
        seed: Seed of its random choices.
        has_contention: Whether the decisions under contention are in force.
        management: Decisions in force in place of these; None for these.
    """
    return scheduling.Scheduler(
        is_global=is_global,
        rng=random.Random(seed),
        make_budget=lambda: retry_budget.RetryBudget(
            lambda: retry_budget.RetryAllowance(0.2, 100, 10.0)
        ),
        management=management
        or load_management.make_load_management(has_contention=has_contention),
    )
