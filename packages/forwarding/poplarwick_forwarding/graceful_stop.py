"""Decides which requests a stopping instance still starts.

Load pattern: an instance is stopped while requests wait for busy engines, and
more arrive until the load balancer notices. A request that cannot start early
enough to end before the process does is refused while another instance can
still serve its caller, instead of being cut off.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import messages
from poplarwick_placement import queue_order

SHARED_ENGINE_FACTOR = 2
"""Duration of a request beside others on its engine, relative to its duration
on an idle one."""


class StoppingError(Exception):
    """The instance stops before the request could be served."""


class _Window(NamedTuple):
    """Times of a stop.

    Attributes:
        starts_until_s: Monotonic time from which no request is started.
        ends_at_s: Monotonic time at which running requests are cut off.
    """

    starts_until_s: float
    ends_at_s: float

    def calculate_latest_start_s(self, duration_s: float) -> float:
        """Returns the latest monotonic start of a request of some duration."""
        return min(
            self.starts_until_s,
            self.ends_at_s - SHARED_ENGINE_FACTOR * duration_s,
        )


class GracefulStop:
    """Limits how long requests wait once the instance is told to stop."""

    def __init__(self) -> None:
        self._window: _Window | None = None
        self._waits: dict[asyncio.Timeout, float] = {}

    def begin(self, starts_until_s: float, ends_at_s: float) -> None:
        """Ends the waits of requests that can no longer be served in time.

        Args:
            starts_until_s: Monotonic time from which no request is started.
            ends_at_s: Monotonic time at which running requests are cut off.
        """
        self._window = _Window(starts_until_s, ends_at_s)
        for timer, duration_s in self._waits.items():
            timer.reschedule(self._window.calculate_latest_start_s(duration_s))

    @contextlib.asynccontextmanager
    async def limit_wait(self, duration_s: float) -> AsyncIterator[None]:
        """Limits the wait inside the context to the latest start of a request.

        Args:
            duration_s: Duration of the request once it is started.

        Raises:
            StoppingError: The wait took too long for this instance.
        """
        timer = asyncio.timeout_at(
            None
            if self._window is None
            else self._window.calculate_latest_start_s(duration_s)
        )
        try:
            async with timer:
                self._waits[timer] = duration_s
                try:
                    yield
                finally:
                    del self._waits[timer]
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
