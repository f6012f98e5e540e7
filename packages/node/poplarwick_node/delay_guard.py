"""Relieves an instance of its callers while it has fallen behind."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_catalogue import routing
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import logs
from poplarwick_forwarding import instance_delay
from poplarwick_node import log_events

SAMPLE_PERIOD_S = 0.05
"""Period of the timer whose lateness is measured; half of the period over which
Linux divides processor time."""

TENURE_CHECK_S = 0.5
"""Period of the check whether a placer that is behind hands over."""

HANDOVER_RETRY_S = 5.0
"""Time after which an unanswered handover is tried again."""


class TenureHolder(Protocol):
    """The instance as a possible placer."""

    @property
    def is_placer(self) -> bool:
        """Whether it holds the tenure."""
        ...

    async def hand_over_to_stronger(self) -> None:
        """Hands the tenure over to a more powerful instance, if any."""
        ...


class DelayGuard:
    """Measures the lag of the event loop and acts on it.

    Args:
        deployment_: Deployment of this instance.
        catalogue_: Routing configuration.
        client: Asks the placer for relief.
        holder: The instance as a possible placer.
        set_relieved: Called with whether connections of callers are closed
            after their next response.
    """

    def __init__(
        self,
        deployment_: deployment.Deployment,
        catalogue_: catalogue.Catalogue,
        client: placement_client.PlacementClient,
        holder: TenureHolder,
        set_relieved: Callable[[bool], None],
    ) -> None:
        self.delay = instance_delay.InstanceDelay()
        self.is_relieved = False
        self._deployment = deployment_
        self._catalogue = catalogue_
        self._client = client
        self._holder = holder
        self._set_relieved = set_relieved
        self._target_of: tuple[routing.Routing, float] | None = None

    @property
    def is_needed(self) -> bool:
        """Whether the instance is weak enough to fall behind."""
        return 0 < self._deployment.cores < instance_delay.WEAK_CORES

    async def run(self) -> None:
        """Measures and acts until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._measure())
            group.create_task(self._leave_tenure())

    async def _measure(self) -> None:
        while True:
            due_at_s = clock.now_s() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            now_s = clock.now_s()
            self.review(max(now_s - due_at_s, 0.0), now_s)

    async def _leave_tenure(self) -> None:
        while True:
            await asyncio.sleep(TENURE_CHECK_S)
            if self.delay.is_behind and self._holder.is_placer:
                await self._holder.hand_over_to_stronger()
                await asyncio.sleep(HANDOVER_RETRY_S)

    def review(self, lag_s: float, now_s: float) -> None:
        """Acts on one measurement.

        Args:
            lag_s: Time by which a timer was late.
            now_s: Monotonic time.
        """
        target_s = self._find_shortest_target_s()
        if target_s is None:
            return
        if self.delay.record_sample(lag_s, target_s, now_s):
            logs.log(
                log_events.InstanceDelayed(
                    lost_share=round(self.delay.lost_share, 3)
                )
                if self.delay.is_behind
                else log_events.InstanceCaughtUp()
            )
        self._client.asks_for_relief = self.delay.is_behind
        is_relieved = self.delay.is_behind and self._client.has_relief(now_s)
        if is_relieved == self.is_relieved:
            return
        self.is_relieved = is_relieved
        self._set_relieved(is_relieved)
        logs.log(
            log_events.CallersTurnedAway()
            if is_relieved
            else log_events.CallersWelcome()
        )

    def _find_shortest_target_s(self) -> float | None:
        rules = self._catalogue.routing
        if rules is None:
            return None
        if self._target_of is None or self._target_of[0] is not rules:
            targets_s = [
                route.target_latency_s
                for routes in rules.routes_by_host.values()
                for route in routes
                if route.target_latency_s
            ]
            self._target_of = (rules, min(targets_s, default=float("inf")))
        return self._target_of[1]
