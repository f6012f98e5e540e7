"""Types of the routing configuration and of the endpoints in service."""

from __future__ import annotations

import dataclasses
import enum
from typing import NewType

from poplarwick_core import ids

RouteName = NewType("RouteName", str)
"""Name of a route, unique within one configuration."""

ApiKey = NewType("ApiKey", str)
"""Secret that tells which organisation a request belongs to."""


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that takes a share of a route's requests.

    Attributes:
        service: The service.
        weight: Share of the requests against the other destinations' weights.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        target_latency_s: Time within which an answer, or the first event of a
            stream, is on time.
        priority: Rank of the requests; 0 is the highest.
        destinations: Services with their shares; never empty.
        max_attempts: Endpoints that one request may be sent to.
        is_public: Whether requests need no key.
        may_resume: Whether a broken stream may go on at another endpoint.
        pause_limit_s: Longest pause between events that is on time; None
            where the route has none.
        regions: Regions that may take the requests; empty means all.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    destinations: tuple[Destination, ...]
    max_attempts: int
    is_public: bool
    may_resume: bool
    pause_limit_s: float | None
    regions: tuple[ids.RegionId, ...] = ()

    @property
    def may_retry(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and size of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        memory_tokens: Tokens that an engine's memory holds.
        step_s: Time of one token step.
        step_per_sequence_s: Further time of a step for each writing request.
        step_per_context_token_s: Further time of a step for each token of
            context of the writing requests.
        prefill_tokens_per_s: Prompt tokens read in a second.
        prefill_pair_s: Further reading time for each pair of a token and an
            earlier one.
        chunk_tokens: Most prompt tokens read in one step.
        stride: Steps of a pass that includes writing requests.
        hop_s: Further time of a step whose prompt lies on several engines.
        report_lag_s: Age of the figures in an engine's report.
    """

    slots: int
    memory_tokens: int
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_pair_s: float
    chunk_tokens: int
    stride: int
    hop_s: float
    report_lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that answer the same requests.

    Attributes:
        id: The service.
        health_path: Path of an endpoint's health check.
        max_connections: Connections that an endpoint accepts in all.
        cold_start_s: Time that an endpoint stays cold after its start.
        cold_requests_per_s: Requests that a cold endpoint bears in a second.
        engine: Profile of its model engines, None for a plain service.
    """

    id: ids.ServiceId
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request's header section.
        body_bytes: Most bytes of a request's body.
        header_timeout_s: Longest time for a header section to arrive.
        idle_timeout_s: Longest time that a connection is kept unused.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer of the shared fleet.

    Attributes:
        id: The organisation.
        priority: Rank that goes before the route's, or None.
        regions: Regions that may take its requests; empty means all.
    """

    id: ids.OrganisationId
    priority: int | None
    regions: tuple[ids.RegionId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One running replica of a service.

    Attributes:
        id: Identity of this start of the replica.
        service: Service that it belongs to.
        address: Host and port.
        domain: Failure domain.
        state: Whether it takes new work.
        slots: Requests that it runs at once.
        cold_left_s: Time that it said to stay cold, as of its entry.
        started_at_ms: Unix time in milliseconds of its start; 0 if not told.
    """

    id: ids.EndpointId
    service: ids.ServiceId
    address: str
    domain: ids.DomainId
    state: EndpointState
    slots: int
    cold_left_s: float
    started_at_ms: int
