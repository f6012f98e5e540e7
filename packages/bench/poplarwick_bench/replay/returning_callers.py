"""Replays callers that return once when they are refused.

The load is constant, and more than the engines can serve. A refused caller
returns at the stated time if that is at most a third of its time left, with the
time left until its deadline.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import messages
from poplarwick_placement import scheduler as scheduling

HONOURED_SHARE = 1 / 3
"""Share of its time left for which a caller waits before it retries."""

CONTENDED_PROFILE = dataclasses.replace(
    engines.PROFILE,
    slots=6,
    memory_tokens=197_200,
    prefill_tokens_per_s=206_000,
    step_s=1.02e-3,
    stride=48,
)
"""Engine of deployment N in docs/LOAD.md."""

CONTENDED_KINDS = {
    "short": traffic.Kind(37.4, 5_000, 0.0, 5_000, 27, 0.271, 0.25, 10.8, 1),
    "medium": traffic.Kind(4.42, 45_000, 0.0, 45_000, 16, 1.532, 0.6, 10.2, 1),
    "long": traffic.Kind(
        1.58, 190_000, 0.0, 190_000, 13, 6.055, 1.0, 15.1, 7.3
    ),
}
"""Requests of deployment N. The page states no output lengths: these are the
tokens of the kinds in `traffic`."""


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's attempts.

    Attributes:
        first: First attempt.
        second: Attempt after the refusal of the first one, if there was one.
        refused_after_s: Time from the first attempt to its refusal.
        refusal: Refusal of the first attempt.
    """

    first: engines.Job
    second: engines.Job | None = None
    refused_after_s: float | None = None
    refusal: messages.Refusal | None = None

    @property
    def is_served(self) -> bool:
        """Whether an attempt was answered before the deadline."""
        return self.first.is_complete_in_time or (
            self.second is not None and self.second.is_complete_in_time
        )

    @property
    def is_promised(self) -> bool:
        """Whether capacity was kept for the return."""
        return (
            self.refusal is not None
            and self.refusal.outlook is not None
            and self.refusal.outlook.capacity_in_s is not None
        )


class ReturningCallers(engines.Simulation):
    """Callers that return once when they are refused.

    Args:
        scheduler: The scheduler under test.
        engine_count: Number of engines.
        profile: Profile of the engines.
        seed: Seed of the times by which callers miss the stated time.
        jitter: Largest share of the stated time by which they miss it.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        engine_count: int,
        *,
        profile: types.EngineProfile = engines.PROFILE,
        seed: int = 1,
        jitter: float = 0.0,
    ) -> None:
        super().__init__(scheduler, engine_count, profile)
        self.calls: dict[int, Call] = {}
        self._rng = random.Random(seed)
        self._jitter = jitter

    def add_calls(
        self,
        kind: traffic.Kind,
        rate_factor: float,
        span: tuple[float, float],
        seed: int,
        priority: int = 0,
    ) -> list[Call]:
        """Adds callers of one kind with random arrival times and outputs."""
        rng = random.Random(seed)
        calls: list[Call] = []
        time_s = span[0]
        while True:
            time_s += rng.expovariate(kind.requests_per_s * rate_factor)
            if time_s >= span[1]:
                return calls
            events = max(int(rng.gauss(kind.events, kind.events / 2)), 2)
            name = f"r{len(self.jobs)}"
            request = dataclasses.replace(
                traffic.make_request(
                    kind,
                    time_s,
                    int(kind.prompt_tokens),
                    events,
                    name,
                    priority,
                ),
                output_tokens=events * self.profile.stride,
                fingerprint=ids.RequestFingerprint(name),
            )
            call = Call(self.add_request(time_s, request))
            self.calls[call.first.key] = call
            calls.append(call)

    def refuse(self, job: engines.Job, refusal: messages.Refusal) -> None:
        """Ends a job; its caller returns if it was the first attempt."""
        super().refuse(job, refusal)
        call = self.calls.get(job.key)
        if call is None:
            return
        call.refused_after_s = self.now_s - job.arrived_s
        call.refusal = refusal
        request = job.request
        time_left_s = request.deadline_at_s - self.now_s
        if refusal.retry_after_s > HONOURED_SHARE * time_left_s:
            return
        returns_at_s = self.now_s + refusal.retry_after_s * self._rng.uniform(
            1 - self._jitter, 1 + self._jitter
        )
        target_s = request.on_time_at_s - job.arrived_s
        call.second = self.add_request(
            returns_at_s,
            dataclasses.replace(
                request,
                request_id=ids.RequestId(f"{request.request_id}-2"),
                on_time_at_s=returns_at_s + target_s,
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of the callers.

    Attributes:
        calls: Number of callers.
        served: Callers that were answered before their deadline.
        on_time: Callers whose first attempt was answered on time.
        refused: Callers whose first attempt was refused.
        refused_at_once: Those that were refused in the round of their arrival.
        waited_in_vain: Those that were refused after more than a second.
        promised: Callers for whose return capacity was kept.
        kept: Those that were served on their return.
    """

    calls: int
    served: int
    on_time: int
    refused: int
    refused_at_once: int
    waited_in_vain: int
    promised: int
    kept: int


def count(calls: Mapping[int, Call]) -> Result:
    """Returns what became of callers."""
    all_calls = list(calls.values())
    waits_s = [
        call.refused_after_s
        for call in all_calls
        if call.refused_after_s is not None
    ]
    promised = [call for call in all_calls if call.is_promised]
    return Result(
        calls=len(all_calls),
        served=sum(call.is_served for call in all_calls),
        on_time=sum(call.first.is_on_time for call in all_calls),
        refused=len(waits_s),
        refused_at_once=sum(wait_s < engines.TICK_S for wait_s in waits_s),
        waited_in_vain=sum(wait_s > 1.0 for wait_s in waits_s),
        promised=len(promised),
        kept=sum(call.is_served for call in promised),
    )
