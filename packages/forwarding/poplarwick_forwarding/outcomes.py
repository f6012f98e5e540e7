"""Outcomes of callers' requests."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol

INSTANCE_RETRY_AFTER_S = 0.1
"""Time after which a caller that this instance refuses may retry; the load
balancer sends it to another instance at once."""


class Failure(enum.Enum):
    """Why a response is generated locally; the value is its status."""

    REFUSED = 503
    """No endpoint has run the request or will run it."""

    BROKEN = 502
    """An endpoint may have run the request; no complete response arrived."""

    BODY_LATE = 408
    """The request body did not arrive in time; no endpoint has run it."""

    TIMED_OUT = 504
    """Like `BROKEN`, but the request's deadline has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """An endpoint's response whose whole body was received."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LocalResponse:
    """A response that is generated locally because no endpoint's is usable.

    Attributes:
        failure: Kind of failure.
        reason: Short reason for the response body and the log.
        retry_after_s: Time after which the caller may retry; None if unknown.
    """

    failure: Failure
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Streamed:
    """The response was streamed to the caller; only its end is to be sent.

    Attributes:
        output_tokens: Length of the output; None if unknown.
        expected_tokens: Expected length of the output; None without an
            estimate.
    """

    output_tokens: int | None = None
    expected_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTruncated:
    """The response was started and cannot be completed.

    Attributes:
        reason: Short reason for the log.
    """

    reason: str


Outcome = CompleteResponse | LocalResponse | Streamed | StreamTruncated


class Lag(Protocol):
    """How far a caller is behind its response."""

    def calculate_lag_s(self, now_s: float) -> float:
        """Returns the time for which the caller has been behind; 0 if not."""
        ...


class Sink(Protocol):
    """Receives a response that is streamed to the caller."""

    has_begun: bool

    @property
    def is_blocked(self) -> bool:
        """Whether the caller's connection takes no more data."""
        ...

    @property
    def lag(self) -> Lag:
        """How far the caller is behind."""
        ...

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the status and the headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Sends complete events, without waiting for the caller to read."""
        ...

    async def drain(self) -> None:
        """Waits until the caller's connection takes more data."""
        ...
