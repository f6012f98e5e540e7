"""Endpoints of one service, indexed by what a placement decision asks for.

Load pattern: hundreds of endpoints and a hundred requests a second. A decision
that examined every endpoint would take the placer's whole core, so endpoints
are grouped by free slots and moved between groups when their load changes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import cold_start_limiter
from poplarwick_placement import endpoint_health
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import rate_limiter


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used.

    Attributes:
        endpoint: The endpoint.
        profile: Profile of the engine; None for a plain service.
        is_open: Whether the endpoint accepts new requests.
        cold_until_s: Monotonic time until which the endpoint is cold.
        cold_limit: Most sends in a second while the endpoint is cold.
        region: Region of the endpoint; None if unknown.
        rate_limit: Rate of requests that it takes; None without a limit.
    """

    endpoint: types.Endpoint
    profile: types.EngineProfile | None
    is_open: bool
    cold_until_s: float
    cold_limit: float
    region: ids.RegionId | None = None
    rate_limit: rate_limiter.RateLimit | None = None


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """What a scheduler knows about one endpoint.

    Attributes:
        candidate: The endpoint and its limits.
        load: Allocations on the endpoint.
        health: Health derived from the results of requests.
        cold_limiter: Limits the sends while the endpoint is cold.
        send_limiter: Limits the sends to the rate that the endpoint takes;
            None without a limit.
        last_report_at_s: Monotonic time of its last report.
    """

    candidate: Candidate
    load: loads.EndpointLoad
    health: endpoint_health.EndpointHealth
    cold_limiter: cold_start_limiter.ColdStartLimiter
    send_limiter: rate_limiter.Limiter | None = None
    last_report_at_s: float = 0.0

    def set_rate_limit(self, limit: rate_limiter.RateLimit | None) -> None:
        """Replaces the rate that the endpoint takes."""
        if limit is None:
            self.send_limiter = None
        elif self.send_limiter is None:
            self.send_limiter = rate_limiter.make_limiter(limit)
        else:
            self.send_limiter.set_limit(limit)

    def record_send(self, now_s: float) -> None:
        """Counts a request towards the limits of the endpoint."""
        if now_s < self.candidate.cold_until_s:
            self.cold_limiter.record_send(now_s)
        if self.send_limiter is not None:
            self.send_limiter.record_send(now_s)

    def allows_rate(self, now_s: float) -> bool:
        """Returns whether the endpoint takes one more request now."""
        return self.send_limiter is None or self.send_limiter.allows_send(now_s)

    def is_healthy(self, now_s: float) -> bool:
        """Returns whether the results so far allow a further request."""
        return self.health.allows_request(self.load.running_count, now_s)

    def allows_cold_start(self, now_s: float) -> bool:
        """Returns whether the endpoint is warm or may get one more request."""
        return (
            now_s >= self.candidate.cold_until_s
            or self.cold_limiter.allows_send(now_s)
        )


def make_state(candidate: Candidate) -> EndpointState:
    """Returns the state of an endpoint without load."""
    return EndpointState(
        candidate,
        loads.EndpointLoad(candidate.endpoint, candidate.profile),
        endpoint_health.EndpointHealth(),
        cold_start_limiter.ColdStartLimiter(candidate.cold_limit),
    )


class ServicePool:
    """The open endpoints of one service, in groups of equal preference.

    Attributes:
        states: The open endpoints, in the order of the candidates.
    """

    def __init__(self) -> None:
        self.states: list[EndpointState] = []
        self._numbers: dict[ids.EndpointId, int] = {}
        self._groups: dict[tuple[bool, int], dict[int, EndpointState]] = {}
        self._group_by_number: list[tuple[bool, int] | None] = []

    @property
    def engine_tokens(self) -> int:
        """Memory that may be allocated on an engine; 0 without engines."""
        return self.states[0].load.allocatable_tokens if self.states else 0

    def add(self, state: EndpointState) -> None:
        """Adds an open endpoint behind all others."""
        number = len(self.states)
        self.states.append(state)
        self._numbers[state.candidate.endpoint.id] = number
        self._group_by_number.append(None)
        self._move(number, state)

    def update(self, state: EndpointState) -> None:
        """Moves an endpoint to the group that its load asks for."""
        number = self._numbers.get(state.candidate.endpoint.id)
        if number is not None:
            self._move(number, state)

    def find_free(self, endpoint: ids.EndpointId) -> EndpointState | None:
        """Returns an endpoint if it has a free slot."""
        number = self._numbers[endpoint]
        if self._group_by_number[number] is None:
            return None
        return self.states[number]

    def iter_groups(
        self, is_usable: Callable[[EndpointState], bool]
    ) -> Iterator[Iterator[loads.EndpointLoad]]:
        """Yields the usable endpoints with free slots, the preferred first.

        Endpoints of one group are in the order of the candidates.

        Args:
            is_usable: Returns whether an endpoint may run the request.
        """
        for preference in sorted(self._groups):
            group = self._groups[preference]
            yield (
                group[number].load
                for number in sorted(group)
                if is_usable(group[number])
            )

    def _move(self, number: int, state: EndpointState) -> None:
        load = state.load
        new = packing.get_preference(load) if load.free_slots > 0 else None
        old = self._group_by_number[number]
        if new == old:
            return
        if old is not None:
            del self._groups[old][number]
            if not self._groups[old]:
                del self._groups[old]
        if new is not None:
            self._groups.setdefault(new, {})[number] = state
        self._group_by_number[number] = new


class RequestCandidates:
    """Endpoints of a pool that one request may use at one moment.

    Implements `packing.Candidates`.

    Args:
        pool: Endpoints of the request's service.
        request: The request.
        now_s: Monotonic time.
        view: Returns a snapshot of an endpoint's load.
    """

    def __init__(
        self,
        pool: ServicePool,
        request: messages.PlacementRequest,
        now_s: float,
        view: Callable[[loads.EndpointLoad], loads.LoadView],
    ) -> None:
        self.view = view
        self._pool = pool
        self._request = request
        self._now_s = now_s
        self._is_restricted = bool(request.avoided or request.regions)
        # If no endpoint is healthy, the network is the likelier cause.
        self._ignores_health = not any(
            self._is_allowed(state) and state.is_healthy(now_s)
            for state in pool.states
        )

    @property
    def allowed_states(self) -> Sequence[EndpointState]:
        """Open endpoints that the request itself does not exclude."""
        if not self._is_restricted:
            return self._pool.states
        return [s for s in self._pool.states if self._is_allowed(s)]

    def has_allowed(self) -> bool:
        """Returns whether the request excludes less than all endpoints."""
        return any(self._is_allowed(state) for state in self._pool.states)

    def iter_groups(self) -> Iterator[Iterator[loads.EndpointLoad]]:
        """Yields the endpoints that may run the request now, in groups."""
        return self._pool.iter_groups(
            lambda state: (
                self._is_usable(state)
                and state.allows_cold_start(self._now_s)
                and state.allows_rate(self._now_s)
            )
        )

    def view_helpers(self) -> list[loads.LoadView]:
        """Returns the endpoints that may prefill a part of the prompt."""
        view, now_s = self.view, self._now_s
        return [
            state.load.steady_view or view(state.load)
            for state in self._find_usable()
            if state.send_limiter is None or state.allows_rate(now_s)
        ]

    def may_run(self, load: loads.EndpointLoad) -> bool:
        """Returns whether one of these may also run the request."""
        state = self._pool.find_free(load.endpoint.id)
        return state is not None and state.allows_cold_start(self._now_s)

    def _find_usable(self) -> Sequence[EndpointState]:
        if self._ignores_health:
            return self.allowed_states
        now_s = self._now_s
        return [
            state
            for state in self.allowed_states
            # Nearly all are known to be well without a call for each.
            if (
                (health := state.health).backoff_until_s <= now_s
                and not health.missed_report_count
                and not health.is_half_open
                and not health.is_replaced
            )
            or state.is_healthy(now_s)
        ]

    def _is_usable(self, state: EndpointState) -> bool:
        return self._is_allowed(state) and (
            self._ignores_health or state.is_healthy(self._now_s)
        )

    def _is_allowed(self, state: EndpointState) -> bool:
        if not self._is_restricted:
            return True
        request = self._request
        return state.candidate.endpoint.id not in request.avoided and (
            not request.regions or state.candidate.region in request.regions
        )
