"""What is known of a request over all its attempts."""

from __future__ import annotations

import dataclasses

from poplarwick_core import ids


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
        events: Number of events that were sent to the caller.
        was_cut_off: Whether an endpoint cut a response off that had just begun.
    """

    last_event_id: int | None
    attempts: int = 0
    receipts: int = 0
    executions: int = 0
    is_in_flight: bool = False
    broken_at_s: float | None = None
    avoided: frozenset[ids.EndpointId] = frozenset()
    unreachable: frozenset[ids.EndpointId] = frozenset()
    events: int = 0
    was_cut_off: bool = False

    @property
    def stream_events(self) -> int:
        """Events of the whole stream, also of those before a resume."""
        return (self.last_event_id or 0) if self.events else 0
