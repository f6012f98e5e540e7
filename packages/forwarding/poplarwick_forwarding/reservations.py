"""Reserves engine memory for prompts that exceed the memory of one engine.

Either all of a prompt's memory is reserved or none of it. Reservations are
renewed while the request runs and released however it ends. They expire after
a short time, which frees the memory if this instance crashes.
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
"""Lifetime of a reservation that is not renewed, as a fraction of the time
within which unused memory must be free; the rest covers a call that arrives
late."""

RENEWALS = 3
"""Renewals within the lifetime of a reservation; two may be lost."""

RELEASE_ATTEMPTS = 3
"""Attempts to release a reservation; if all fail, it expires."""

RELEASE_RETRY_DELAY_S = 0.3
"""Pause between attempts to release a reservation."""

HelperReservations = tuple[tuple[messages.Helper, str | None], ...]
"""Helpers with the ids of their reservations; None if a helper has none."""


class Reservations:
    """Reserves, renews and releases engine memory.

    Args:
        engines: Client of the engines.
        read_bounds: Returns the bounds in force.
    """

    def __init__(
        self,
        engines: dialect.EngineClient,
        read_bounds: Callable[[], deployment.Bounds],
    ) -> None:
        self._engines = engines
        self._read_bounds = read_bounds
        self._release_tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def hold(
        self, helpers: tuple[messages.Helper, ...]
    ) -> AsyncIterator[HelperReservations]:
        """Holds the helpers' memory while the context is open.

        Raises:
            dialect.ReservationError: Not all of the memory was free.
        """
        reservations: HelperReservations = tuple(
            (helper, secrets.token_hex(8) if helper.reserved_tokens else None)
            for helper in helpers
        )
        reserved = [
            (helper, reservation_id)
            for helper, reservation_id in reservations
            if reservation_id is not None
        ]
        if not reserved:
            yield reservations
            return
        renewal: asyncio.Task[None] | None = None
        try:
            await self._reserve(reserved)
            renewal = asyncio.create_task(self._renew(reserved))
            yield reservations
        finally:
            if renewal is not None:
                renewal.cancel()
            self._start_release(reserved)

    async def drain(self) -> None:
        """Waits until all releases have finished."""
        if self._release_tasks:
            await asyncio.wait(self._release_tasks)

    async def _reserve(
        self, reserved: list[tuple[messages.Helper, str]]
    ) -> None:
        results = await asyncio.gather(
            *(
                self._reserve_one(helper, reservation_id)
                for helper, reservation_id in reserved
            ),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _reserve_one(
        self, helper: messages.Helper, reservation_id: str
    ) -> None:
        await self._engines.reserve(
            helper.address, reservation_id, helper.reserved_tokens, self._hold_s
        )

    @property
    def _hold_s(self) -> float:
        bounds = self._read_bounds()
        return min(HOLD_SHARE * bounds.free_s, bounds.hold_max_s)

    async def _renew(self, reserved: list[tuple[messages.Helper, str]]) -> None:
        while True:
            await asyncio.sleep(self._hold_s / RENEWALS)
            for helper, reservation_id in reserved:
                try:
                    await self._reserve_one(helper, reservation_id)
                except dialect.ReservationError as error:
                    logs.log(
                        log_events.ReservationNotRenewed(
                            endpoint=helper.endpoint,
                            ticket=reservation_id,
                            reason=str(error),
                        )
                    )

    def _start_release(
        self, reserved: list[tuple[messages.Helper, str]]
    ) -> None:
        for helper, reservation_id in reserved:
            task = asyncio.create_task(self._release(helper, reservation_id))
            self._release_tasks.add(task)
            task.add_done_callback(self._release_tasks.discard)

    async def _release(
        self, helper: messages.Helper, reservation_id: str
    ) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._engines.release(helper.address, reservation_id)
            except dialect.ReservationError as error:
                logs.log(
                    log_events.ReservationNotReleased(
                        endpoint=helper.endpoint,
                        ticket=reservation_id,
                        reason=str(error),
                    )
                )
                await asyncio.sleep(RELEASE_RETRY_DELAY_S)
            else:
                return
