"""Which endpoints are worth sending to, from how requests to them ended.

Load pattern: endpoints that die, hang or flap while their entries and health
checks still say that they are ready.
"""

from __future__ import annotations

import dataclasses

from poplarwick_placement import messages

FULL_PAUSE_S = 0.05
"""Pause after a refusal for lack of room; about one pass of an engine."""

FIRST_PAUSE_S = 0.5
"""Pause after a first failure; doubles with each further one."""

LONGEST_PAUSE_S = 4.0
"""Longest pause, about as long as an endpoint takes to come back."""

FORGIVE_AFTER_S = 10.0
"""Time without a failure after which earlier ones are forgotten; over twice the
longest pause, so that an endpoint that goes down and up by turns is trusted
more slowly each time."""

FULL_PAUSE_MAX_S = 1.0
"""Longest such pause; an endpoint that refuses everything is asked once a
second."""

MISSED_REPORTS = 2
"""Reports in a row without an answer after which an endpoint counts as lost;
one may be lost on the way."""

GOOD_FOR_S = 1.5
"""Time for which a request that went well outweighs missed reports: they may
be missed on the way to this instance only."""

FAILURE_WEIGHT = 0.1
"""Weight of the newest answer in the share of failures; about ten answers
tell an endpoint that fails two in five from its peers."""

FAILURES = frozenset(
    {
        messages.Result.UNREACHABLE,
        messages.Result.SILENT,
        messages.Result.BROKEN,
    }
)


@dataclasses.dataclass(slots=True)
class Trust:
    """What past requests say of one endpoint.

    Attributes:
        paused_until_s: Time before which it gets no new request.
        strikes: Failures that are not forgotten.
        failed_at_s: When the last one was.
        on_probation: Whether it gets one request at a time.
        refusals: Refusals for lack of room in a row.
        missed_reports: Reports in a row that were not answered.
        good_at_s: When a request last went well here.
        failure_share: Weighted share of answers that were failures.
        is_replaced: Whether another endpoint was found at its address; this
            start of it is gone for good.
    """

    paused_until_s: float = 0.0
    strikes: int = 0
    failed_at_s: float = 0.0
    on_probation: bool = False
    refusals: int = 0
    missed_reports: int = 0
    good_at_s: float = 0.0
    failure_share: float = 0.0
    is_replaced: bool = False

    @property
    def is_lost(self) -> bool:
        """Whether its reports are not answered."""
        return self.missed_reports >= MISSED_REPORTS

    def note(self, result: messages.Result, now_s: float) -> None:
        """Learns from the end of a request."""
        if result is messages.Result.FULL:
            pause_s = min(FULL_PAUSE_S * 2**self.refusals, FULL_PAUSE_MAX_S)
            self.refusals += 1
            self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        elif result is messages.Result.MISDIRECTED:
            self.is_replaced = True
        elif result in FAILURES:
            if now_s - self.failed_at_s > FORGIVE_AFTER_S:
                self.strikes = 0
            self.failed_at_s = now_s
            pause_s = min(FIRST_PAUSE_S * 2**self.strikes, LONGEST_PAUSE_S)
            self.strikes += 1
            self.on_probation = True
            self.paused_until_s = now_s + pause_s
        elif result in (messages.Result.DONE, messages.Result.FAILED):
            failed = result is messages.Result.FAILED
            self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
            self.refusals = 0
            self.on_probation = False
            self.good_at_s = now_s

    def note_first(self, now_s: float) -> None:
        """Learns from a first event."""
        self.good_at_s = now_s

    def note_report(self, *, answered: bool) -> None:
        """Learns whether a report was answered."""
        self.missed_reports = 0 if answered else self.missed_reports + 1

    def allows(self, running: int, now_s: float) -> bool:
        """Tells whether a further request may be sent."""
        if self.is_replaced or now_s < self.paused_until_s:
            return False
        if self.is_lost and now_s - self.good_at_s > GOOD_FOR_S:
            return False
        return not self.on_probation or running == 0
