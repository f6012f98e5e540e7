"""Metrics of what an instance believes of the system."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from opentelemetry import metrics as otel

from poplarwick_catalogue import catalogue
from poplarwick_core import metrics


def add_gauges(known: catalogue.Catalogue) -> None:
    """Adds gauges of the endpoints, instances and version that are known."""
    metrics.make_gauge(
        "endpoints",
        "Known endpoints by service and state.",
        lambda: _observe_endpoints(known),
    )
    metrics.make_gauge(
        "instances",
        "Known instances.",
        lambda: [otel.Observation(len(known.members))],
    )
    metrics.make_gauge(
        "configuration_version",
        "Version of the configuration in force; 0 before the first.",
        lambda: [
            otel.Observation(known.routing.version if known.routing else 0)
        ],
    )


def _observe_endpoints(
    known: catalogue.Catalogue,
) -> Iterable[otel.Observation]:
    counts = collections.Counter(
        (noted.endpoint.service, _name_state(noted, known))
        for noted in known.endpoints.values()
    )
    return [
        otel.Observation(count, {"service": service, "state": state})
        for (service, state), count in counts.items()
    ]


def _name_state(
    noted: catalogue.TrackedEndpoint, known: catalogue.Catalogue
) -> str:
    if noted.lapsed_at_s is not None:
        return "lapsed"
    if noted.endpoint.domain in known.evacuated:
        return "taken_out"
    return noted.endpoint.state.value
