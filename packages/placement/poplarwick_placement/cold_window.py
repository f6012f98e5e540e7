"""Bounds how many requests a cold endpoint gets in a second.

Load pattern: endpoints that start together, or turn cold at any moment, while
the whole traffic waits for them.
"""

from __future__ import annotations

import collections

WINDOW_S = 1.1
"""Span over which sends are counted: a second, and the spread of the ways that
requests take from an instance to an endpoint."""


class ColdWindow:
    """Counts the sends to one endpoint in the last second.

    Args:
        limit: Most sends in any second.
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self._sent_at_s: collections.deque[float] = collections.deque()

    def has_room(self, now_s: float) -> bool:
        """Tells whether one more send stays within the limit."""
        while self._sent_at_s and self._sent_at_s[0] <= now_s - WINDOW_S:
            self._sent_at_s.popleft()
        return len(self._sent_at_s) + 1 <= self.limit

    def note_send(self, now_s: float) -> None:
        """Counts a send."""
        self._sent_at_s.append(now_s)
