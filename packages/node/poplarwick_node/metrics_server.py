"""HTTP server for the metrics of an instance."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web_response

from poplarwick_core import logs
from poplarwick_node import log_events
from poplarwick_node import page_server

METRICS_PATH = "/metrics"

EXPORTER_MODULE = "poplarwick_node._telemetry"

LOAD_DELAY_S = 5.0
"""Time after which the exporter is loaded though nobody has asked for metrics.
The requests that have gathered during a start are served by then."""


class _Exporter:
    """Loads the exporter once, in a thread, so that requests are served."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._module: Any = None

    async def load_later(self) -> None:
        """Loads the exporter after a delay; a failure is logged."""
        await asyncio.sleep(LOAD_DELAY_S)
        try:
            await self._load()
        except Exception as error:
            logs.log(log_events.MetricsNotServed(reason=repr(error)))

    async def make_page(self) -> web_response.Response:
        """Returns a response with all metrics as text."""
        try:
            module = await self._load()
        except Exception as error:
            logs.log(log_events.MetricsNotServed(reason=repr(error)))
            return web_response.Response(status=500)
        page: web_response.Response = module.make_page()
        return page

    async def _load(self) -> Any:
        async with self._lock:
            if self._module is None:
                module = await asyncio.to_thread(
                    importlib.import_module, EXPORTER_MODULE
                )
                module.collect_metrics()
                self._module = module
        return self._module


@contextlib.asynccontextmanager
async def serve_metrics(address: str) -> AsyncIterator[None]:
    """Serves all metrics as text while the context is open.

    If the address cannot be listened on, the failure is logged and the
    instance serves callers without metrics.

    Args:
        address: Host and port to listen on.
    """
    exporter = _Exporter()
    async with contextlib.AsyncExitStack() as stack:
        try:
            await stack.enter_async_context(
                page_server.PageServer(
                    address, METRICS_PATH, exporter.make_page
                )
            )
        except OSError as error:
            logs.log(log_events.MetricsNotServed(reason=str(error)))
        loading = asyncio.create_task(exporter.load_later())
        stack.callback(loading.cancel)
        yield
