"""Errors of the endpoint clients."""

from __future__ import annotations

from poplarwick_core import errors


class EndpointError(errors.PoplarwickError):
    """Base class of the errors of calls to endpoints."""


class EndpointUnreachableError(EndpointError):
    """No response was received; the call may have taken effect."""


class StaleEpochError(EndpointError):
    """The endpoint has received a higher fencing token.

    Attributes:
        epoch: Highest fencing token that the endpoint has received.
    """

    def __init__(self, epoch: int) -> None:
        super().__init__(f"the endpoint has received epoch {epoch}")
        self.epoch = epoch


class StreamExistsError(EndpointError):
    """A stream with the same identity already exists."""


class OverloadedError(EndpointError):
    """The endpoint has no capacity and did not run the request."""


class UnexpectedAnswerError(EndpointError):
    """The response of the endpoint does not follow the protocol.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"status {status}: {detail}")
        self.status = status
