"""Metrics in the Prometheus text format.

Importing this module loads the exporter.
"""

from __future__ import annotations

import prometheus_client
from aiohttp import web
from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from poplarwick_core import logs
from poplarwick_core import metrics
from poplarwick_node import log_events
from poplarwick_node import metrics_server


def collect_metrics() -> None:
    """Installs the global meter provider and passes on what was counted.

    Has no effect if it was called before.
    """
    if metrics.is_installed():
        return
    reader = prometheus.PrometheusMetricReader()
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    otel.set_meter_provider(provider)
    dropped = metrics.install(provider.get_meter(metrics.METER_NAME))
    if dropped:
        logs.log(log_events.MeasurementsDropped(count=dropped))


def add_metrics(application: web.Application) -> None:
    """Installs the meter provider and adds `/metrics` to an application."""
    collect_metrics()
    application.router.add_get(metrics_server.METRICS_PATH, show_metrics)


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
