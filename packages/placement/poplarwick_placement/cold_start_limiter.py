"""Limits the rate of requests to a cold endpoint.

Load pattern: endpoints that start together, or turn cold at any time, while
all traffic waits for them.
"""

from __future__ import annotations

import collections

WINDOW_S = 1.1
"""Window over which sends are counted: a second plus the spread of the
latencies between an instance and an endpoint."""


class ColdStartLimiter:
    """Sliding-window rate limit on the sends to one endpoint.

    Args:
        limit: Most sends in any second.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self._sent_at_s: collections.deque[float] = collections.deque()

    def allows_send(self, now_s: float) -> bool:
        """Returns whether one more send is within the limit."""
        while self._sent_at_s and self._sent_at_s[0] <= now_s - WINDOW_S:
            self._sent_at_s.popleft()
        return len(self._sent_at_s) + 1 <= self.limit

    def record_send(self, now_s: float) -> None:
        """Records a send."""
        self._sent_at_s.append(now_s)
