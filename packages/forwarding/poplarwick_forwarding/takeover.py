"""Lets another endpoint take a request over from a silent one.

Load pattern: engines that prefill long prompts between the tokens of others
pause for a second and more, while other engines are full or the retry budget is
spent. A request that is taken from its endpoint first is then lost, also if the
other one refuses it, or is as busy. It stays with its endpoint until another
one answers; whichever goes on first serves the caller.
"""

from __future__ import annotations

import asyncio
import types
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import endpoint_attempt
from poplarwick_forwarding import graceful_stop
from poplarwick_forwarding import log_events
from poplarwick_placement import messages

ASK_AGAIN_S = 1.0
"""Interval between attempts elsewhere while the endpoint is silent."""


class Successor:
    """The attempt that goes on with a request, once it has been answered.

    An attempt that is not taken is withdrawn when the context is exited.
    """

    def __init__(self) -> None:
        self._attempt: endpoint_attempt.Attempt | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await withdraw(self.take())

    @property
    def is_ready(self) -> bool:
        """Whether there is such an attempt."""
        return self._attempt is not None

    def set(self, attempt: endpoint_attempt.Attempt | None) -> None:
        """Sets the attempt that goes on; None if there is none."""
        self._attempt = attempt

    def take(self) -> endpoint_attempt.Attempt | None:
        """Returns the attempt, once; None if there is none.

        The caller owns it from then on.
        """
        taken, self._attempt = self._attempt, None
        return taken


async def withdraw(unused: endpoint_attempt.Attempt | None) -> None:
    """Ends an attempt, if there is one, whose answer is not used."""
    if unused is not None:
        async with unused:
            pass


class Takeover:
    """Tries another endpoint if an endpoint is silent for too long.

    It is used as the timer of a `response_timeout.ResponseTimeout`. Once the
    other endpoint answers, the attempt at the silent one is ended. If the
    silent one goes on before that, the other attempt is withdrawn.

    Args:
        request: Id of the request, for logs.
        attempt: Ends the attempt at the silent endpoint.
        may_ask: Returns whether the request may be sent once more.
        place_elsewhere: Waits for a placement at another endpoint; raises
            `graceful_stop.StoppingError` if it is too late for one.
        open_elsewhere: Sends the request to the endpoint of a placement and
            waits for its answer; returns None if there is none.
    """

    def __init__(
        self,
        request: str,
        attempt: asyncio.Timeout,
        may_ask: Callable[[], bool],
        place_elsewhere: Callable[
            [], Awaitable[placement_client.PlacementOutcome]
        ],
        open_elsewhere: Callable[
            [placement_client.PlacementOutcome],
            Awaitable[endpoint_attempt.Attempt | None],
        ],
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._may_ask = may_ask
        self._place_elsewhere = place_elsewhere
        self._open_elsewhere = open_elsewhere
        self._when_s: float | None = None
        self._alarm: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._opening: asyncio.Future[None] | None = None
        self._has_failed = False
        self._answered: endpoint_attempt.Attempt | None = None

    def when(self) -> float | None:
        """Returns when the endpoint counts as silent; None for never."""
        return self._when_s

    @property
    def is_over(self) -> bool:
        """Whether the other endpoint has answered."""
        return self._answered is not None

    def reschedule(self, when: float | None) -> None:
        """Sets when the endpoint counts as silent; None for never.

        An attempt elsewhere is withdrawn, as the endpoint has sent something;
        if it has been answered already, it goes on instead.
        """
        if self._answered is not None:
            return
        self.stop()
        self._when_s = when
        if when is not None:
            loop = asyncio.get_running_loop()
            self._alarm = loop.call_at(when, self._start_asking)

    def stop(self) -> None:
        """Stops waiting and withdraws an attempt that is not answered."""
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None

    def take_attempt(self) -> endpoint_attempt.Attempt | None:
        """Returns the attempt that was answered, once; None if none was.

        The caller owns it from then on.
        """
        answered, self._answered = self._answered, None
        return answered

    async def wait_for_attempt(self) -> endpoint_attempt.Attempt | None:
        """Returns the attempt elsewhere once it is answered.

        For an endpoint that has failed meanwhile. Returns None if there is no
        such attempt, or if it fails as well.
        """
        self._has_failed = True
        if self._opening is not None:
            await self._opening
        self.stop()
        return self.take_attempt()

    def _start_asking(self) -> None:
        self._asking = asyncio.get_running_loop().create_task(self._ask())

    async def _ask(self) -> None:
        while self._may_ask():
            began_s = clock.now_s()
            try:
                outcome = await self._place_elsewhere()
            except graceful_stop.StoppingError:
                self._log_kept("stopping")
                return
            match outcome.decision:
                case messages.Placement():
                    if await self._open(outcome):
                        if not self._has_failed:
                            self._attempt.reschedule(clock.now_s())
                        return
                case messages.Refusal(reason=reason):
                    self._log_kept(reason.value)
            await asyncio.sleep(began_s + ASK_AGAIN_S - clock.now_s())

    def _log_kept(self, reason: str) -> None:
        logs.log(
            log_events.SilentEndpointKept(request=self._request, reason=reason)
        )

    async def _open(self, outcome: placement_client.PlacementOutcome) -> bool:
        """Tries an endpoint and returns whether it answers."""
        opening = asyncio.get_running_loop().create_future()
        self._opening = opening
        try:
            self._answered = await self._open_elsewhere(outcome)
        finally:
            self._opening = None
            if not opening.done():
                opening.set_result(None)
        return self._answered is not None
