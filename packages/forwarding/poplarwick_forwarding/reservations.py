"""Holds memory at engines for a prompt that one engine cannot hold.

All of a group's memory is reserved or none; it is renewed while the request
runs and given back on every exit. Short leases return the memory if this
instance dies.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator
from collections.abc import Callable

from poplarwick_catalogue import deployment
from poplarwick_core import logs
from poplarwick_forwarding import dialect
from poplarwick_forwarding import log_events
from poplarwick_placement import messages

HOLD_SHARE = 0.75
"""Life of a reservation without a renewal, as a part of the time in which
unused memory must be back; the rest covers an order that arrives late."""

RENEWALS = 3
"""Renewals within the life of a reservation: two may be lost."""

RELEASE_TRIES = 3
"""Times that a release is tried; after them the reservation runs out."""

RELEASE_PAUSE_S = 0.3
"""Pause between tries of a release."""

Held = tuple[tuple[messages.Helper, str | None], ...]


class Reservations:
    """Reserves, renews and releases the memory of groups.

    Args:
        orders: EngineClient to engines.
        read_bounds: Tells the bounds in force.
    """

    def __init__(
        self,
        orders: dialect.EngineClient,
        read_bounds: Callable[[], deployment.Bounds],
    ) -> None:
        self._orders = orders
        self._read_bounds = read_bounds
        self._releasing: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def hold(
        self, helpers: tuple[messages.Helper, ...]
    ) -> AsyncIterator[Held]:
        """Holds the helpers' memory while the context is open.

        Raises:
            dialect.ReservationError: Not all of the memory was free.
        """
        held: Held = tuple(
            (helper, secrets.token_hex(8) if helper.reserved_tokens else None)
            for helper in helpers
        )
        reserved = [(h, ticket) for h, ticket in held if ticket is not None]
        if not reserved:
            yield held
            return
        renewing: asyncio.Task[None] | None = None
        try:
            await self._reserve(reserved)
            renewing = asyncio.create_task(self._keep(reserved))
            yield held
        finally:
            if renewing is not None:
                renewing.cancel()
            self._release_later(reserved)

    async def drain(self) -> None:
        """Waits until all releases have ended."""
        if self._releasing:
            await asyncio.wait(self._releasing)

    async def _reserve(
        self, reserved: list[tuple[messages.Helper, str]]
    ) -> None:
        results = await asyncio.gather(
            *(self._reserve_one(helper, ticket) for helper, ticket in reserved),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _reserve_one(self, helper: messages.Helper, ticket: str) -> None:
        await self._orders.reserve(
            helper.address, ticket, helper.reserved_tokens, self._hold_s
        )

    @property
    def _hold_s(self) -> float:
        bounds = self._read_bounds()
        return min(HOLD_SHARE * bounds.free_s, bounds.hold_max_s)

    async def _keep(self, reserved: list[tuple[messages.Helper, str]]) -> None:
        while True:
            await asyncio.sleep(self._hold_s / RENEWALS)
            for helper, ticket in reserved:
                try:
                    await self._reserve_one(helper, ticket)
                except dialect.ReservationError as error:
                    logs.log(
                        log_events.ReservationNotRenewed(
                            endpoint=helper.endpoint,
                            ticket=ticket,
                            reason=str(error),
                        )
                    )

    def _release_later(
        self, reserved: list[tuple[messages.Helper, str]]
    ) -> None:
        for helper, ticket in reserved:
            task = asyncio.create_task(self._release(helper, ticket))
            self._releasing.add(task)
            task.add_done_callback(self._releasing.discard)

    async def _release(self, helper: messages.Helper, ticket: str) -> None:
        for _ in range(RELEASE_TRIES):
            try:
                await self._orders.release(helper.address, ticket)
            except dialect.ReservationError as error:
                logs.log(
                    log_events.ReservationNotReleased(
                        endpoint=helper.endpoint,
                        ticket=ticket,
                        reason=str(error),
                    )
                )
                await asyncio.sleep(RELEASE_PAUSE_S)
            else:
                return
