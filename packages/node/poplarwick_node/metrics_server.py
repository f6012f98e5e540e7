"""Serves the metrics of an instance to operators."""

from __future__ import annotations

import asyncio
import types
from typing import Self

from aiohttp import web

from poplarwick_core import logs
from poplarwick_node import _telemetry
from poplarwick_node import log_events


class MetricsServer:
    """Answers with all metrics as text while its context is open.

    An address that cannot be listened on does not keep the instance from
    serving callers.

    Args:
        address: Host and port to listen on.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._web: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._web = web.Server(self._handle, access_log=None)
        loop = asyncio.get_running_loop()
        try:
            self._listener = await loop.create_server(
                self._web, self._host, self._port
            )
        except OSError as error:
            logs.log(log_events.MetricsNotServed(reason=str(error)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._web is not None:
            await self._web.shutdown(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != _telemetry.METRICS_PATH:
            return web.Response(status=404)
        return await _telemetry.show_metrics(request)
