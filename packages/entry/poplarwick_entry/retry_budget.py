"""Retry budget, which prevents retries from multiplying the load."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Limits retries to a ratio of first attempts, as a token bucket.

    Each first attempt adds `ratio` retries to the balance, which starts at
    `limit` and never exceeds it.

    Args:
        ratio: Retries that one first attempt adds.
        limit: Maximum balance.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, limit: float = MAX_BALANCE
    ) -> None:
        self._ratio = ratio
        self._limit = limit
        self._balance = limit

    def count_request(self) -> None:
        """Counts the first attempt of a request."""
        self._balance = min(self._limit, self._balance + self._ratio)

    def take(self) -> bool:
        """Takes one retry from the budget if it has one left.

        Returns:
            Whether the retry is allowed.
        """
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
