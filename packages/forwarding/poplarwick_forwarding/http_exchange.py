"""A caller's admitted request and its deadline."""

from __future__ import annotations

import dataclasses

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_forwarding import admission
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import dialect
from poplarwick_placement import messages

NO_REGIONS = frozenset({ids.RegionId("")})
"""Excludes all regions: no endpoint is in the region with the empty id."""

TIMER_TOLERANCE_S = 0.005
"""Time by which a timer may fire before its deadline."""

RESUME_TARGET_S = 0.5
"""Time in which a broken stream should be resumed; callers see a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """An admitted request.

    Attributes:
        metadata: Parsed headers of the request.
        admission: Route and organisation of the request.
        service: Service that runs the request.
        method: HTTP method.
        target: Path and query as received.
        headers: Headers to forward.
        body: The complete body.
        fingerprint: What all copies of the request have in common.
        received_at_s: Monotonic time at which the request arrived.
        deadline_at_s: Monotonic time by which the caller must have the
            complete response.
        held: Counts the data that is buffered for the request.
        engine: Profile of the service's engines; None for a plain service.
    """

    metadata: dialect.RequestMetadata
    admission: admission.Admission
    service: ids.ServiceId
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    fingerprint: ids.RequestFingerprint
    received_at_s: float
    deadline_at_s: float
    held: buffer_budget.HeldBytes
    engine: types.EngineProfile | None = None

    @property
    def route(self) -> types.Route:
        """Route of the request."""
        return self.admission.route

    @property
    def tokens_per_event(self) -> int:
        """Output tokens in an event of a stream; 0 for a plain service."""
        return 0 if self.engine is None else self.engine.stride

    def is_over(self, now_s: float) -> bool:
        """Returns whether the deadline has passed, by a timer."""
        return now_s >= self.deadline_at_s - TIMER_TOLERANCE_S

    def make_placement_request(
        self,
        avoided: frozenset[ids.EndpointId],
        *,
        broken_at_s: float | None,
        is_retry: bool,
        was_placed: bool,
        unreachable: frozenset[ids.EndpointId],
        was_cut_off: bool,
    ) -> messages.PlacementRequest:
        """Returns the request for a placement of the next attempt.

        Args:
            avoided: Endpoints that the attempt must avoid.
            broken_at_s: Monotonic time at which the stream broke; None if it
                did not.
            is_retry: Whether an endpoint has received the request before.
            was_placed: Whether there was an earlier attempt.
            unreachable: Endpoints that could not be connected.
            was_cut_off: Whether an endpoint cut an answer off that had just
                begun.
        """
        on_time_at_s = self.received_at_s + self.route.target_latency_s
        if broken_at_s is not None:
            on_time_at_s = broken_at_s + RESUME_TARGET_S
        regions = self.admission.regions
        pause_limit_s = self.route.pause_limit_s
        organisation = self.admission.organisation
        return messages.PlacementRequest(
            request_id=self.metadata.request_id,
            service=self.service,
            prompt_tokens=self.metadata.prompt_tokens,
            output_tokens=self.metadata.output_tokens,
            on_time_at_s=on_time_at_s,
            deadline_at_s=self.deadline_at_s,
            pause_limit_s=pause_limit_s or self.route.timeout_s,
            priority=self.admission.priority,
            avoided=avoided,
            is_retry=is_retry,
            was_placed=was_placed,
            unreachable=unreachable,
            regions=regions if regions is not None else NO_REGIONS,
            shared_parts=self.metadata.shared_parts,
            was_cut_off=was_cut_off,
            fingerprint=self.fingerprint,
            organisation=organisation.id
            if organisation is not None
            else ids.OrganisationId(""),
            route=self.route.name,
            output_limit_tokens=self.metadata.output_limit_tokens,
        )


def calculate_deadline_s(
    route: types.Route,
    metadata: dialect.RequestMetadata,
    received_at_s: float,
) -> float:
    """Returns the monotonic time of a request's deadline."""
    timeout_s = route.timeout_s
    if metadata.time_left_s is not None:
        timeout_s = min(timeout_s, metadata.time_left_s)
    return received_at_s + timeout_s
