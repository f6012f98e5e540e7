"""Serves the metrics of an instance to operators."""

from __future__ import annotations

import asyncio
import types
from typing import Self

import prometheus_client
from aiohttp import web
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from poplarwick_core import logs
from poplarwick_node import log_events

METRICS_PATH = "/metrics"


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
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(
            body=prometheus_client.generate_latest(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )


def collect_metrics() -> None:
    """Begins to collect metrics; called once, before parts are built."""
    reader = prometheus.PrometheusMetricReader()
    metrics.set_meter_provider(
        sdk_metrics.MeterProvider(metric_readers=[reader])
    )
