"""Ejects endpoints that fail in a row."""

from __future__ import annotations

from collections.abc import Callable

FAILURES = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5


class Health:
    """Counts failures in a row of one endpoint.

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
        """Whether the endpoint should receive no new work for now."""
        return self._now_s() < self._ejected_until_s

    def note_answer(self) -> None:
        """Counts an answer of the control protocol.

        It ends the count of failures but not an ejection: an engine that
        answers control calls can still fail its streams.
        """
        self._failures = 0

    def note_success(self) -> None:
        """Counts a whole answer; it ends an ejection."""
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0

    def note_failure(self) -> None:
        """Counts a failure; several in a row eject the endpoint."""
        self._failures += 1
        if self._failures < FAILURES or self.is_ejected:
            return
        period_s = min(EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self._failures = FAILURES - 1
        self._ejected_until_s = self._now_s() + period_s
