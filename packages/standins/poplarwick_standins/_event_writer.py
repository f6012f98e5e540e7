"""Sends a stream's events to one connection and injects faults."""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp import web

from poplarwick_standins import _streams
from poplarwick_standins import engine_settings

END_MARK = b"data: [DONE]\n\n"


class EventWriter:
    """Sends the events of one stream as they are generated.

    Attributes:
        request: Request to respond to.
        stream: Stream to send.
        faults: Faults to inject.
        cut_after: Number of events after which the connection is closed; 0
            means never.
        streams: All streams of the engine, from which events of other streams
            are taken.
    """

    def __init__(
        self,
        request: web.Request,
        stream: _streams.Stream,
        faults: engine_settings.Faults,
        cut_after: int,
        streams: Mapping[str, _streams.Stream],
    ) -> None:
        self.request = request
        self.stream = stream
        self.faults = faults
        self.cut_after = cut_after
        self.streams = streams
        self._sent = 0

    async def write(self, first: int) -> web.StreamResponse:
        """Sends the events from number `first` on, then the end mark."""
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        response.headers["Cache-Control"] = "no-cache"
        await response.prepare(self.request)
        stream = self.stream
        seq = first
        while True:
            wake = stream.wake
            end = len(stream.events)
            if seq < end:
                await self._send(response, seq, end)
                seq = end
                if self.cut_after and self._sent >= self.cut_after:
                    return self._cut(response)
            elif stream.is_running:
                await wake.wait()
            else:
                break
        if stream.state is not _streams.StreamState.FINISHED:
            return self._cut(response)
        await response.write(END_MARK)
        await response.write_eof()
        return response

    async def _send(
        self, response: web.StreamResponse, first: int, end: int
    ) -> None:
        if self.cut_after:
            end = min(end, first + self.cut_after - self._sent)
        parts = [self._apply_faults(seq) for seq in range(first, end)]
        self._sent += end - first
        await response.write(b"".join(parts))

    def _apply_faults(self, seq: int) -> bytes:
        event = self.stream.events[seq]
        faults = self.faults
        if _is_due(faults.missing_every, seq):
            return b""
        if _is_due(faults.duplicate_every, seq):
            event = event + event
        if seq and _is_due(faults.late_every, seq):
            event = event + self.stream.events[seq - 1]
        if _is_due(faults.crossed_every, seq):
            event = self._find_foreign_event() + event
        return event

    def _find_foreign_event(self) -> bytes:
        for other in self.streams.values():
            if other is not self.stream and other.events:
                return other.events[0]
        return b""

    def _cut(self, response: web.StreamResponse) -> web.StreamResponse:
        if self.request.transport is not None:
            self.request.transport.abort()
        return response


def _is_due(every: int, seq: int) -> bool:
    return every > 0 and (seq + 1) % every == 0
