"""Lets another endpoint take a request over from a silent one.

Load pattern: engines that prefill long prompts between the tokens of others
pause for a second and more, while other engines are full or the retry budget is
spent. A request that is taken from its endpoint first is then lost. It stays
there until it has been placed at another one, or until its endpoint goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import log_events
from poplarwick_placement import messages

ASK_AGAIN_S = 1.0
"""Interval between requests for a placement while the endpoint is silent."""


class AttemptTimer(Protocol):
    """Ends an attempt at a time."""

    def reschedule(self, when: float | None) -> None:
        """Sets the monotonic time of the end; None for none."""
        ...


class Takeover:
    """Asks for a placement elsewhere if an endpoint is silent for too long.

    It is used as the timer of a `response_timeout.ResponseTimeout`. Once the
    request is placed elsewhere, the attempt is ended.

    Args:
        request: Id of the request, for logs.
        attempt: Ends the attempt at the silent endpoint.
        place_elsewhere: Waits for a placement at another endpoint.
    """

    def __init__(
        self,
        request: str,
        attempt: AttemptTimer,
        place_elsewhere: Callable[
            [], Awaitable[placement_client.PlacementOutcome]
        ],
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._place_elsewhere = place_elsewhere
        self._when_s: float | None = None
        self._alarm: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._granted: placement_client.PlacementOutcome | None = None

    def when(self) -> float | None:
        """Returns when the endpoint counts as silent; None for never."""
        return self._when_s

    def reschedule(self, when: float | None) -> None:
        """Sets when the endpoint counts as silent; None for never.

        A request that is being placed elsewhere stays, as its endpoint has
        sent something.
        """
        if self._granted is not None:
            return
        self.stop()
        self._when_s = when
        if when is not None:
            loop = asyncio.get_running_loop()
            self._alarm = loop.call_at(when, self._start_asking)

    def stop(self) -> None:
        """Stops waiting and asking."""
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None

    def take_placement(self) -> placement_client.PlacementOutcome | None:
        """Returns the placement that was granted, once; None if none was."""
        granted, self._granted = self._granted, None
        return granted

    def _start_asking(self) -> None:
        self._asking = asyncio.get_running_loop().create_task(self._ask())

    async def _ask(self) -> None:
        while True:
            began_s = clock.now_s()
            outcome = await self._place_elsewhere()
            match outcome.decision:
                case messages.Placement():
                    self._granted = outcome
                    self._attempt.reschedule(clock.now_s())
                    return
                case messages.Refusal(reason=reason):
                    logs.log(
                        log_events.SilentEndpointKept(
                            request=self._request, reason=reason.value
                        )
                    )
            await asyncio.sleep(began_s + ASK_AGAIN_S - clock.now_s())
