"""Follows the prefix cache events of one engine."""

from __future__ import annotations

import asyncio
import types

from poplarwick_dispatch import prefixes
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors

WAIT_S = 20.0
PAUSE_S = 0.1
RETRY_S = 2.0


class CacheWatch:
    """One task that keeps a prefix view up to date.

    Args:
        view: The view that receives the events.
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
                    self._view.last_seq, WAIT_S
                )
            except errors.EndpointError:
                # What happens meanwhile is unknown.
                self._view.clear()
                await asyncio.sleep(RETRY_S)
                continue
            self._view.apply(update)
            # Events come in groups; one exchange for each would cost more.
            await asyncio.sleep(PAUSE_S)
