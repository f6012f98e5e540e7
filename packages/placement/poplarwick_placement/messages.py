"""Placement requests and the decisions on them."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_core import ids

OUTPUT_TOKEN_WEIGHT = 10
"""Weight of an output token relative to a prompt token, as rated by the
users."""


ANSWER_START_S = 0.5
"""Time of writing up to which an answer has just begun. Engines that a prompt
crashes do so within a few token steps; other answers take seconds."""

UNCUT_ANSWER_S = 1.0
"""Time from the first event after which a running answer counts as written for
a time. Only its instance knows of later events, and an engine may be silent for
half a second before it crashes."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Requirements of one request on an endpoint.

    Attributes:
        request_id: Id of the request, for logs.
        service: Service that runs the request.
        prompt_tokens: Length of the prompt; 0 for a plain service.
        output_tokens: Expected length of the output.
        on_time_at_s: Latest monotonic time at which the answer, or the first
            event of a stream, is on time.
        deadline_at_s: Monotonic time at which the request is abandoned.
        pause_limit_s: Longest pause between events that counts as on time.
        priority: Priority; 0 is the highest.
        avoided: Endpoints that must not run the request again.
        is_retry: Whether an endpoint has received the request before.
        regions: Regions that may run the request; empty means all.
        shared_parts: Parts of the prompt that other requests may share.
        was_cut_off: Whether an endpoint cut its answer off that had just begun.
        fingerprint: What all copies of the request have in common.
        was_placed: Whether the request was placed before, so that it is counted
            already.
        unreachable: Endpoints that could not be connected for the request;
            they are tried again after all others.
        organisation: Organisation of the caller; empty if there is none.
        route: Route of the request; empty if unknown.
        output_limit_tokens: Most output tokens that the caller allows; 0 if
            unknown.
        booked_output_tokens: Output tokens for which memory is allocated; None
            to allocate for `output_tokens`.
        hint_tokens: Length of the output that the caller expects; None if
            `output_tokens` is not an estimate.
        expected_duration_s: Expected duration of a plain call; None without an
            estimate.
        cost_samples: Earlier requests that the estimate relies on; None
            without an estimate.
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
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    was_cut_off: bool = False
    fingerprint: ids.RequestFingerprint | None = None
    was_placed: bool = False
    unreachable: frozenset[ids.EndpointId] = frozenset()
    organisation: ids.OrganisationId = ids.OrganisationId("")
    route: str = ""
    output_limit_tokens: int = 0
    booked_output_tokens: int | None = None
    hint_tokens: int | None = None
    expected_duration_s: float | None = None
    cost_samples: int | None = None

    def limit_booking(self, engine_tokens: int) -> PlacementRequest:
        """Returns the request with a reservation that an empty engine holds.

        A request that fits by its hint is not refused for an estimate.

        Args:
            engine_tokens: Memory of an engine.
        """
        free_tokens = engine_tokens - self.prompt_tokens
        if (
            self.booked_output_tokens is None
            or self.booked_output_tokens <= free_tokens
            or (self.hint_tokens or 0) > free_tokens
        ):
            return self
        return dataclasses.replace(self, booked_output_tokens=free_tokens)

    @property
    def estimated_tokens(self) -> int | None:
        """Estimated length of the output; None without an estimate."""
        return None if self.hint_tokens is None else self.output_tokens

    @property
    def memory_tokens(self) -> int:
        """Engine memory to allocate for prompt and output, in tokens."""
        if self.booked_output_tokens is None:
            return self.prompt_tokens + self.output_tokens
        return self.prompt_tokens + self.booked_output_tokens

    @property
    def weight(self) -> float:
        """Weight relative to other requests, in prompt tokens."""
        return max(
            self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens, 1
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """An engine that prefills a part of a prompt for another engine.

    Attributes:
        endpoint: The engine.
        address: Host and port of the engine.
        reserved_tokens: Memory to reserve on the engine; 0 for none.
    """

    endpoint: ids.EndpointId
    address: str
    reserved_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Permission to send a request to an endpoint now.

    Attributes:
        endpoint: The endpoint.
        address: Host and port of the endpoint.
        helpers: Engines that prefill parts of the prompt.
        expected_first_s: Expected time to the answer or the first event.
        reason: Why this endpoint was chosen, for logs.
        expected_tokens: Expected length of the output; None without an
            estimate.
        cost_samples: Earlier requests that the estimate relies on; None
            without an estimate.
    """

    endpoint: ids.EndpointId
    address: str
    helpers: tuple[Helper, ...]
    expected_first_s: float
    reason: str
    expected_tokens: int | None = None
    cost_samples: int | None = None


class RefusalReason(enum.Enum):
    """Reason for not running a request."""

    NO_ENDPOINT = "no_endpoint"
    TOO_LARGE = "too_large"
    NO_TIME = "no_time"
    REPEAT_BUDGET = "repeat_budget_spent"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityOutlook:
    """What a capacity forecast said about a refused request.

    Attributes:
        served_first: Queued requests that are served before it.
        capacity_in_s: Time until capacity is expected that is kept for the
            caller; None if there is none before its deadline.
    """

    served_first: int
    capacity_in_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Decision not to send a request to any endpoint.

    Attributes:
        reason: Why the request is refused.
        retry_after_s: Time after which capacity is expected.
        outlook: The forecast that decided; None if none did.
    """

    reason: RefusalReason
    retry_after_s: float
    outlook: CapacityOutlook | None = None


Decision = Placement | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """How the answer of an endpoint to a request ended.

    Attributes:
        is_complete: Whether the answer was successful and complete; if not,
            its connection ended before the answer did.
        written_s: Time from the head of the answer to its last event; None
            without a head.
        is_delimited: Whether the answer itself shows where it ends. The end of
            a connection may also be that of its endpoint.
        events: Events of the whole stream up to its end; 0 if it is no stream.
    """

    is_complete: bool
    written_s: float | None
    is_delimited: bool = True
    events: int = 0

    @property
    def had_just_begun(self) -> bool:
        """Whether no or hardly any part of the answer had been written."""
        return self.written_s is None or self.written_s <= ANSWER_START_S

    @property
    def is_conclusive(self) -> bool:
        """Whether the endpoint has certainly served the request."""
        if not self.is_complete:
            return False
        return self.is_delimited or not self.had_just_begun


class Result(enum.Enum):
    """Result of sending a request to an endpoint.

    Attributes:
        DONE: The response is complete and is not a server error.
        FAILED: The endpoint responded with a server error.
        FULL: The endpoint refused the request for lack of capacity.
        MISDIRECTED: Another endpoint has the address.
        UNREACHABLE: No connection could be made.
        SILENT: The endpoint did not respond in time.
        BROKEN: The response was lost, truncated or invalid.
        GIVEN_UP: The request ended for a reason that says nothing about the
            endpoint, such as a caller that disconnects.
    """

    DONE = "done"
    FAILED = "failed"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    GIVEN_UP = "given_up"
