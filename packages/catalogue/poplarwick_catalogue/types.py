"""Types of the routing configuration and of endpoints."""

from __future__ import annotations

import dataclasses
import enum
from typing import NewType

from poplarwick_core import ids

RouteName = NewType("RouteName", str)
"""Name of a route, unique within one configuration."""

ApiKey = NewType("ApiKey", str)
"""Secret that identifies the organisation of a request."""


class RequestKind(enum.Enum):
    """Kind of a route's requests, which decides how they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Service that receives a share of a route's requests.

    Attributes:
        service: The service.
        weight: Share of the requests relative to the other destinations.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests to one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without a port.
        path_prefix: Path prefix; begins and ends with a slash.
        kind: Kind of the requests.
        timeout_s: Time limit for answering a caller.
        target_latency_s: Time limit for an answer, or the first event of a
            stream, to count as on time.
        priority: Priority of the requests; 0 is the highest.
        destinations: Services with their weights; never empty.
        max_attempts: Number of endpoints that one request may be sent to.
        is_public: Whether requests need no API key.
        may_resume: Whether a broken stream may be resumed at another endpoint.
        pause_limit_s: Longest pause between events that counts as on time;
            None if the route has no limit.
        regions: Regions that may run the requests; empty means all.
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
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.may_resume


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance profile of the model engines of a service.

    Attributes:
        slots: Batch slots of an engine.
        memory_tokens: KV-cache capacity of an engine in tokens.
        step_s: Base time of one token step.
        step_per_sequence_s: Added time of a step per decoding request.
        step_per_context_token_s: Added time of a step per context token of the
            decoding requests.
        prefill_tokens_per_s: Prompt tokens prefilled per second.
        prefill_pair_s: Added prefill time per pair of a token and an earlier
            token.
        chunk_tokens: Largest number of prompt tokens prefilled in one step.
        stride: Steps of an iteration that includes decoding requests.
        hop_s: Added time of a step whose prompt is spread over engines.
        report_lag_s: Age of the data in an engine's report.
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
    """Group of endpoints that serve the same requests.

    Attributes:
        id: The service.
        health_path: Path of an endpoint's health check.
        max_connections: Connections that an endpoint accepts in total.
        cold_start_s: Time for which an endpoint stays cold after its start.
        cold_requests_per_s: Requests per second that a cold endpoint
            tolerates.
        engine: Profile of its model engines; None for a plain service.
    """

    id: ids.ServiceId
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    engine: EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for requests of callers.

    Attributes:
        header_bytes: Size limit of a request's header section.
        body_bytes: Size limit of a request's body.
        header_timeout_s: Time limit for receiving a header section.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Customer of the shared fleet.

    Attributes:
        id: The organisation.
        priority: Priority that overrides that of the route, or None.
        regions: Regions that may run its requests; empty means all.
    """

    id: ids.OrganisationId
    priority: int | None
    regions: tuple[ids.RegionId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint; a restart makes another one.

    Attributes:
        endpoint: The endpoint.
        started_at_ms: Unix time of the start in milliseconds; 0 if unknown.
    """

    endpoint: ids.EndpointId
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Running replica of a service.

    Attributes:
        id: Id of the replica, new with each start.
        service: Service that it belongs to.
        address: Host and port.
        domain: Failure domain.
        state: Whether it accepts new requests.
        slots: Requests that it runs concurrently.
        cold_left_s: Time for which it stays cold, as of its entry.
        started_at_ms: Start time as Unix time in milliseconds; 0 if unknown.
        software_version: Version of its software; empty if unknown.
    """

    id: ids.EndpointId
    service: ids.ServiceId
    address: str
    domain: ids.DomainId
    state: EndpointState
    slots: int
    cold_left_s: float
    started_at_ms: int
    software_version: str = ""

    @property
    def start(self) -> EndpointStart:
        """The start that its entry describes."""
        return EndpointStart(self.id, self.started_at_ms)
