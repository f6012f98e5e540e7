"""Ejects endpoints after consecutive failures (outlier ejection)."""

from __future__ import annotations

from collections.abc import Callable

CONSECUTIVE_FAILURES = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5


class EndpointHealth:
    """Counts consecutive failures of one endpoint and ejects it.

    Args:
        now_s: Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0

    @property
    def is_ejected(self) -> bool:
        """Whether the endpoint is ejected and must receive no new requests."""
        return self._now_s() < self._ejected_until_s

    def record_response(self) -> None:
        """Records a response of the control protocol.

        Resets the failure count but does not end an ejection, because an
        engine that responds to control calls can still fail its streams.
        """
        self._failures = 0

    def record_success(self) -> None:
        """Records a completed request; ends an ejection."""
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0

    def record_failure(self) -> None:
        """Records a failure; ejects after `CONSECUTIVE_FAILURES` in a row.

        Each further ejection lasts twice as long, up to `MAX_EJECTION_S`.
        """
        self._failures += 1
        if self._failures < CONSECUTIVE_FAILURES or self.is_ejected:
            return
        period_s = min(BASE_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self._failures = CONSECUTIVE_FAILURES - 1
        self._ejected_until_s = self._now_s() + period_s
