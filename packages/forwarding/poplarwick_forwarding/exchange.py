"""One request of a caller with what is known of it."""

from __future__ import annotations

import dataclasses

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_forwarding import admission
from poplarwick_forwarding import dialect
from poplarwick_placement import messages

NOWHERE = frozenset({ids.RegionId("")})
"""Stands for no region at all: no endpoint is in it."""

RESUME_AIM_S = 0.5
"""Time in which a broken stream should go on: callers see a pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request that was admitted.

    Attributes:
        call: What its headers tell.
        admitted: Its route and organisation.
        service: Service that runs it.
        method: Its method.
        target: Path and query as sent.
        headers: Headers that are passed on.
        body: Its whole body.
        received_at_s: Monotonic time at which it arrived.
        ends_at_s: Monotonic time at which it must have its final answer.
    """

    call: dialect.Call
    admitted: admission.Admitted
    service: ids.ServiceId
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at_s: float
    ends_at_s: float

    @property
    def route(self) -> types.Route:
        """Route of the request."""
        return self.admitted.route

    def make_work(
        self,
        avoided: frozenset[ids.EndpointId],
        *,
        resumes_at_s: float | None,
        is_repeat: bool,
    ) -> messages.PlacementRequest:
        """Returns what the request needs of an endpoint.

        Args:
            avoided: Endpoints that it should not run on.
            resumes_at_s: When its stream broke; None for a new run.
            is_repeat: Whether it was sent to an endpoint before.
        """
        on_time_at_s = self.received_at_s + self.route.target_latency_s
        if resumes_at_s is not None:
            on_time_at_s = resumes_at_s + RESUME_AIM_S
        regions = self.admitted.regions
        pause_limit_s = self.route.pause_limit_s
        return messages.PlacementRequest(
            request_id=self.call.request,
            service=self.service,
            prompt_tokens=self.call.prompt_tokens,
            output_tokens=self.call.output_tokens,
            on_time_at_s=on_time_at_s,
            deadline_at_s=self.ends_at_s,
            pause_limit_s=pause_limit_s or self.route.timeout_s,
            priority=self.admitted.priority,
            avoided=avoided,
            is_retry=is_repeat,
            regions=regions if regions is not None else NOWHERE,
        )


def make_end_s(
    route: types.Route, call: dialect.Call, received_at_s: float
) -> float:
    """Returns when a request must have its final answer."""
    left_s = route.timeout_s
    if call.time_left_s is not None:
        left_s = min(left_s, call.time_left_s)
    return received_at_s + left_s
