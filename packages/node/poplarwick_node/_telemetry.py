"""Metrics in the Prometheus text format."""

from __future__ import annotations

import prometheus_client
from aiohttp import web
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics


def add_metrics(application: web.Application) -> None:
    """Adds `/metrics` to an application."""
    reader = prometheus.PrometheusMetricReader()
    metrics.set_meter_provider(
        sdk_metrics.MeterProvider(metric_readers=[reader])
    )
    application.router.add_get("/metrics", _show_metrics)


async def _show_metrics(request: web.Request) -> web.Response:
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
    )
