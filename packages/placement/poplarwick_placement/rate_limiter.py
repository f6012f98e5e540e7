"""Keeps to the rate of requests that an endpoint takes from all instances.

Load pattern: endpoints in need, one or all of a service, while the placer is in
touch, changes or is away. The sum over all instances keeps below one and a half
times the rate and a few requests in any four seconds.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

USED_SHARE = 0.85
"""Share of the rate that is used; two placers may overlap for a moment, and
instances that have just lost theirs send as well."""

BURST_S = 0.5
"""Time for which a placer saves up what it does not use, beyond one request."""

MIN_RATE_PER_S = 0.1
"""Rate at which an endpoint that takes nothing is asked whether it still does;
its answers say so."""

IDLE_S = 1.0
"""Time without a check after which an instance starts to count anew, because
the placer has decided meanwhile."""


class Turn(NamedTuple):
    """Number of an instance in an order that all instances agree on.

    Attributes:
        number: Number of the instance; the first one has 0.
        instances: Number of instances in the order.
    """

    number: int
    instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate of requests that an endpoint takes.

    Attributes:
        per_s: Requests a second from all instances together.
        turn: Turn of the instance that decides on its own requests only; None
            at the placer, which decides on those of all.
    """

    per_s: float
    turn: Turn | None = None


class FleetLimiter:
    """Limits the requests of all instances to one endpoint, at the placer.

    It starts empty: another placer may have sent the last requests.
    """

    def __init__(self, limit: RateLimit) -> None:
        self._tokens = 0.0
        self._updated_at_s: float | None = None
        self.set_limit(limit)

    def set_limit(self, limit: RateLimit) -> None:
        """Replaces the limit."""
        self._rate_per_s = USED_SHARE * max(limit.per_s, MIN_RATE_PER_S)

    def allows_send(self, now_s: float) -> bool:
        """Returns whether one more request may be sent."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def record_send(self, now_s: float) -> None:
        """Records a request."""
        self._refill(now_s)
        self._tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        if self._updated_at_s is None:
            self._updated_at_s = now_s
        elapsed_s = now_s - self._updated_at_s
        self._updated_at_s = now_s
        capacity = 1.0 + self._rate_per_s * BURST_S
        self._tokens = min(
            self._tokens + elapsed_s * self._rate_per_s, capacity
        )


class InstanceLimiter:
    """Limits the requests of one instance without a placer to one endpoint.

    The instances take turns: each sends one request in a round of all. The
    first one of a round is due once the limiter has been asked for a time that
    depends on the turn, so that instances that lose their placer together do
    not send together.
    """

    def __init__(self, limit: RateLimit) -> None:
        self._checked_at_s = float("-inf")
        self._next_at_s = float("-inf")
        self.set_limit(limit)

    def set_limit(self, limit: RateLimit) -> None:
        """Replaces the limit and the order of the instances."""
        assert limit.turn is not None, "instances take turns"
        interval_s = 1.0 / (USED_SHARE * max(limit.per_s, MIN_RATE_PER_S))
        self._period_s = interval_s * limit.turn.instances
        self._delay_s = interval_s * (limit.turn.number + 1)

    def allows_send(self, now_s: float) -> bool:
        """Returns whether one more request may be sent."""
        if now_s - self._checked_at_s > IDLE_S:
            self._next_at_s = max(self._next_at_s, now_s + self._delay_s)
        self._checked_at_s = now_s
        return now_s >= self._next_at_s

    def record_send(self, now_s: float) -> None:
        """Records a request."""
        self._next_at_s = now_s + self._period_s


Limiter = FleetLimiter | InstanceLimiter


def make_limiter(limit: RateLimit) -> Limiter:
    """Returns a limiter for the scheduler of the placer or of an instance."""
    if limit.turn is None:
        return FleetLimiter(limit)
    return InstanceLimiter(limit)
