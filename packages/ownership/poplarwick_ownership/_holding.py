"""Lifecycle of one tenure at its holder."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import transitions

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import tenure


class HoldingState(enum.Enum):
    """Where a tenure stands.

    Attributes:
        WAITING: Claimed; the earlier tenure may not have ended yet.
        ACTIVE: The holder may act.
        ENDING: The holder may act to hand over, and takes no new work.
        ENDED: The holder may not act any more.
    """

    WAITING = "waiting"
    ACTIVE = "active"
    ENDING = "ending"
    ENDED = "ended"


_TRANSITIONS = [
    {
        "trigger": "activate",
        "source": HoldingState.WAITING,
        "dest": HoldingState.ACTIVE,
    },
    {
        "trigger": "hand_over",
        "source": HoldingState.ACTIVE,
        "dest": HoldingState.ENDING,
    },
    {"trigger": "end", "source": "*", "dest": HoldingState.ENDED},
]


class Holding:
    """One tenure of this instance, from claim to end.

    Args:
        resource: The resource.
        epoch: Fencing number of the tenure.
        listener: Learns about beginning and end.
        may_act: Returns whether the instance holds its lease now.
    """

    state: HoldingState

    def __init__(
        self,
        resource: tenure.Resource,
        epoch: ids.Epoch,
        listener: tenure.TenureListener,
        may_act: Callable[[], bool],
    ) -> None:
        self.tenure = tenure.Tenure(resource, epoch, self.is_valid)
        self.has_served = False
        # Set once enough others know of the claim, or it has ended.
        self.heard = asyncio.Event()
        self.ended = asyncio.Event()
        self._listener = listener
        self._may_act = may_act
        self._end_requested = asyncio.Event()
        self._machine = transitions.Machine(
            model=self,
            states=HoldingState,
            transitions=_TRANSITIONS,
            initial=HoldingState.WAITING,
            auto_transitions=False,
        )

    @property
    def is_active(self) -> bool:
        """Whether the tenure has begun and no end was asked for."""
        return self.state is HoldingState.ACTIVE

    @property
    def has_ended(self) -> bool:
        """Whether the holder may not act any more."""
        return self.state is HoldingState.ENDED

    def is_valid(self) -> bool:
        """Returns whether the holder may act now."""
        may_act = self.state in (HoldingState.ACTIVE, HoldingState.ENDING)
        return may_act and self._may_act()

    def request_hand_over(self) -> None:
        """Asks for a planned end."""
        match self.state:
            case HoldingState.WAITING:
                self.stop()
            case HoldingState.ACTIVE:
                self._trigger("hand_over")
                self._end_requested.set()

    def stop(self) -> None:
        """Ends the tenure at once."""
        self._trigger("end")
        self._end_requested.set()
        self.heard.set()

    async def run(self, wait_s: float) -> None:
        """Lives through the tenure.

        Args:
            wait_s: Time until the earlier tenure has surely ended.
        """
        try:
            await self._wait(wait_s)
            if self.state is HoldingState.WAITING:
                await self._serve()
        finally:
            self._trigger("end")
            self.ended.set()

    async def _wait(self, wait_s: float) -> None:
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._end_requested.wait()
        except TimeoutError:
            return

    async def _serve(self) -> None:
        resource = self.tenure.resource
        self._trigger("activate")
        self.has_served = True
        logs.log_event(
            "tenure_began",
            kind=resource.kind.value,
            resource=resource.id,
            epoch=self.tenure.epoch,
        )
        await self._listener.begin_tenure(self.tenure)
        await self._end_requested.wait()
        is_planned = self.state is HoldingState.ENDING
        await self._listener.end_tenure(self.tenure, is_planned=is_planned)
        logs.log_event(
            "tenure_ended",
            kind=resource.kind.value,
            resource=resource.id,
            epoch=self.tenure.epoch,
            planned=is_planned,
        )

    def _trigger(self, name: str) -> None:
        self.trigger(name)  # type: ignore[attr-defined]
