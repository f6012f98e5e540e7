"""Limits the rate of retries.

Load pattern: endpoints that fail or are full under heavy load, so that each
failure would multiply the number of sends.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Number of retries that are allowed.

    Attributes:
        ratio: Retries allowed for each counted request.
        extra: Retries allowed in a window in addition to the ratio.
        window_s: Window over which requests and retries are counted.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """A share of the retry allowance of all instances.

    Args:
        get_allowance: Returns the current share, which changes with the
            number of instances and with the settings.
    """

    def __init__(self, get_allowance: Callable[[], RetryAllowance]) -> None:
        self._get_allowance = get_allowance
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def count_request(self, now_s: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(self._get_allowance().window_s, now_s)

    def charge(self, retries: int, now_s: float) -> None:
        """Counts retries that others may have made in this window."""
        self._retries.extend([now_s] * retries)

    def take(self, now_s: float) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        allowance = self._get_allowance()
        self._drop_expired(allowance.window_s, now_s)
        allowed = allowance.ratio * len(self._requests) + allowance.extra
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, window_s: float, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - window_s:
                times.popleft()
