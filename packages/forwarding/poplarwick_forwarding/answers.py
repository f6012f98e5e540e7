"""Answers to callers."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol


class Failure(enum.Enum):
    """Why the system gives an answer of its own; the value is the status."""

    REFUSED = 503
    """The request has not run and never will."""

    BROKEN = 502
    """An endpoint may have run the request; there is no whole answer."""

    BODY_LATE = 408
    """The request's body did not arrive in time; it has not run."""

    TIMED_OUT = 504
    """As `BROKEN`, because the time is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An endpoint's answer that has arrived whole."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer of the system's own.

    Attributes:
        failure: Kind of the answer.
        reason: Why, in a few words.
        retry_after_s: When to come back; None where it is not known.
    """

    failure: Failure
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Streamed:
    """The answer went to the caller as it arrived; it is whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCut:
    """The answer began and cannot be finished.

    Attributes:
        reason: Why, in a few words.
    """

    reason: str


Ending = WholeAnswer | OwnAnswer | Streamed | StreamCut


class Sink(Protocol):
    """Takes a stream on its way to the caller."""

    has_begun: bool

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the head of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Sends whole events."""
        ...

    async def finish(self) -> None:
        """Ends the answer as complete."""
        ...
