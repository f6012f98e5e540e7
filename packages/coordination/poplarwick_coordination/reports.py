"""Asks engines for reports, to learn of slow and of lost ones.

Load pattern: engines that turn slow or fall silent while long prompts are read
by many of them together, so that one holds up all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from poplarwick_catalogue import catalogue
from poplarwick_core import ids

PERIOD_S = 1.0
"""Period of reports from one engine; each one is paid for."""

TIMEOUT_S = 0.4
"""Longest wait for a report; it needs no slot at the engine."""


class ReportError(Exception):
    """An engine gave no report."""


class Reader(Protocol):
    """Reads the report of an engine."""

    async def read_slowdown(self, address: str) -> float:
        """Returns how slow the engine is; 1 is its profile.

        Raises:
            ReportError: It gave no report.
        """
        ...


class ReportPoller:
    """Asks all engines, each in a task of its own.

    Args:
        reader: Reads a report.
        known: What is routed where.
        note: Called with an engine and its pace, or None if it is silent.
    """

    def __init__(
        self,
        reader: Reader,
        known: catalogue.Catalogue,
        note: Callable[[ids.EndpointId, float | None], None],
    ) -> None:
        self._reader = reader
        self._catalogue = known
        self._note = note

    async def run(self) -> None:
        """Asks until cancelled."""
        polls: dict[ids.EndpointId, asyncio.Task[None]] = {}
        try:
            while True:
                engines = self._find_engines()
                for gone in [e for e in polls if e not in engines]:
                    polls.pop(gone).cancel()
                for endpoint, address in engines.items():
                    if endpoint not in polls:
                        polls[endpoint] = asyncio.create_task(
                            self._poll(endpoint, address)
                        )
                await asyncio.sleep(PERIOD_S)
        finally:
            for poll in polls.values():
                poll.cancel()

    def _find_engines(self) -> dict[ids.EndpointId, str]:
        routing = self._catalogue.routing
        if routing is None:
            return {}
        return {
            known.endpoint.id: known.endpoint.address
            for known in self._catalogue.endpoints.values()
            if (service := routing.services.get(known.endpoint.service))
            and service.engine is not None
        }

    async def _poll(self, endpoint: ids.EndpointId, address: str) -> None:
        while True:
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    pace = await self._reader.read_slowdown(address)
            except (ReportError, TimeoutError):
                self._note(endpoint, None)
            else:
                self._note(endpoint, pace)
            await asyncio.sleep(PERIOD_S)
