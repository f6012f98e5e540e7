"""Health of an endpoint, derived from the results of requests sent to it.

Load pattern: endpoints that crash, hang or flap while their entries and health
checks still report them as ready.
"""

from __future__ import annotations

import dataclasses

from poplarwick_placement import messages

FULL_BACKOFF_S = 0.05
"""Backoff after a refusal for lack of capacity; about one engine iteration."""

INITIAL_BACKOFF_S = 0.5
"""Backoff after a first failure; doubles with each further one."""

MAX_BACKOFF_S = 4.0
"""Longest backoff after failures; about the time in which an endpoint
recovers."""

FAILURE_RESET_S = 10.0
"""Time without a failure after which the failure count is reset; more than
twice the longest backoff, so that the backoff of a flapping endpoint grows with
each cycle."""

MAX_FULL_BACKOFF_S = 1.0
"""Longest backoff after refusals; an endpoint that refuses everything gets one
request a second."""

UNRESPONSIVE_AFTER_REPORTS = 2
"""Consecutive unanswered reports after which an endpoint counts as
unresponsive; a single one may be lost in the network."""

RECENT_SUCCESS_S = 1.5
"""Time for which a successful request outweighs missed reports: these may be
lost between the endpoint and this instance only."""

FAILURE_WEIGHT = 0.1
"""Weight of the newest answer in the share of failures; about ten answers
distinguish an endpoint that fails two in five from its peers."""

FAILURE_RESULTS = frozenset(
    {
        messages.Result.UNREACHABLE,
        messages.Result.SILENT,
        messages.Result.BROKEN,
    }
)


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """Health of one endpoint.

    Attributes:
        backoff_until_s: Monotonic time before which no new request is sent.
        failure_count: Failures since the last reset.
        last_failure_at_s: Monotonic time of the last failure.
        is_half_open: Whether only one request at a time is sent.
        refusal_count: Consecutive refusals for lack of capacity.
        missed_report_count: Consecutive unanswered reports.
        last_success_at_s: Monotonic time of the last successful answer or
            first event.
        failure_share: Moving average of the share of failed answers.
        is_replaced: Whether another endpoint was found at the address; this
            start of the endpoint never comes back.
    """

    backoff_until_s: float = 0.0
    failure_count: int = 0
    last_failure_at_s: float = 0.0
    is_half_open: bool = False
    refusal_count: int = 0
    missed_report_count: int = 0
    last_success_at_s: float = 0.0
    failure_share: float = 0.0
    is_replaced: bool = False

    @property
    def is_unresponsive(self) -> bool:
        """Whether the endpoint does not answer reports."""
        return self.missed_report_count >= UNRESPONSIVE_AFTER_REPORTS

    def record_result(self, result: messages.Result, now_s: float) -> None:
        """Updates the health with the result of a request."""
        if result is messages.Result.FULL:
            backoff_s = min(
                FULL_BACKOFF_S * 2**self.refusal_count, MAX_FULL_BACKOFF_S
            )
            self.refusal_count += 1
            self.backoff_until_s = max(self.backoff_until_s, now_s + backoff_s)
        elif result is messages.Result.MISDIRECTED:
            self.is_replaced = True
        elif result in FAILURE_RESULTS:
            if now_s - self.last_failure_at_s > FAILURE_RESET_S:
                self.failure_count = 0
            self.last_failure_at_s = now_s
            backoff_s = min(
                INITIAL_BACKOFF_S * 2**self.failure_count, MAX_BACKOFF_S
            )
            self.failure_count += 1
            self.is_half_open = True
            self.backoff_until_s = now_s + backoff_s
        elif result in (messages.Result.DONE, messages.Result.FAILED):
            failed = result is messages.Result.FAILED
            self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
            self.refusal_count = 0
            self.is_half_open = False
            self.last_success_at_s = now_s

    def record_first_event(self, now_s: float) -> None:
        """Records the first event of a request as a success."""
        self.last_success_at_s = now_s

    def record_report(self, *, answered: bool) -> None:
        """Records whether a report was answered."""
        self.missed_report_count = (
            0 if answered else self.missed_report_count + 1
        )

    def allows_request(self, running_count: int, now_s: float) -> bool:
        """Returns whether a further request may be sent."""
        if self.is_replaced or now_s < self.backoff_until_s:
            return False
        if (
            self.is_unresponsive
            and now_s - self.last_success_at_s > RECENT_SUCCESS_S
        ):
            return False
        return not self.is_half_open or running_count == 0
