"""What a request needs, and what is decided about it."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core import ids

OUTPUT_TOKEN_VALUE = 10
"""Worth of an output token against a prompt token, as users weigh them."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What one request needs of an endpoint.

    Attributes:
        request_id: Id of the request, for logs.
        service: Service that runs it.
        prompt_tokens: Length of its prompt; 0 for a plain service.
        output_tokens: Tokens that it is expected to write.
        on_time_at_s: Monotonic time until which an answer, or the first event
            of a stream, is on time.
        deadline_at_s: Monotonic time at which it is given up.
        pause_limit_s: Longest pause between events that is on time.
        priority: Rank; 0 is the highest.
        avoided: Endpoints that it was sent to before.
        is_retry: Whether it was sent to an endpoint before.
        regions: Regions that may run it; empty means all.
    """

    request_id: ids.RequestId
    service: ids.ServiceId
    prompt_tokens: int
    output_tokens: int
    on_time_at_s: float
    deadline_at_s: float
    pause_limit_s: float
    priority: int = 0
    avoided: frozenset[ids.EndpointId] = frozenset()
    is_retry: bool = False
    regions: frozenset[ids.RegionId] = frozenset()

    @property
    def memory_tokens(self) -> int:
        """Engine memory in tokens that it needs in all."""
        return self.prompt_tokens + self.output_tokens

    @property
    def value(self) -> float:
        """Worth against other requests, in prompt tokens."""
        return max(
            self.prompt_tokens + OUTPUT_TOKEN_VALUE * self.output_tokens, 1
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that reads a part of a prompt for another one.

    Attributes:
        endpoint: The engine.
        address: Its host and port.
        reserved_tokens: Memory to reserve there; 0 for none.
    """

    endpoint: ids.EndpointId
    address: str
    reserved_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Permission to send a request to an endpoint now.

    Attributes:
        endpoint: The endpoint.
        address: Its host and port.
        helpers: Engines that read parts of the prompt.
        expected_first_s: Expected time to the answer or the first event.
        reason: Why this endpoint was chosen, for logs.
    """

    endpoint: ids.EndpointId
    address: str
    helpers: tuple[Helper, ...]
    expected_first_s: float
    reason: str


class RefusalReason(enum.Enum):
    """Why a request is not run."""

    NO_ENDPOINT = "no_endpoint"
    TOO_LARGE = "too_large"
    NO_TIME = "no_time"
    REPEAT_BUDGET = "repeat_budget_spent"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The request was not sent to any endpoint.

    Attributes:
        reason: Why.
        retry_after_s: When room is expected.
    """

    reason: RefusalReason
    retry_after_s: float


Decision = Placement | Refusal


class Result(enum.Enum):
    """How a request that was sent to an endpoint ended."""

    DONE = "done"
    FAILED = "failed"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    GIVEN_UP = "given_up"
