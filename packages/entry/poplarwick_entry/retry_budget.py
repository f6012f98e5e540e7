"""Budget of retries, so that callers and entries cannot multiply load."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allows retries up to a ratio of first attempts.

    Each first attempt earns `ratio` retries; at most `limit` are saved up,
    which is also what a new budget begins with.

    Args:
        ratio: Retries earned by one first attempt.
        limit: Most retries saved up.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, limit: float = MAX_SAVED_RETRIES
    ) -> None:
        self._ratio = ratio
        self._limit = limit
        self._saved = limit

    def count_request(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self._limit, self._saved + self._ratio)

    def take(self) -> bool:
        """Returns whether a retry is allowed, and counts it."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
