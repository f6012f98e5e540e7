"""Factories for OpenTelemetry instruments."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics

METER_NAME = "poplarwick"
SECONDS_BOUNDARIES = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
"""Upper bucket bounds, in seconds, of the duration histograms."""

RATIO_BOUNDARIES = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 9.0, 30.0)
"""Upper bucket bounds of the histograms of relative errors."""


def make_counter(name: str, description: str) -> metrics.Counter:
    """Returns a counter named `poplarwick_<name>`."""
    meter = metrics.get_meter(METER_NAME)
    return meter.create_counter(f"poplarwick_{name}", description=description)


def make_gauge(
    name: str,
    description: str,
    observe: Callable[[], Iterable[metrics.Observation]],
) -> None:
    """Registers a gauge named `poplarwick_<name>`.

    Args:
        name: Name without the prefix.
        description: Description shown with the metric.
        observe: Returns the values with their labels; called at each
            collection of metrics.
    """
    meter = metrics.get_meter(METER_NAME)
    meter.create_observable_gauge(
        f"poplarwick_{name}",
        callbacks=[lambda _: observe()],
        description=description,
    )


def make_histogram(name: str, description: str) -> metrics.Histogram:
    """Returns a histogram of seconds, named `poplarwick_<name>`."""
    meter = metrics.get_meter(METER_NAME)
    return meter.create_histogram(
        f"poplarwick_{name}",
        unit="s",
        description=description,
        explicit_bucket_boundaries_advisory=SECONDS_BOUNDARIES,
    )


def make_ratio_histogram(name: str, description: str) -> metrics.Histogram:
    """Returns a histogram of relative errors, named `poplarwick_<name>`."""
    meter = metrics.get_meter(METER_NAME)
    return meter.create_histogram(
        f"poplarwick_{name}",
        description=description,
        explicit_bucket_boundaries_advisory=RATIO_BOUNDARIES,
    )
