"""Measures how fast endpoints work, relative to their peers.

Load pattern: an endpoint that does a fraction of the work of its peers although
it reports the same state. What its requests take is compared with what their
work should take, and the result with that of the peers: what slows all of them
down is no fault of one.
"""

from __future__ import annotations

import collections
import statistics
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Sequence

from poplarwick_core import ids
from poplarwick_placement import messages
from poplarwick_placement import service_pool

SAMPLES = 9
"""Requests of an endpoint that are compared; one slow one in two says
nothing."""

MIN_SAMPLES = 4

SAMPLE_AGE_S = 30.0
"""Age at which a sample is forgotten. An endpoint that is slow, and gets no
requests for so long, is tried again."""

MIN_EVENTS = 4
"""Events from which on a stream shows the speed of its engine; the first ones
come with the prefill."""

REVIEW_PERIOD_S = 1.0
"""Interval between comparisons of the endpoints of a service."""

SLOW_FACTOR = 1.4
"""Time relative to the median of the peers from which on an endpoint counts as
slow. Prefills of other requests, of which only an estimate is known, lengthen
single streams by up to a third."""

RECOVERED_FACTOR = 1.2
"""Relative time below which it no longer counts as slow."""

MAX_FACTOR = 8.0


class EndpointSpeeds:
    """Recent ratios of actual to expected times, by endpoint.

    Args:
        on_change: Called with an endpoint and its slowdown when it becomes
            slow or recovers; 1 is the speed of its peers.
    """

    def __init__(
        self,
        on_change: Callable[[ids.EndpointId, float], None] = lambda *_: None,
    ) -> None:
        self._on_change = on_change
        self._samples: dict[
            ids.EndpointId, collections.deque[tuple[float, float]]
        ] = {}
        self._reviewed_at_s: dict[ids.ServiceId, float] = {}

    def record_end(
        self,
        key: Hashable,
        state: service_pool.EndpointState,
        answer: messages.AnswerEnd | None,
        now_s: float,
    ) -> None:
        """Compares a complete answer with its expected time.

        Args:
            key: The request, whose resources are not released yet.
            state: The endpoint.
            answer: How the answer ended.
            now_s: Monotonic time.
        """
        if answer is None or not answer.is_complete:
            return
        ratio = _calculate_ratio(key, state, answer, now_s)
        # What was reported at one moment was not written at one.
        if ratio is not None and ratio > 0:
            self._samples.setdefault(
                state.candidate.endpoint.id, collections.deque(maxlen=SAMPLES)
            ).append((now_s, ratio))

    def review(
        self, states: Sequence[service_pool.EndpointState], now_s: float
    ) -> list[service_pool.EndpointState]:
        """Compares the endpoints of a service and sets their slowdowns.

        Returns:
            The endpoints whose slowdown has changed.
        """
        if not states:
            return []
        service = states[0].candidate.endpoint.service
        if now_s < self._reviewed_at_s.get(service, 0.0) + REVIEW_PERIOD_S:
            return []
        self._reviewed_at_s[service] = now_s
        self._forget(now_s)
        typical = {
            endpoint: statistics.median(ratio for _, ratio in samples)
            for state in states
            if (endpoint := state.candidate.endpoint.id) in self._samples
            and len(samples := self._samples[endpoint]) >= MIN_SAMPLES
        }
        usual = statistics.median_low(typical.values()) if typical else 1.0
        return [
            state
            for state in states
            if self._set_slowdown(
                state, typical.get(state.candidate.endpoint.id, usual) / usual
            )
        ]

    def _set_slowdown(
        self, state: service_pool.EndpointState, factor: float
    ) -> bool:
        load = state.load
        limit = RECOVERED_FACTOR if load.is_slow else SLOW_FACTOR
        slowdown = min(factor, MAX_FACTOR) if factor > limit else 1.0
        was_slow = load.is_slow
        if not load.set_measured_slowdown(slowdown):
            return False
        if load.is_slow != was_slow:
            self._on_change(state.candidate.endpoint.id, slowdown)
        return True

    def _forget(self, now_s: float) -> None:
        """Drops old samples, also those of endpoints that are gone."""
        for endpoint, samples in list(self._samples.items()):
            while samples and samples[0][0] < now_s - SAMPLE_AGE_S:
                samples.popleft()
            if not samples:
                del self._samples[endpoint]


def _calculate_ratio(
    key: Hashable,
    state: service_pool.EndpointState,
    answer: messages.AnswerEnd,
    now_s: float,
) -> float | None:
    """Returns actual by expected time, None if the answer does not show it."""
    allocation = state.load.primary_allocations.get(key)
    if allocation is None:
        return None
    if state.load.profile is None:
        expected_s = allocation.request.expected_duration_s
        return (
            (now_s - allocation.allocated_at_s) / expected_s
            if expected_s
            else None
        )
    if (
        allocation.first_event_at_s is None
        or answer.events < MIN_EVENTS
        # The events of a resumed stream were written by several engines.
        or allocation.request.was_placed
    ):
        return None
    return (now_s - allocation.first_event_at_s) / (
        state.load.calculate_writing_s(allocation, answer.events, now_s)
    )
