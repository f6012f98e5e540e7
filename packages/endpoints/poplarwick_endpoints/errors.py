"""Errors of the clients of endpoints."""

from __future__ import annotations

from poplarwick_core import errors


class EndpointError(errors.PoplarwickError):
    """Base of all errors of a call to an endpoint."""


class EndpointUnreachableError(EndpointError):
    """No answer came; the order may or may not have taken effect."""


class StaleEpochError(EndpointError):
    """The endpoint has seen a higher fencing number.

    Attributes:
        epoch: Highest fencing number that the endpoint has seen.
    """

    def __init__(self, epoch: int) -> None:
        super().__init__(f"the endpoint has seen epoch {epoch}")
        self.epoch = epoch


class StreamExistsError(EndpointError):
    """A stream with the same identity exists."""


class OverloadedError(EndpointError):
    """The endpoint has no room and ran nothing."""


class UnexpectedAnswerError(EndpointError):
    """The endpoint answered with something else than the protocol says.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"status {status}: {detail}")
        self.status = status
