"""Metrics in the Prometheus text format."""

from __future__ import annotations

import prometheus_client
from aiohttp import web
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

METRICS_PATH = "/metrics"


def collect_metrics() -> None:
    """Installs the global meter provider.

    Called once, before components create their instruments.
    """
    reader = prometheus.PrometheusMetricReader()
    metrics.set_meter_provider(
        sdk_metrics.MeterProvider(metric_readers=[reader])
    )


def add_metrics(application: web.Application) -> None:
    """Installs the meter provider and adds `/metrics` to an application."""
    collect_metrics()
    application.router.add_get(METRICS_PATH, show_metrics)


async def show_metrics(request: web.BaseRequest) -> web.Response:
    """Handles a request for `/metrics`."""
    del request
    return make_page()


def make_page() -> web.Response:
    """Returns a response with all metrics as text."""
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
    )
