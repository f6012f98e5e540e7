"""What the names on the wire towards callers and endpoints stand for."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import messages


class CallError(ValueError):
    """A caller's header cannot be read; the message names it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a caller's headers tell.

    Attributes:
        request: Id of this attempt of the caller.
        time_left_s: How long the caller waits; None if it does not tell.
        key: Key of the caller's organisation.
        prompt_tokens: Length of the prompt.
        output_tokens: Tokens that the answer is expected to have.
        last_event_id: Last event of a stream that the caller has; None for a
            new stream.
    """

    request: ids.RequestId
    time_left_s: float | None
    key: types.ApiKey | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """What an endpoint is told beside the caller's own headers.

    Attributes:
        endpoint: The endpoint that is meant.
        organisation: Organisation of the caller; None where there are none.
        time_left_s: Time after which the endpoint stops.
        last_event_id: Event after which a stream goes on.
        helpers: Endpoints that read parts of the prompt, with the names of
            the memory reserved there.
    """

    endpoint: ids.EndpointId
    organisation: ids.OrganisationId | None
    time_left_s: float
    last_event_id: int | None
    helpers: tuple[tuple[messages.Helper, str | None], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint's answer tells before its body.

    Attributes:
        has_not_run: Whether the endpoint says that it did not run the request.
        is_misdirected: Whether another endpoint has the address.
        request: Request that the answer belongs to; None if it does not tell.
        is_signed: Whether it bears the signature of a real answer.
        at_fault: Address of the endpoint that a refusal blames, if any.
    """

    has_not_run: bool
    is_misdirected: bool
    request: ids.RequestId | None
    is_signed: bool
    at_fault: str | None


class Dialect(Protocol):
    """Names and formats of a platform's requests and answers."""

    replaced_headers: frozenset[str]
    """Request headers, in lower case, that are not passed on as sent."""

    def read_call(self, headers: Mapping[str, str]) -> Call:
        """Reads a caller's headers.

        Raises:
            CallError: A header cannot be read.
        """
        ...

    def read_request_id(self, headers: Mapping[str, str]) -> str | None:
        """Returns the id of the caller's attempt, None if it has none."""
        ...

    def make_send_headers(self, send: Send) -> dict[str, str]:
        """Returns the headers that an endpoint is sent."""
        ...

    def read_answer(
        self, status: int, headers: Mapping[str, str]
    ) -> AnswerHead:
        """Reads the head of an endpoint's answer."""
        ...

    def make_refusal_headers(self, retry_after_s: float) -> dict[str, str]:
        """Returns the headers that tell a caller when to come back."""
        ...


class ReservationError(Exception):
    """Memory could not be reserved."""


class EngineClient(Protocol):
    """EngineClient to engines."""

    async def reserve(
        self, address: str, ticket: str, tokens: int, hold_s: float
    ) -> None:
        """Reserves memory, or renews a reservation.

        Raises:
            ReservationError: The memory is not free or the engine did not
                answer; the reservation may exist then.
        """
        ...

    async def release(self, address: str, ticket: str) -> None:
        """Gives reserved memory back.

        Raises:
            ReservationError: The engine did not answer.
        """
        ...
