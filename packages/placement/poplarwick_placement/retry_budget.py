"""Bounds how often requests are sent a second time.

Load pattern: endpoints that fail or are full while callers press, so that
each failure would become several sends.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """How many repeats are allowed now.

    Attributes:
        ratio: Repeats allowed for each counted request.
        extra: Repeats allowed in a window beside the ratio.
        window_s: Window over which both are counted.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """A share of the fleet's allowance.

    Args:
        read_allowance: Tells the share as it is now: it changes with the
            number of instances and with the bounds.
    """

    def __init__(self, read_allowance: Callable[[], RetryAllowance]) -> None:
        self._read_allowance = read_allowance
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now_s: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now_s)
        self._forget(self._read_allowance().window_s, now_s)

    def charge(self, repeats: int, now_s: float) -> None:
        """Counts repeats that others may have taken in this window."""
        self._repeats.extend([now_s] * repeats)

    def take(self, now_s: float) -> bool:
        """Takes one repeat if the share allows it."""
        allowance = self._read_allowance()
        self._forget(allowance.window_s, now_s)
        allowed = allowance.ratio * len(self._requests) + allowance.extra
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, window_s: float, now_s: float) -> None:
        for noted in (self._requests, self._repeats):
            while noted and noted[0] <= now_s - window_s:
                noted.popleft()
