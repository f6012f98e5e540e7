"""Decides which requests a stopping instance starts, and when it ends them.

Load pattern: an instance is stopped while requests wait for busy engines or run
on them, and more arrive until the load balancer notices. A request that cannot
start early enough to end before the process does is refused while another
instance can still serve its caller. A request whose caller has received nothing
is answered before the end, and a stream goes on for as long as the process can
run.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from poplarwick_catalogue import types
from poplarwick_core import clock
from poplarwick_forwarding import outcomes
from poplarwick_placement import engine_model
from poplarwick_placement import messages
from poplarwick_placement import queue_order

_T = TypeVar("_T")

SHARED_ENGINE_FACTOR = 2
"""Duration of a request beside others on its engine, relative to its duration
on an idle one."""

CATCH_UP_S = 0.05
"""Time for reading what arrived while the process stood still, before requests
are ended."""

END_TIMEOUT_S = CATCH_UP_S + 0.05
"""Longest wait for requests to end that the stop ends, which takes a few steps
of the event loop."""


class StoppingError(Exception):
    """The instance stops before the request could be served."""


class _Start(NamedTuple):
    """A request that waits for its start.

    Attributes:
        duration_s: Its duration once it is started.
        is_second: Whether an endpoint runs it already.
    """

    duration_s: float
    is_second: bool


class _Window(NamedTuple):
    """Times of a stop.

    Attributes:
        starts_until_s: Monotonic time from which no request is started.
        ends_at_s: Monotonic time at which requests whose callers have received
            nothing are ended.
    """

    starts_until_s: float
    ends_at_s: float

    def calculate_latest_start_s(self, start: _Start) -> float:
        """Returns the latest monotonic time of a start.

        No other instance can serve the caller of a request that runs already.
        """
        latest_s = self.ends_at_s - SHARED_ENGINE_FACTOR * start.duration_s
        if start.is_second:
            return latest_s
        return min(self.starts_until_s, latest_s)


class GracefulStop:
    """Limits how long requests wait and run once the instance is to stop."""

    def __init__(self) -> None:
        self._window: _Window | None = None
        self._waits: dict[asyncio.Timeout, _Start] = {}
        self._runs: dict[asyncio.Timeout, Callable[[], bool]] = {}
        self._answers: dict[asyncio.Timeout, Callable[[], bool]] = {}

    def begin(
        self, starts_until_s: float, ends_at_s: float, cuts_at_s: float
    ) -> None:
        """Ends requests that can no longer be served in time.

        Args:
            starts_until_s: Monotonic time from which no request is started.
            ends_at_s: Monotonic time at which requests whose callers have
                received nothing are ended.
            cuts_at_s: Monotonic time at which streams are cut off.
        """
        self._window = _Window(starts_until_s, ends_at_s)
        for timer, start in self._waits.items():
            timer.reschedule(self._window.calculate_latest_start_s(start))
        loop = asyncio.get_running_loop()
        for at_s, end in (
            (ends_at_s, self._end_unanswered),
            (cuts_at_s, self._end_all),
        ):
            # Counted from when the loop runs again.
            loop.call_at(at_s, loop.call_later, CATCH_UP_S, end)

    @contextlib.asynccontextmanager
    async def limit_wait(
        self, duration_s: float, *, is_second: bool = False
    ) -> AsyncIterator[None]:
        """Limits the wait inside the context to the latest start of a request.

        Args:
            duration_s: Duration of the request once it is started.
            is_second: Whether an endpoint runs it already, so that it is only
                limited by its end.

        Raises:
            StoppingError: The wait took too long for this instance.
        """
        until_s = None
        start = _Start(duration_s, is_second)
        if self._window is not None:
            until_s = self._window.calculate_latest_start_s(start)
            if clock.now_s() >= until_s:
                raise StoppingError
        async with _limit(self._waits, start, until_s):
            yield

    @contextlib.asynccontextmanager
    async def limit_run(self, sink: outcomes.Sink) -> AsyncIterator[None]:
        """Limits the run of a request to the time that the process has left.

        Args:
            sink: Response to the caller.

        Raises:
            StoppingError: This instance ends before the request.
        """
        async with _limit(self._runs, lambda: sink.has_begun, None):
            yield

    @contextlib.asynccontextmanager
    async def limit_read(self) -> AsyncIterator[None]:
        """Limits the wait for what is missing of a request.

        Raises:
            StoppingError: This instance ends before the request is read.
        """
        async with self.limit_answer(lambda: False):
            yield

    @contextlib.asynccontextmanager
    async def limit_answer(
        self, has_begun: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Limits the time until the caller of a request receives something.

        Args:
            has_begun: Returns whether the caller has; the request goes on then.

        Raises:
            StoppingError: This instance ends before that.
        """
        async with _limit(self._answers, has_begun, None):
            yield

    def _end_unanswered(self) -> None:
        """Ends the requests whose callers have received nothing."""
        for timer, has_begun in (*self._answers.items(), *self._runs.items()):
            if not has_begun():
                _end(timer)

    def _end_all(self) -> None:
        """Ends all requests."""
        for timer in self._runs:
            _end(timer)


def _end(timer: asyncio.Timeout) -> None:
    # One that is ended may still release what it holds.
    if not timer.expired():
        timer.reschedule(clock.now_s())


@contextlib.asynccontextmanager
async def _limit(
    timers: dict[asyncio.Timeout, _T], value: _T, until_s: float | None
) -> AsyncIterator[None]:
    """Adds a timer that the stop may reschedule while the context is open.

    Args:
        timers: Timers of all open contexts.
        value: What the stop has to know of this one.
        until_s: Monotonic time of its end; None if it is not known yet.

    Raises:
        StoppingError: The time is over.
    """
    timer = asyncio.timeout_at(until_s)
    try:
        async with timer:
            timers[timer] = value
            try:
                yield
            finally:
                del timers[timer]
    except TimeoutError as error:
        if not timer.expired():
            raise
        raise StoppingError from error


def calculate_shortest_duration_s(
    request: messages.PlacementRequest, engine: types.EngineProfile | None
) -> float:
    """Returns how long a request takes on otherwise idle engines.

    Args:
        request: The request.
        engine: Profile of its service's engines; None for a plain service,
            whose calls are taken for short.
    """
    if engine is None:
        return 0.0
    first_event_s = queue_order.calculate_ideal_first_event_s(
        request, engine, queue_order.IDEAL_GROUP_SIZE
    )
    iteration_s = engine_model.calculate_iteration_s(
        engine, 1, request.prompt_tokens
    )
    return first_event_s + engine_model.calculate_decode_s(
        engine, request.output_tokens, iteration_s
    )
