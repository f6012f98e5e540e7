"""Takes engines that fall silent for crashed ones.

Load pattern: a request crashes engines together with their hosts. Connections
stay open, nothing arrives on them any more, and the requests wait until their
deadlines, so that no answer is cut off. Busy engines are silent as well, but
answer reports; whole failure domains fall silent when a link is cut.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from poplarwick_placement import messages
from poplarwick_placement import running_requests
from poplarwick_placement import service_pool


class SilentRequest(NamedTuple):
    """A request of an engine that has fallen silent.

    Attributes:
        request: The request.
        written_s: Time from its first event to the last sign of life of the
            engine; None without an event.
        silent_since_s: Monotonic time from which on the engine can have
            crashed on it: when it was placed, or the last sign of life.
    """

    request: messages.PlacementRequest
    written_s: float | None
    silent_since_s: float


def find_silent_requests(
    state: service_pool.EndpointState,
    running: running_requests.RunningRequests,
) -> Iterator[SilentRequest]:
    """Finds what an engine ran that answers neither requests nor reports.

    Args:
        state: The engine.
        running: Running requests of all engines.
    """
    last_sign_at_s = max(state.last_report_at_s, state.health.last_success_at_s)
    for key, allocation in state.load.primary_allocations.items():
        request = running.get(key)
        if request is None:
            continue
        written_s = None
        if allocation.first_event_at_s is not None:
            written_s = max(last_sign_at_s - allocation.first_event_at_s, 0.0)
        yield SilentRequest(
            request.request,
            written_s,
            max(last_sign_at_s, allocation.allocated_at_s),
        )


def may_have_ended(
    state: service_pool.EndpointState, key: running_requests.Key
) -> bool:
    """Returns whether an engine may have ended on an answer that has begun.

    It has not if it reported after the first events. Of endpoints that have
    never reported nothing is known until they miss a report.

    Args:
        state: The engine.
        key: The request.
    """
    allocation = state.load.primary_allocations.get(key)
    if allocation is None or allocation.first_event_at_s is None:
        return False
    if state.health.missed_report_count:
        return True
    written_at_s = allocation.first_event_at_s + messages.ANSWER_START_S
    return 0.0 < state.last_report_at_s < written_at_s
