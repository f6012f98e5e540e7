"""Closes the connections of callers that do not read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from aiohttp import web_protocol
from aiohttp import web_request

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import unread_callers

REVIEW_PERIOD_S = 0.25
"""Period of the reviews; short against the time limits."""


class CallerWatch:
    """Reviews the connections of callers.

    Args:
        budget: Counts the buffered data.
        read_connections: Returns the open connections.
        find_request_id: Returns the id of a connection's request, for logs.
    """

    def __init__(
        self,
        budget: buffer_budget.BufferBudget,
        read_connections: Callable[[], Iterable[web_protocol.RequestHandler]],
        find_request_id: Callable[[object], str | None],
    ) -> None:
        self._budget = budget
        self._read_connections = read_connections
        self._callers = unread_callers.UnreadCallers(budget)
        self._find_request_id = find_request_id

    def limit_buffer(self, request: web_request.BaseRequest) -> None:
        """Limits what a connection buffers before it holds its writer up."""
        transport = request.transport
        if transport is not None:
            transport.set_write_buffer_limits(self._budget.limits.buffer_bytes)

    async def run(self) -> None:
        """Reviews the connections until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_PERIOD_S)
            self.review()

    def review(self) -> None:
        """Closes the connections of callers that have not read for too long."""
        unsent: dict[object, unread_callers.UnsentData] = {}
        transports: dict[object, asyncio.WriteTransport] = {}
        unread_streams = 0
        for connection in self._read_connections():
            transport = connection.transport
            if transport is None:
                continue
            unsent_bytes = transport.get_write_buffer_size()
            if not unsent_bytes:
                continue
            held_bytes = 0
            if connection.writing_paused:
                unread_streams += 1
                held_bytes = self._budget.limits.connection_bytes
            transports[connection] = transport
            unsent[connection] = unread_callers.UnsentData(
                unsent_bytes, held_bytes
            )
        self._budget.unread_streams = unread_streams
        for closing in self._callers.review(unsent, clock.now_s()):
            reason = "memory" if closing.is_pressed else "unread"
            metrics.callers_cut_off.add(1, {"reason": reason})
            logs.log(
                log_events.CallerCutOff(
                    request=self._find_request_id(closing.connection),
                    unread_s=closing.unread_s,
                    unsent_bytes=closing.unsent_bytes,
                    reason=reason,
                )
            )
            transports[closing.connection].abort()
