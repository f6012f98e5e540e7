"""Writes responses to a caller's connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import multidict
from aiohttp import abc as aiohttp_abc
from aiohttp import http_writer
from aiohttp import web_request
from aiohttp import web_response

from poplarwick_core import clock
from poplarwick_forwarding import backpressure
from poplarwick_forwarding import outcomes


class ResponseSink:
    """Implements `outcomes.Sink` for one request.

    Args:
        request: Request of the caller.
        is_leaving: Returns whether connections are to be closed.
    """

    def __init__(
        self, request: web_request.BaseRequest, is_leaving: Callable[[], bool]
    ) -> None:
        self.has_begun = False
        self.response: web_response.StreamResponse | None = None
        self.first_at_s: float | None = None
        self.longest_pause_s = 0.0
        self.bytes_written = 0
        self.lag = backpressure.CallerLag()
        self._writer: aiohttp_abc.AbstractStreamWriter | None = None
        self._drained: asyncio.Future[None] | None = None
        self._last_at_s: float | None = None
        self._request = request
        self._is_leaving = is_leaving

    async def begin(
        self, status: int, response_headers: Mapping[str, str]
    ) -> None:
        """Sends the status and the headers."""
        response = web_response.StreamResponse(
            status=status, headers=multidict.CIMultiDict(response_headers)
        )
        response.enable_chunked_encoding()
        if self._is_leaving():
            response.force_close()
        self.response = response
        self.has_begun = True
        self._writer = await response.prepare(self._request)

    @property
    def is_blocked(self) -> bool:
        """Whether the caller's connection takes no more data."""
        return self._request.protocol.writing_paused

    async def write(self, data: bytes) -> None:
        """Sends complete events, without waiting for the caller to read."""
        writer = self._writer
        assert isinstance(writer, http_writer.StreamWriter)
        now_s = clock.now_s()
        if self._last_at_s is None:
            self.first_at_s = now_s
        else:
            pause_s = now_s - self._last_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_at_s = now_s
        self.bytes_written += len(data)
        await writer.write(data, drain=False)

    async def drain(self) -> None:
        """Waits until the caller's connection takes more data.

        Raises:
            ConnectionError: The connection was lost.
        """
        assert self._writer is not None, "the response has not been started"
        if not self.is_blocked:
            return
        if self._drained is None or self._drained.done():
            self._drained = asyncio.ensure_future(self._writer.drain())
            self._drained.add_done_callback(_retrieve_error)
        self.lag.record_blocked(clock.now_s())
        try:
            # aiohttp has one waiter for a connection, which must not be
            # cancelled by the first of several waits.
            await asyncio.shield(self._drained)
        finally:
            self.lag.record_released(clock.now_s())

    async def finish(self) -> None:
        """Marks the response as complete."""
        assert self.response is not None, "the response has not been started"
        await self.response.write_eof()


def _retrieve_error(drained: asyncio.Future[None]) -> None:
    """Marks an error as seen; the next write reports the lost connection."""
    if not drained.cancelled():
        drained.exception()


async def deliver(
    request: web_request.BaseRequest,
    complete: outcomes.CompleteResponse,
    piece_bytes: int,
    *,
    closes: bool,
) -> web_response.StreamResponse:
    """Sends a complete response.

    The connection copies what its socket does not take, so a large body is
    handed over in pieces as the caller reads it.

    Args:
        request: Request of the caller.
        complete: The response.
        piece_bytes: Size of the pieces.
        closes: Whether the connection is closed afterwards.

    Raises:
        ConnectionError: The connection was lost.
    """
    status, headers, body = complete.status, complete.headers, complete.body
    response: web_response.StreamResponse
    if len(body) <= piece_bytes:
        response = web_response.Response(
            status=status, headers=headers, body=body
        )
        pieces: Iterable[bytes] = ()
    else:
        response = web_response.StreamResponse(status=status, headers=headers)
        response.content_length = len(body)
        pieces = (
            body[begin : begin + piece_bytes]
            for begin in range(0, len(body), piece_bytes)
        )
    if closes:
        response.force_close()
    writer = await response.prepare(request)
    for piece in pieces:
        assert writer is not None
        await writer.write(piece)
        await writer.drain()
    await response.write_eof()
    return response
