"""Limits how long an attempt waits for an unresponsive endpoint.

Load pattern: endpoints that crash or hang without closing connections, while
another endpoint could still complete their requests, some of them on time.
"""

from __future__ import annotations

import asyncio

from poplarwick_core import clock

SUSPECTED_TIMEOUT_S = 0.25
"""Timeout for an endpoint that other instances also find unresponsive; a
healthy one sends an event every iteration, which takes about 50 ms."""


class ResponseTimeout:
    """Limits the wait for the next data of one endpoint.

    Args:
        timer: Timer that ends the attempt.
        is_limited: Whether the request may be retried at another endpoint; if
            not, the wait is unlimited.
    """

    def __init__(self, timer: asyncio.Timeout, *, is_limited: bool) -> None:
        self._timer = timer
        self._is_limited = is_limited
        self._suspected_timeout_s: float | None = None

    def start(self, timeout_s: float) -> None:
        """Starts the wait for the next data of the endpoint."""
        if not self._is_limited:
            return
        if self._suspected_timeout_s is not None:
            timeout_s = min(timeout_s, self._suspected_timeout_s)
        self._timer.reschedule(clock.now_s() + timeout_s)

    def suspend(self) -> None:
        """Stops the timer while data is written to a slow caller."""
        if self._is_limited:
            self._timer.reschedule(None)

    def record_suspicion(self) -> None:
        """Shortens the timeout because other instances suspect the endpoint."""
        self._suspected_timeout_s = SUSPECTED_TIMEOUT_S
        if self._timer.when() is not None:
            self.start(SUSPECTED_TIMEOUT_S)
