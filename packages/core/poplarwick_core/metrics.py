"""OpenTelemetry instruments of the system."""

from __future__ import annotations

from opentelemetry import metrics

METER_NAME = "poplarwick"


def make_counter(name: str, description: str) -> metrics.Counter:
    """Returns a counter named `poplarwick_<name>`."""
    meter = metrics.get_meter(METER_NAME)
    return meter.create_counter(f"poplarwick_{name}", description=description)


def make_histogram(name: str, unit: str, description: str) -> metrics.Histogram:
    """Returns a histogram named `poplarwick_<name>`."""
    meter = metrics.get_meter(METER_NAME)
    return meter.create_histogram(
        f"poplarwick_{name}", unit=unit, description=description
    )
