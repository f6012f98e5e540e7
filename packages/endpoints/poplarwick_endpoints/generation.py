"""Streaming generation requests to model engines."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import aiohttp

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors that are raised before any byte of a request is sent."""

MAX_ERROR_BYTES = 65_536


class GenerationError(errors.EndpointError):
    """A generation request failed."""


class NotRunError(GenerationError):
    """The engine was not reached and did not run the request."""


class RefusedError(GenerationError):
    """The engine refused the request.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response, up to `MAX_ERROR_BYTES`.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"the engine responded with status {status}")
        self.status = status
        self.body = body


class ConnectionBrokenError(GenerationError):
    """The connection was lost; the engine may have run the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Address of an endpoint and identity of a stream.

    Attributes:
        address: Host and port of the endpoint.
        stream: Identity of the stream.
        epoch: Fencing token of the owner of the endpoint.
        priority: Priority at the engine; higher goes first.
    """

    address: str
    stream: ids.StreamId
    epoch: ids.Epoch
    priority: int = 0

    def make_headers(self, deadline: clock.Deadline) -> dict[str, str]:
        """Returns the headers that every request to the endpoint carries."""
        return {
            engine.STREAM_HEADER: self.stream,
            engine.EPOCH_HEADER: str(self.epoch),
            engine.PRIORITY_HEADER: str(self.priority),
            engine.DEADLINE_HEADER: f"{max(deadline.remaining_s, 0):.3f}",
        }


@contextlib.asynccontextmanager
async def open_generation(
    session: aiohttp.ClientSession,
    target: Target,
    path: str,
    body: bytes,
    deadline: clock.Deadline,
) -> AsyncIterator[aiohttp.StreamReader]:
    """Starts a generation stream.

    Args:
        session: Session for calls to endpoints.
        target: Endpoint and identity of the stream.
        path: Path of the generation API.
        body: JSON body; it must request a streamed response.
        deadline: Time by which the request must end.

    Yields:
        The response body, which carries the raw events.

    Raises:
        NotRunError: The engine was not reached.
        RefusedError: The engine refused the request.
        ConnectionBrokenError: The connection was lost; the engine may have
            run the request.
    """
    headers = target.make_headers(deadline)
    headers["Content-Type"] = "application/json"
    url = f"http://{target.address}{path}"
    request = session.post(url, data=body, headers=headers)
    async with _open_stream(request) as content:
        yield content


@contextlib.asynccontextmanager
async def resume_generation(
    session: aiohttp.ClientSession,
    target: Target,
    next_seq: int,
    deadline: clock.Deadline,
) -> AsyncIterator[aiohttp.StreamReader]:
    """Resumes a generation stream at a sequence number.

    Args:
        session: Session for calls to endpoints.
        target: Endpoint and identity of the stream.
        next_seq: Sequence number of the first event to send.
        deadline: Time by which the request must end.

    Yields:
        The response body, which carries the raw events.

    Raises:
        RefusedError: The engine does not know the stream.
        NotRunError: The engine was not reached.
        ConnectionBrokenError: The connection was lost.
    """
    url = f"http://{target.address}/control/streams/{target.stream}"
    request = session.get(
        url,
        params={"after": str(next_seq - 1)},
        headers=target.make_headers(deadline),
    )
    async with _open_stream(request) as content:
        yield content


@contextlib.asynccontextmanager
async def _open_stream(
    request: contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse],
) -> AsyncIterator[aiohttp.StreamReader]:
    try:
        async with request as response:
            if response.status != 200:
                raise RefusedError(
                    response.status,
                    await response.content.read(MAX_ERROR_BYTES),
                )
            yield response.content
    except CONNECT_ERRORS as error:
        raise NotRunError(str(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise ConnectionBrokenError(str(error)) from error
