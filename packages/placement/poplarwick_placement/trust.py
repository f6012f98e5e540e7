"""Which endpoints are worth sending to, from how requests to them ended.

Load pattern: endpoints that die, hang or flap while their entries and health
checks still say that they are ready.
"""

from __future__ import annotations

import dataclasses

from poplarwick_placement import work

FULL_PAUSE_S = 0.05
"""Pause after a refusal for lack of room; about one pass of an engine."""

FIRST_PAUSE_S = 0.5
"""Pause after a first failure; doubles with each further one."""

LONGEST_PAUSE_S = 4.0
"""Longest pause, about as long as an endpoint takes to come back."""

FAILURES = frozenset(
    {
        work.Result.UNREACHABLE,
        work.Result.SILENT,
        work.Result.BROKEN,
        work.Result.MISDIRECTED,
    }
)


@dataclasses.dataclass(slots=True)
class Trust:
    """What past requests say of one endpoint.

    Attributes:
        paused_until_s: Time before which it gets no new request.
        strikes: Failures since the last request that ended well.
        on_probation: Whether it gets one request at a time.
    """

    paused_until_s: float = 0.0
    strikes: int = 0
    on_probation: bool = False

    def note(self, result: work.Result, now_s: float) -> None:
        """Learns from the end of a request."""
        if result is work.Result.FULL:
            self.paused_until_s = max(self.paused_until_s, now_s + FULL_PAUSE_S)
        elif result in FAILURES:
            pause_s = min(FIRST_PAUSE_S * 2**self.strikes, LONGEST_PAUSE_S)
            self.strikes += 1
            self.on_probation = True
            self.paused_until_s = now_s + pause_s
        elif result is work.Result.DONE:
            self.strikes = 0
            self.on_probation = False

    def allows(self, running: int, now_s: float) -> bool:
        """Tells whether a further request may be sent."""
        if now_s < self.paused_until_s:
            return False
        return not self.on_probation or running == 0
