"""Chooses the quantile of the output for which engine memory is reserved.

Load pattern: engines whose memory is about the footprint of a few requests, and
outputs of unknown length. A low quantile admits more requests at once, and
engines preempt the newest when outputs outgrow the memory; a high one leaves
memory unused. Preemptions raise the quantile of a service, their absence lowers
it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Hashable

from poplarwick_core import ids
from poplarwick_placement import loads
from poplarwick_placement import messages

MIN_LEVEL = 0.80
MAX_LEVEL = 0.95
INITIAL_LEVEL = 0.90

RAISE = 0.02
"""Rise of the quantile by one preemption."""

RAISE_INTERVAL_S = 0.5
"""Time in which preemptions count once: one shortage hits several requests."""

LOWER = 0.01
"""Fall of the quantile in each `LOWER_INTERVAL_S` without a preemption."""

LOWER_INTERVAL_S = 5.0

FULL_SHARE = 0.7
"""Share of an engine's memory that is reserved where a pause counts as a
preemption. Engines with more memory left pause for other reasons."""

PAUSE_FACTOR = 0.5
"""Share of the time of a second prefill by which a stream must be late to count
as preempted: parts of a prompt may still be cached."""


@dataclasses.dataclass(slots=True)
class _Level:
    """State of one service.

    Attributes:
        level: The quantile.
        changed_at_s: Monotonic time of the last change.
        raised_at_s: Monotonic time of the last rise.
    """

    level: float
    changed_at_s: float
    raised_at_s: float


class BookingLevels:
    """Quantile by service, following the preemptions.

    Args:
        on_change: Called with a service and its new quantile when preemptions
            have raised it.
    """

    def __init__(
        self,
        on_change: Callable[[ids.ServiceId, float], None] = lambda *_: None,
    ) -> None:
        self._on_change = on_change
        self._levels: dict[ids.ServiceId, _Level] = {}

    def get(self, service: ids.ServiceId, now_s: float) -> float:
        """Returns the quantile at which memory is reserved, from 0 to 1."""
        state = self._levels.setdefault(
            service, _Level(INITIAL_LEVEL, now_s, -RAISE_INTERVAL_S)
        )
        steps = int((now_s - state.changed_at_s) / LOWER_INTERVAL_S)
        if steps > 0:
            state.level = max(state.level - steps * LOWER, MIN_LEVEL)
            state.changed_at_s += steps * LOWER_INTERVAL_S
        return state.level

    def record_preemption(self, service: ids.ServiceId, now_s: float) -> None:
        """Raises the quantile of a service."""
        level = self.get(service, now_s)
        state = self._levels[service]
        if now_s - state.raised_at_s < RAISE_INTERVAL_S:
            return
        state.raised_at_s = state.changed_at_s = now_s
        if level < MAX_LEVEL:
            state.level = min(level + RAISE, MAX_LEVEL)
            self._on_change(service, state.level)

    def record_end(
        self,
        key: Hashable,
        load: loads.EndpointLoad,
        result: messages.Result,
        answer: messages.AnswerEnd | None,
        now_s: float,
    ) -> None:
        """Examines a request that ends, before its resources are released.

        A refusal for lack of capacity counts as a preemption: the engine has
        less memory than is reserved on it.

        Args:
            key: The request.
            load: Load of the engine.
            result: Result of the request.
            answer: How its answer ended.
            now_s: Monotonic time.
        """
        allocation = load.primary_allocations.get(key)
        if (
            allocation is None
            or load.profile is None
            or load.calculate_reserved_tokens(now_s)
            < FULL_SHARE * load.profile.memory_tokens
        ):
            return
        is_full = result is messages.Result.FULL
        if is_full or _was_preempted(allocation, load, answer, now_s):
            self.record_preemption(load.endpoint.service, now_s)


def _was_preempted(
    allocation: loads.Allocation,
    load: loads.EndpointLoad,
    answer: messages.AnswerEnd | None,
    now_s: float,
) -> bool:
    """Returns whether a stream was late by a pause for a second prefill."""
    if (
        answer is None
        or not answer.is_complete
        or allocation.first_event_at_s is None
        or allocation.request.was_placed
    ):
        return False
    expected_s = load.slowdown * load.calculate_writing_s(
        allocation, answer.events, now_s
    )
    delay_s = now_s - allocation.first_event_at_s - expected_s
    return delay_s > max(
        PAUSE_FACTOR * allocation.full_prefill_s,
        allocation.request.pause_limit_s,
    )
