"""Requests that an engine still runs and that no instance knows any more.

Load pattern: all instances lose power, or one ends, while engines run their
requests. The engines go on with these for seconds, but the instances that come
next report only their own requests to the placer. Placed as if the engines were
empty, requests wait there, or are refused as full.

What an engine reports beyond the known requests is counted as inherited. This
may grow only for a time after the placer began or an instance was lost. Later
on, a difference means that a report is older than what is known.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from poplarwick_placement import engine_report

LEARNING_S = 2.5
"""Time after the start of a placer, or the loss of an instance, within which
inherited load may grow: the first reports of all engines and a second one."""

REPORT_AGE_S = 1.0
"""Greatest age of what a report says, with the call itself. Requests that have
ended within this time may still be counted in it."""

EXPECTED_REST_S = 1.0
"""Time in which inherited requests are expected to end; the typical rest of a
request of a few seconds."""


class _Release(NamedTuple):
    at_s: float
    requests: int
    memory_tokens: int


class InheritedLoad:
    """Load of one engine that belongs to no known request.

    Attributes:
        requests: Number of inherited requests.
        memory_tokens: Engine memory that they hold.
        reported_at_s: Monotonic time of the last report that named any.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.memory_tokens = 0
        self.reported_at_s = 0.0
        self._released: collections.deque[_Release] = collections.deque()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is inherited."""
        return not self.requests and not self.memory_tokens

    def record_release(
        self, requests: int, memory_tokens: int, now_s: float
    ) -> None:
        """Records the end of a known request, or of a part of one.

        Args:
            requests: 1 if the request ran here, 0 if only a part of its prompt
                was prefilled here.
            memory_tokens: Memory that is released.
            now_s: Monotonic time.
        """
        self._released.append(_Release(now_s, requests, memory_tokens))
        self._forget_released(now_s)

    def record_adoption(self, memory_tokens: int) -> bool:
        """Records that an instance knows one of the requests after all.

        Returns:
            Whether anything had been inherited.
        """
        if self.is_empty:
            return False
        self.requests = max(self.requests - 1, 0)
        self.memory_tokens = max(self.memory_tokens - memory_tokens, 0)
        return True

    def record_work(
        self,
        work: engine_report.EngineWork,
        known: engine_report.EngineWork,
        now_s: float,
        *,
        may_grow: bool,
    ) -> bool:
        """Compares what an engine reports with what is known.

        Args:
            work: What the engine reports.
            known: What the known requests take.
            now_s: Monotonic time.
            may_grow: Whether the load may grow.

        Returns:
            Whether the inherited load has changed.
        """
        self._forget_released(now_s)
        requests = work.requests - known.requests
        requests -= sum(release.requests for release in self._released)
        memory_tokens = work.memory_tokens - known.memory_tokens
        memory_tokens -= sum(
            release.memory_tokens for release in self._released
        )
        if not may_grow:
            requests = min(requests, self.requests)
            memory_tokens = min(memory_tokens, self.memory_tokens)
        before = self.requests, self.memory_tokens
        self.requests = max(requests, 0)
        self.memory_tokens = max(memory_tokens, 0)
        if not self.is_empty:
            self.reported_at_s = now_s
        return before != (self.requests, self.memory_tokens)

    def _forget_released(self, now_s: float) -> None:
        earliest_s = now_s - REPORT_AGE_S
        while self._released and self._released[0].at_s < earliest_s:
            self._released.popleft()
