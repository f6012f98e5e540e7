"""What is known of a request over all its attempts."""

from __future__ import annotations

import dataclasses

from poplarwick_coordination import placement_client
from poplarwick_core import ids
from poplarwick_placement import messages


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """State of a request over all its attempts.

    Attributes:
        attempts: Number of attempts so far.
        receipts: Number of attempts whose endpoint was connected.
        executions: Number of attempts that may have run the request.
        is_in_flight: Whether an attempt has been sent and not ended.
        last_event_id: Id of the last event that was sent to the caller.
        broken_at_s: Monotonic time at which the stream broke; None if it did
            not.
        avoided: Endpoints that must not run the request again.
        unreachable: Endpoints that could not be connected.
        sent_at_s: Monotonic time at which the last attempt was sent.
        answered_at_s: Monotonic time of the head of the last attempt's
            response; None if there was none.
        last_event_at_s: Monotonic time of the last event; None before it.
        is_delimited: Whether that response shows itself where it ends.
        events: Number of events that were sent to the caller.
        was_cut_off: Whether an endpoint cut a response off that had just begun.
        next_placement: Placement of the next attempt, if it is known already.
    """

    last_event_id: int | None
    attempts: int = 0
    receipts: int = 0
    executions: int = 0
    is_in_flight: bool = False
    broken_at_s: float | None = None
    avoided: frozenset[ids.EndpointId] = frozenset()
    unreachable: frozenset[ids.EndpointId] = frozenset()
    sent_at_s: float = 0.0
    answered_at_s: float | None = None
    last_event_at_s: float | None = None
    is_delimited: bool = True
    events: int = 0
    was_cut_off: bool = False
    next_placement: placement_client.PlacementOutcome | None = None

    def take_next_placement(self) -> placement_client.PlacementOutcome | None:
        """Returns the placement of the next attempt, once; None if unknown."""
        taken, self.next_placement = self.next_placement, None
        return taken

    @property
    def stream_events(self) -> int:
        """Events of the whole stream, also of those before a resume."""
        return (self.last_event_id or 0) if self.events else 0

    @property
    def written_s(self) -> float | None:
        """Time from the head of that response to its last event."""
        if self.answered_at_s is None:
            return None
        return max((self.last_event_at_s or 0.0) - self.answered_at_s, 0.0)

    def make_answer_end(self, *, is_complete: bool) -> messages.AnswerEnd:
        """Returns how the last attempt's response ended."""
        return messages.AnswerEnd(
            is_complete, self.written_s, self.is_delimited, self.stream_events
        )
