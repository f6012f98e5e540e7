"""Lifecycle of a tenure at its holder."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import transitions

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import tenure


class HoldingState(enum.Enum):
    """State of a held tenure.

    Attributes:
        WAITING: Claimed; the previous tenure may not have ended yet.
        ACTIVE: The holder may act.
        ENDING: The holder may act to hand over, but accepts no new work.
        ENDED: The holder may no longer act.
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


class HeldTenure:
    """One tenure of this instance, from claim to end.

    Args:
        resource: The resource.
        epoch: Fencing token of the tenure.
        listener: Notified of the start and end of the tenure.
        is_lease_valid: Returns whether the instance holds its lease now.

    Attributes:
        tenure: The tenure as passed to the listener.
        has_served: Whether the tenure has been active.
        acknowledged: Set once enough other instances have acknowledged the
            claim, or the tenure has ended.
        ended: Set once the tenure has ended.
    """

    state: HoldingState

    def __init__(
        self,
        resource: tenure.Resource,
        epoch: ids.Epoch,
        listener: tenure.TenureListener,
        is_lease_valid: Callable[[], bool],
    ) -> None:
        self.tenure = tenure.Tenure(resource, epoch, self.is_valid)
        self.has_served = False
        self.acknowledged = asyncio.Event()
        self.ended = asyncio.Event()
        self._listener = listener
        self._is_lease_valid = is_lease_valid
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
        """Whether the tenure has started and no end was requested."""
        return self.state is HoldingState.ACTIVE

    @property
    def has_ended(self) -> bool:
        """Whether the holder may no longer act."""
        return self.state is HoldingState.ENDED

    def is_valid(self) -> bool:
        """Returns whether the holder may act now."""
        is_serving = self.state in (HoldingState.ACTIVE, HoldingState.ENDING)
        return is_serving and self._is_lease_valid()

    def request_hand_over(self) -> None:
        """Requests a planned end of the tenure."""
        match self.state:
            case HoldingState.WAITING:
                self.stop()
            case HoldingState.ACTIVE:
                self._trigger("hand_over")
                self._end_requested.set()

    def stop(self) -> None:
        """Ends the tenure immediately."""
        self._trigger("end")
        self._end_requested.set()
        self.acknowledged.set()

    async def run(self, wait_s: float) -> None:
        """Runs the tenure until it ends.

        Args:
            wait_s: Time in seconds after which the previous tenure is certain
                to have ended.
        """
        try:
            await self._wait_for_previous_tenure(wait_s)
            if self.state is HoldingState.WAITING:
                await self._serve()
        finally:
            self._trigger("end")
            self.ended.set()

    async def _wait_for_previous_tenure(self, wait_s: float) -> None:
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
