"""Limits how long an attempt waits for an unresponsive endpoint.

Load pattern: endpoints that crash or hang without closing connections, while
another endpoint could still complete their requests, some of them on time. An
endpoint that is only slow, or silent towards other instances, keeps its
requests: running one again costs more than waiting for it.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

from poplarwick_catalogue import types
from poplarwick_core import clock
from poplarwick_forwarding import http_exchange
from poplarwick_placement import messages

SUSPECTED_TIMEOUT_S = 0.25
"""Shortest timeout for an endpoint that other instances also find unresponsive;
a healthy one sends an event every iteration, which takes about 50 ms."""


STALL_TIMEOUT_MIN_S = 1.2
"""Shortest pause in a stream after which it is resumed at another endpoint;
callers time out after two seconds."""

STALL_TIMEOUT_FACTOR = 2.5
"""The same pause as a multiple of the route's pause limit; callers time out
after eight times the limit."""

FIRST_EVENT_TIMEOUT_FACTOR = 4
"""Multiple of the expected time to the first event after which, with the slack,
another endpoint is tried: a second prefill of a long prompt is expensive."""

FIRST_EVENT_TIMEOUT_SLACK_S = 1.0
"""Added to that multiple; longer than an iteration of the busiest engine."""

SUSPECTED_FIRST_EVENT_FACTOR = 1.2
"""Multiple of the expected time to the first event for which a suspected
endpoint is waited for, in addition to the shortest timeout."""

PLAIN_TIMEOUT_FACTOR = 3
"""Timeout of responses that are not streamed, as a multiple of the route's
target latency."""


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long to wait for the next data of an endpoint.

    Attributes:
        usual_s: Time limit.
        suspected_s: Time limit if other instances find the endpoint
            unresponsive; no sound endpoint takes longer.
    """

    usual_s: float
    suspected_s: float


class SilenceTimer(Protocol):
    """Acts when an endpoint has been silent for too long."""

    def reschedule(self, when: float | None) -> None:
        """Sets the monotonic time at which it acts; None for never."""
        ...

    def when(self) -> float | None:
        """Returns that time; None for never."""
        ...

    @property
    def is_over(self) -> bool:
        """Whether another endpoint goes on with the request."""
        ...


class ResponseTimeout:
    """Limits the wait for the next data of one endpoint.

    Args:
        timer: Called when the endpoint has been silent for too long.
        is_limited: Whether the request may be retried at another endpoint; if
            not, the wait is unlimited.
    """

    def __init__(self, timer: SilenceTimer, *, is_limited: bool) -> None:
        self._timer = timer
        self._is_limited = is_limited
        self._is_suspected = False
        self._patience: Patience | None = None
        self._started_at_s = 0.0

    def start(self, patience: Patience) -> None:
        """Starts the wait for the next data of the endpoint."""
        if not self._is_limited:
            return
        self._patience = patience
        self._started_at_s = clock.now_s()
        self._timer.reschedule(self._started_at_s + self._choose_timeout_s())

    def suspend(self) -> None:
        """Stops the timer while data is written to a slow caller."""
        if self._is_limited:
            self._timer.reschedule(None)

    @property
    def is_over(self) -> bool:
        """Whether another endpoint goes on with the request.

        Nothing that the endpoint still sends may reach the caller then.
        """
        return self._timer.is_over

    def record_suspicion(self) -> None:
        """Shortens the timeout because other instances suspect the endpoint."""
        self._is_suspected = True
        if self._timer.when() is not None and self._patience is not None:
            earliest_at_s = clock.now_s() + SUSPECTED_TIMEOUT_S
            ends_at_s = self._started_at_s + self._choose_timeout_s()
            self._timer.reschedule(max(ends_at_s, earliest_at_s))

    def _choose_timeout_s(self) -> float:
        assert self._patience is not None, "the wait has not been started"
        if self._is_suspected:
            return min(self._patience.usual_s, self._patience.suspected_s)
        return self._patience.usual_s


def choose_stall_patience(
    exchange: http_exchange.Exchange,
) -> Patience:
    """Returns the pause in a stream after which it is resumed elsewhere."""
    pause_limit_s = exchange.route.pause_limit_s or STALL_TIMEOUT_MIN_S
    return Patience(
        usual_s=max(STALL_TIMEOUT_MIN_S, STALL_TIMEOUT_FACTOR * pause_limit_s),
        suspected_s=max(pause_limit_s, SUSPECTED_TIMEOUT_S),
    )


def choose_first_event_patience(
    exchange: http_exchange.Exchange, placement: messages.Placement
) -> Patience:
    """Returns the timeout of the response head of an attempt."""
    if exchange.route.kind is types.RequestKind.STREAM:
        expected_s = placement.expected_first_s
        return Patience(
            usual_s=FIRST_EVENT_TIMEOUT_FACTOR * expected_s
            + FIRST_EVENT_TIMEOUT_SLACK_S,
            suspected_s=SUSPECTED_FIRST_EVENT_FACTOR * expected_s
            + SUSPECTED_TIMEOUT_S,
        )
    target_s = exchange.route.target_latency_s
    return Patience(PLAIN_TIMEOUT_FACTOR * target_s, target_s)
