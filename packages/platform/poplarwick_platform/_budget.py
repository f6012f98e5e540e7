"""Client-side rate limit for calls to the key-value service.

The rate adapts to the service: it is halved when calls fail or are refused and
grows slowly while they succeed, so that a service that recovers from an outage
receives few calls. Part of the tokens is reserved for the more important
purposes.
"""

from __future__ import annotations

import asyncio
import random

from poplarwick_core import clock
from poplarwick_platform import kv

MAX_RATE_PER_S = 50.0
MIN_RATE_PER_S = 1.0
RATE_INCREASE_PER_S2 = 5.0
RATE_DECREASE_FACTOR = 0.5
DECREASE_PERIOD_S = 1.0
BURST_S = 1.0

MAX_WAIT_S = {
    kv.Purpose.FENCING: 1.0,
    kv.Purpose.CLAIM: 1.0,
    kv.Purpose.LEASE: 1.0,
    kv.Purpose.CONFIGURATION: 5.0,
    kv.Purpose.HOUSEKEEPING: 5.0,
}
"""Longest time that a call of each purpose waits for a token. Requests wait for
the first three. An operator waits for the others, and after an outage the rate
is a call a second: with a shorter wait most of these calls would fail although
the service is back."""

RESERVED_SHARE = {
    kv.Purpose.FENCING: 0.0,
    kv.Purpose.CLAIM: 0.0,
    kv.Purpose.LEASE: 0.1,
    kv.Purpose.CONFIGURATION: 0.3,
    kv.Purpose.HOUSEKEEPING: 0.5,
}
"""Share of the burst that a call of each purpose must leave in the bucket."""


class CallBudget:
    """Token bucket with an adaptive rate.

    Attributes:
        max_rate_per_s: Upper limit of the rate, in calls per second.
        max_wait_s: Longest time that any call waits for a token; None for the
            time of its purpose.
        rate_per_s: Current rate, in calls per second.
    """

    def __init__(
        self,
        max_rate_per_s: float = MAX_RATE_PER_S,
        max_wait_s: float | None = None,
    ) -> None:
        self.max_rate_per_s = max_rate_per_s
        self.max_wait_s = max_wait_s
        self.rate_per_s = max_rate_per_s
        self._tokens = max_rate_per_s * BURST_S
        self._last_refill_s = clock.now_s()
        self._last_decrease_s = 0.0
        self._last_result_s = self._last_refill_s

    async def take(self, purpose: kv.Purpose) -> None:
        """Takes a token; waits until one is available.

        Raises:
            kv.BudgetError: The call would wait too long.
        """
        max_wait_s = self.max_wait_s
        if max_wait_s is None:
            max_wait_s = MAX_WAIT_S[purpose]
        deadline_s = clock.now_s() + max_wait_s
        while True:
            wait_s = self._try_take(purpose)
            if wait_s <= 0:
                return
            wait_s *= random.uniform(1.0, 1.5)
            if clock.now_s() + wait_s > deadline_s:
                raise kv.BudgetError(f"no budget for {purpose.value}")
            await asyncio.sleep(wait_s)

    def record_success(self) -> None:
        """Increases the rate by the time elapsed since the last result."""
        now_s = clock.now_s()
        elapsed_s = min(now_s - self._last_result_s, DECREASE_PERIOD_S)
        self._last_result_s = now_s
        self.rate_per_s = min(
            self.rate_per_s + elapsed_s * RATE_INCREASE_PER_S2,
            self.max_rate_per_s,
        )

    def record_failure(self) -> None:
        """Halves the rate, at most once a second, and drops excess tokens."""
        now_s = clock.now_s()
        self._last_result_s = now_s
        if now_s - self._last_decrease_s < DECREASE_PERIOD_S:
            return
        self._last_decrease_s = now_s
        self.rate_per_s = max(
            self.rate_per_s * RATE_DECREASE_FACTOR, MIN_RATE_PER_S
        )
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(1.0, self.rate_per_s * BURST_S)

    def _try_take(self, purpose: kv.Purpose) -> float:
        """Takes a token and returns 0, or returns the wait in seconds."""
        self._refill()
        needed = min(1.0 + RESERVED_SHARE[purpose] * self._burst, self._burst)
        missing = needed - self._tokens
        if missing <= 0:
            self._tokens -= 1.0
            return 0.0
        return missing / self.rate_per_s

    def _refill(self) -> None:
        now_s = clock.now_s()
        elapsed_s = now_s - self._last_refill_s
        self._last_refill_s = now_s
        self._tokens = min(
            self._tokens + elapsed_s * self.rate_per_s, self._burst
        )
