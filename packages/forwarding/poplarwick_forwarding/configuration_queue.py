"""Holds requests that arrive before a starting instance knows a configuration.

Load pattern: all instances start at once while callers are already there, so
that many requests wait at each when its configuration arrives. They are
released by priority, then by arrival: the first one released takes the
capacity.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from poplarwick_catalogue import routing


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiting:
    read_priority: Callable[[routing.Routing], int]
    released: asyncio.Future[None]


class ConfigurationQueue:
    """Queue of requests that wait for the first configuration.

    Args:
        read_routing: Returns the configuration in force; None if there is
            none yet.
    """

    def __init__(
        self, read_routing: Callable[[], routing.Routing | None]
    ) -> None:
        self._read_routing = read_routing
        # Ordered by arrival.
        self._waiting: dict[_Waiting, None] = {}

    async def wait(
        self, read_priority: Callable[[routing.Routing], int], timeout_s: float
    ) -> routing.Routing | None:
        """Returns the configuration; None if there is none within the time.

        Args:
            read_priority: Returns the priority of the request under a
                configuration; 0 is the most urgent.
            timeout_s: Longest wait.
        """
        rules = self._read_routing()
        if rules is not None:
            return rules
        waiting = _Waiting(
            read_priority, asyncio.get_running_loop().create_future()
        )
        self._waiting[waiting] = None
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await waiting.released
        finally:
            self._waiting.pop(waiting, None)
        return self._read_routing()

    def release(self) -> None:
        """Releases the waiting requests if a configuration is known."""
        if not self._waiting:
            return
        rules = self._read_routing()
        if rules is None:
            return
        # Sorting is stable: equal priorities stay in the order of arrival.
        for waiting in sorted(
            self._waiting, key=lambda entry: entry.read_priority(rules)
        ):
            if not waiting.released.done():
                waiting.released.set_result(None)
        self._waiting.clear()
