"""Bounds how often requests are sent a second time.

Load pattern: endpoints that fail or are full while callers press, so that
each failure would become several sends.
"""

from __future__ import annotations

import collections


class RepeatBudget:
    """A share of the fleet's allowance.

    Args:
        ratio: Repeats allowed for each counted request.
        extra: Repeats allowed in a window beside the ratio.
        window_s: Window over which both are counted.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def charge(self, repeats: int, now_s: float) -> None:
        """Counts repeats that others may have taken in this window."""
        self._repeats.extend([now_s] * repeats)

    def take(self, now_s: float) -> bool:
        """Takes one repeat if the share allows it."""
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._extra
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for noted in (self._requests, self._repeats):
            while noted and noted[0] <= now_s - self._window_s:
                noted.popleft()
