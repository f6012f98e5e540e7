"""Bounds how often an instance sends requests a second time.

Load pattern: endpoints that fail or are full while callers press, so that
each failure would become several sends.
"""

from __future__ import annotations

import collections

SAFE_SHARE = 0.8
"""Part of the fleet's allowance that the instances use together; the rest
covers requests counted in another window at the endpoints."""


class RepeatBudget:
    """An instance's static share of the allowance of all instances.

    Args:
        ratio: Repeats allowed for each request.
        extra: Repeats allowed in a window beside the ratio, for all instances.
        window_s: Window over which both are counted.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio * SAFE_SHARE
        self._extra = extra * SAFE_SHARE
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def take(self, instances: int, now_s: float) -> bool:
        """Takes one repeat if the share allows it.

        Args:
            instances: Instances that share the allowance.
            now_s: Monotonic time.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._extra / max(
            instances, 1
        )
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for noted in (self._requests, self._repeats):
            while noted and noted[0] <= now_s - self._window_s:
                noted.popleft()
