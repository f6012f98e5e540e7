"""Gives instances a share of a core by stopping and continuing them.

Load pattern: machines whose quota is a part of a core. A process that has used
its part of a period stands still until the next period. Here it stands still
in each period, busy or not, which is harsher on an idle process.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from poplarwick_bench import process

PERIOD_S = 0.1
"""Period of the quota."""


class Pauses:
    """Pauses a process for as long as anything holds it.

    Only the process that the bench has started is signalled, and not once it
    has exited.

    Args:
        node: The process.
    """

    def __init__(self, node: process.Process) -> None:
        self._node = node
        self._holders = 0

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Pauses the process until the context is exited."""
        self._holders += 1
        if self._holders == 1:
            self._node.pause()
        try:
            yield
        finally:
            self._holders -= 1
            if not self._holders:
                self._node.resume()


async def limit_share(
    pauses: Pauses, share: float, period_s: float = PERIOD_S
) -> None:
    """Lets a process run for a share of each period until cancelled.

    Args:
        pauses: Pauses of the process.
        share: Share of a core.
        period_s: Length of a period.
    """
    while True:
        with pauses.hold():
            await asyncio.sleep((1 - share) * period_s)
        await asyncio.sleep(share * period_s)
