"""Finds out whether an endpoint that cut answers off still lives.

Load pattern: a request crashes endpoint after endpoint. The next time that it
is sent is decided before the entries of the crashed endpoints lapse.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_coordination import reports
from poplarwick_core import ids
from poplarwick_core import time_limit


class CrashProbe:
    """Asks engines for a report and other endpoints for a connection.

    Args:
        reader: Calls the endpoints.
        catalogue_: Routing configuration, endpoints and members.
        on_report: Called with an engine and its report, or None if
            the engine did not return a report.
        on_connection: Called with another endpoint and whether it accepted a
            connection.
        is_paused: Returns whether the endpoint at an address wants nothing
            from this instance now.
    """

    def __init__(
        self,
        reader: reports.Reader,
        catalogue_: catalogue.Catalogue,
        on_report: reports.OnReport,
        on_connection: Callable[[ids.EndpointId, bool], None],
        *,
        is_paused: Callable[[str], bool],
    ) -> None:
        self._reader = reader
        self._catalogue = catalogue_
        self._on_report = on_report
        self._on_connection = on_connection
        self._is_paused = is_paused
        self._probes: dict[ids.EndpointId, asyncio.Task[None]] = {}

    def probe(self, endpoint: ids.EndpointId) -> None:
        """Calls an endpoint at once, unless that is being done."""
        tracked = self._catalogue.endpoints.get(endpoint)
        routing = self._catalogue.routing
        if tracked is None or routing is None or endpoint in self._probes:
            return
        address = tracked.endpoint.address
        if self._is_paused(address):
            return
        service = routing.services.get(tracked.endpoint.service)
        call = self._connect
        if service is not None and service.engine is not None:
            call = self._read_report
        task = asyncio.create_task(call(endpoint, address))
        self._probes[endpoint] = task
        task.add_done_callback(lambda _: self._probes.pop(endpoint))

    def stop(self) -> None:
        """Cancels all calls."""
        for probe in self._probes.values():
            probe.cancel()

    async def _read_report(
        self, endpoint: ids.EndpointId, address: str
    ) -> None:
        self._on_report(endpoint, await reports.read(self._reader, address))

    async def _connect(self, endpoint: ids.EndpointId, address: str) -> None:
        is_reachable = False
        with contextlib.suppress(TimeoutError):
            async with time_limit.limit_time(reports.REPORT_TIMEOUT_S):
                is_reachable = await self._reader.is_reachable(address)
        self._on_connection(endpoint, is_reachable)
