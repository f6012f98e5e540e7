"""Polls the prefix cache events of one engine."""

from __future__ import annotations

import asyncio
import types

from poplarwick_dispatch import prefixes
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors

LONG_POLL_S = 20.0
BATCH_DELAY_S = 0.1
RETRY_DELAY_S = 2.0


class CacheWatch:
    """Runs a task that keeps a prefix view up to date.

    Args:
        view: View that the events are applied to.
        control: Control client of the engine.
    """

    def __init__(
        self, view: prefixes.PrefixView, control: engine.EngineControl
    ) -> None:
        self._view = view
        self._control = control
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> CacheWatch:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                update = await self._control.read_cache_events(
                    self._view.last_seq, LONG_POLL_S
                )
            except errors.EndpointError:
                # Events may be missed until the engine responds again.
                self._view.clear()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._view.apply(update)
            # Events arrive in bursts; a round trip for each would cost more.
            await asyncio.sleep(BATCH_DELAY_S)
