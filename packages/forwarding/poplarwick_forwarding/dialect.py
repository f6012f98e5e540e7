"""Interface between forwarding and a platform's protocol dialect.

A dialect maps the names and formats on the wire, towards callers and
endpoints, to the types of this module.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from poplarwick_catalogue import types
from poplarwick_coordination import endpoint_notices
from poplarwick_core import ids
from poplarwick_placement import messages


class HeaderError(ValueError):
    """A request header cannot be parsed; the message names it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Parsed headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller.
        time_left_s: How long the caller waits; None if not given.
        api_key: Key of the caller's organisation; None if not given.
        prompt_tokens: Length of the prompt.
        output_tokens: Expected length of the output.
        output_limit_tokens: Most output tokens that the caller allows; 0 if
            not given.
        last_event_id: Id of the last event that the caller received of the
            stream; None for a new stream.
        shared_parts: Parts of the prompt that other requests may share, in
            the order of the prompt; without the last part, which is the
            request's own.
    """

    request_id: ids.RequestId
    time_left_s: float | None
    api_key: types.ApiKey | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    output_limit_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """What an endpoint is sent in addition to the caller's headers.

    Attributes:
        endpoint: Endpoint that the attempt is addressed to.
        organisation: Organisation of the caller; None if there is none.
        time_left_s: Time after which the endpoint stops working on the
            request.
        last_event_id: Id of the event after which the stream is resumed.
        helpers: Endpoints that prefill parts of the prompt, with the ids of
            the memory reservations there.
    """

    endpoint: ids.EndpointId
    organisation: ids.OrganisationId | None
    time_left_s: float
    last_event_id: int | None
    helpers: tuple[tuple[messages.Helper, str | None], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Parsed status and headers of an endpoint's response.

    Attributes:
        has_not_run: Whether the endpoint states that it did not run the
            request.
        is_misdirected: Whether the address now belongs to another endpoint.
        request_id: Id of the request that is answered; None if not given.
        is_signed: Whether the response has the signature of an endpoint.
        blamed: Address of the endpoint that caused a refusal, if any.
        notice: What the endpoint says about itself.
    """

    has_not_run: bool
    is_misdirected: bool
    request_id: ids.RequestId | None
    is_signed: bool
    blamed: str | None
    notice: endpoint_notices.Notice = endpoint_notices.Notice()


class Dialect(Protocol):
    """Names and formats of a platform's requests and responses."""

    replaced_headers: frozenset[str]
    """Request headers, in lower case, that are not forwarded as received."""

    def parse_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Parses the headers of a caller's request.

        Raises:
            HeaderError: A header cannot be parsed.
        """
        ...

    def get_request_id(self, headers: Mapping[str, str]) -> str | None:
        """Returns the id of the caller's attempt, None if it has none."""
        ...

    def make_attempt_headers(self, attempt: AttemptMetadata) -> dict[str, str]:
        """Returns the headers that are added for an endpoint."""
        ...

    def parse_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseHead:
        """Parses the status and the headers of an endpoint's response."""
        ...

    def make_refusal_headers(self, retry_after_s: float) -> dict[str, str]:
        """Returns the headers that state when a caller may retry."""
        ...


class ReservationError(Exception):
    """Memory could not be reserved or released."""


class EngineClient(Protocol):
    """Reserves and releases KV-cache memory at engines."""

    async def reserve(
        self, address: str, reservation_id: str, tokens: int, hold_s: float
    ) -> None:
        """Reserves memory, or renews a reservation.

        Raises:
            ReservationError: The memory is not free or the engine did not
                respond; the reservation may exist in that case.
        """
        ...

    async def release(self, address: str, reservation_id: str) -> None:
        """Releases reserved memory.

        Raises:
            ReservationError: The engine did not respond.
        """
        ...
