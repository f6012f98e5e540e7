"""Polls engines for load reports to detect slow and unresponsive ones.

Load pattern: an engine becomes slow or unresponsive while several engines
prefill long prompts together, so that it delays all of them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from poplarwick_catalogue import catalogue
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import time_limit
from poplarwick_placement import engine_report

REPORT_PERIOD_S = 1.0
"""Interval between reports from an engine in use. Each report is charged
for."""

UNUSED_REPORT_PERIOD_S = 4.0
"""Interval between reports from an engine that works on nothing. A fault of it
delays nobody, and its first request finds it."""

INHERITED_REPORT_PERIOD_S = 0.3
"""Interval between reports from an engine that runs requests which are not
known: only reports show when they have ended."""

REPORT_TIMEOUT_S = 0.4
"""Time limit for a report. A report needs no batch slot at the engine."""


class ReportError(Exception):
    """An engine did not return a report."""


OnReport = Callable[[ids.EndpointId, engine_report.EngineReport | None], None]
"""Called with an engine and its report, or None if it returned none."""


class Reader(Protocol):
    """Reads the reports of engines."""

    async def read_report(self, address: str) -> engine_report.EngineReport:
        """Returns the report of an engine.

        Args:
            address: Host and port of the engine.

        Raises:
            ReportError: The engine did not return a report.
        """
        ...

    async def is_reachable(self, address: str) -> bool:
        """Returns whether an endpoint accepts a connection.

        Args:
            address: Host and port of the endpoint.
        """
        ...


async def read(
    reader: Reader, address: str
) -> engine_report.EngineReport | None:
    """Returns the report of an engine; None if it returned none.

    Args:
        reader: Reads the reports of engines.
        address: Host and port of the engine.
    """
    try:
        async with time_limit.limit_time(REPORT_TIMEOUT_S):
            return await reader.read_report(address)
    except (ReportError, TimeoutError):
        return None


class ReportPoller:
    """Polls every engine in a task of its own.

    Args:
        reader: Reads the reports of engines.
        catalogue_: Routing configuration, endpoints and members.
        on_report: Called with an engine and its report.
        is_paused: Returns whether the engine at an address wants nothing from
            this instance now.
        is_used: Returns whether an engine works on any request.
        has_inherited_load: Returns whether an engine runs requests that are
            not known.
    """

    def __init__(
        self,
        reader: Reader,
        catalogue_: catalogue.Catalogue,
        on_report: OnReport,
        *,
        is_paused: Callable[[str], bool],
        is_used: Callable[[ids.EndpointId], bool],
        has_inherited_load: Callable[[ids.EndpointId], bool] = (
            lambda endpoint: False
        ),
    ) -> None:
        self._has_inherited_load = has_inherited_load
        self._is_paused = is_paused
        self._is_used = is_used
        self._reader = reader
        self._catalogue = catalogue_
        self._on_report = on_report

    async def run(self) -> None:
        """Polls the engines until cancelled."""
        polls: dict[ids.EndpointId, asyncio.Task[None]] = {}
        try:
            while True:
                engines = self._find_engines()
                for removed in [e for e in polls if e not in engines]:
                    polls.pop(removed).cancel()
                for endpoint, address in engines.items():
                    if endpoint not in polls:
                        polls[endpoint] = asyncio.create_task(
                            self._poll(endpoint, address)
                        )
                await asyncio.sleep(REPORT_PERIOD_S)
        finally:
            for poll in polls.values():
                poll.cancel()

    def _find_engines(self) -> dict[ids.EndpointId, str]:
        routing = self._catalogue.routing
        if routing is None:
            return {}
        return {
            tracked.endpoint.id: tracked.endpoint.address
            for tracked in self._catalogue.endpoints.values()
            if (service := routing.services.get(tracked.endpoint.service))
            and service.engine is not None
        }

    async def _poll(self, endpoint: ids.EndpointId, address: str) -> None:
        polled_at_s = 0.0
        while True:
            now_s = clock.now_s()
            is_due = (
                self._is_used(endpoint)
                or now_s >= polled_at_s + UNUSED_REPORT_PERIOD_S
            )
            if is_due and not self._is_paused(address):
                polled_at_s = now_s
                await self._report(endpoint, address)
            await asyncio.sleep(
                INHERITED_REPORT_PERIOD_S
                if self._has_inherited_load(endpoint)
                else REPORT_PERIOD_S
            )

    async def _report(self, endpoint: ids.EndpointId, address: str) -> None:
        self._on_report(endpoint, await read(self._reader, address))
