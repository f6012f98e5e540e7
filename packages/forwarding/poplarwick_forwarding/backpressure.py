"""Tells a response that is cut because its caller does not read it.

Load pattern: callers that read slowly or not at all, and endpoints that cut a
response which stays unread for some seconds. The endpoint is not at fault: the
cut says nothing about its health and is no evidence of a crash, and the stream
is resumed elsewhere only once its caller reads again.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import log_events
from poplarwick_forwarding import metrics
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

EXCUSE_S = 1.0
"""Time behind its response from which a caller counts as the reason of its cut;
shorter than the seconds for which endpoints wait, far above the time that a
caller needs to take a full buffer at 7 Mbit/s."""

CATCH_UP_S = 0.5
"""Time without back pressure after which a caller has caught up; the data that
endpoints hold for it arrives much sooner."""


class CallerLag:
    """How long a caller has been behind its response."""

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._blocked_at_s: float | None = None
        self._released_at_s = 0.0

    def record_blocked(self, now_s: float) -> None:
        """Records that the caller's connection takes no more data."""
        if self._since_s is None or now_s > self._released_at_s + CATCH_UP_S:
            self._since_s = now_s
        self._blocked_at_s = now_s

    def record_released(self, now_s: float) -> None:
        """Records that it takes data again."""
        self._blocked_at_s = None
        self._released_at_s = now_s

    def calculate_lag_s(self, now_s: float) -> float:
        """Returns the time for which the caller has been behind; 0 if not."""
        if self._since_s is None:
            return 0.0
        if (
            self._blocked_at_s is None
            and now_s > self._released_at_s + CATCH_UP_S
        ):
            return 0.0
        return now_s - self._since_s


class CuttableResponse(Protocol):
    """A response that its endpoint may cut."""

    @property
    def is_received(self) -> bool:
        """Whether nothing more is expected from the endpoint."""
        ...

    async def wait_until_cut(self) -> None:
        """Returns once the connection has ended before the response."""
        ...


async def write(
    sink: outcomes.Sink, data: bytes, response: CuttableResponse
) -> None:
    """Sends complete events and waits until the caller takes more.

    The end of a response that was received as a whole is not waited for: it is
    bounded, and the endpoint is free for other requests.

    Raises:
        SendError: The endpoint cut the response meanwhile.
    """
    await sink.write(data)
    if not sink.is_blocked or response.is_received:
        return
    drained = asyncio.ensure_future(sink.drain())
    cut = asyncio.ensure_future(response.wait_until_cut())
    try:
        await asyncio.wait((drained, cut), return_when=asyncio.FIRST_COMPLETED)
        if drained.done():
            drained.result()
            return
    finally:
        drained.cancel()
        cut.cancel()
    raise upstream.SendError(
        "response cut while its caller did not read",
        messages.Result.BROKEN,
        may_have_run=True,
        is_cut=True,
    )


def excuse_cut(
    error: upstream.SendError, sink: outcomes.Sink, request_id: str
) -> None:
    """Clears an endpoint of a cut that its response's caller has caused."""
    if not error.is_cut or not sink.has_begun:
        return
    lag_s = sink.lag.calculate_lag_s(clock.now_s())
    if lag_s < EXCUSE_S:
        return
    error.result = messages.Result.GIVEN_UP
    error.is_cut = False
    metrics.unread_responses_cut.add(1)
    logs.log(log_events.UnreadResponseCut(request=request_id, unread_s=lag_s))
