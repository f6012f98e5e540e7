"""Gauges of an instance: its view of the system, and its buffers."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from poplarwick_catalogue import catalogue
from poplarwick_core import metrics
from poplarwick_placement import organisation_shares


def add_gauges(instance_catalogue: catalogue.Catalogue) -> None:
    """Registers gauges of the known endpoints, instances and version."""
    metrics.make_gauge(
        "endpoints",
        "Known endpoints by service and state.",
        lambda: _observe_endpoints(instance_catalogue),
    )
    metrics.make_gauge(
        "instances",
        "Known instances.",
        lambda: [metrics.Observation(len(instance_catalogue.members))],
    )
    metrics.make_gauge(
        "quarantines",
        "Quarantines of parts of prompts that are in force.",
        lambda: [
            metrics.Observation(instance_catalogue.quarantines.in_force_count)
        ],
    )
    metrics.make_gauge(
        "configuration_version",
        "Version of the configuration in force; 0 before the first.",
        lambda: [
            metrics.Observation(
                instance_catalogue.routing.version
                if instance_catalogue.routing
                else 0
            )
        ],
    )


def add_buffer_gauge(read_used_bytes: Callable[[], int]) -> None:
    """Registers the gauge of the data buffered for callers and endpoints.

    Args:
        read_used_bytes: Returns its size in bytes.
    """
    metrics.make_gauge(
        "buffered_bytes",
        "Bytes buffered for callers and endpoints.",
        lambda: [metrics.Observation(read_used_bytes())],
    )


def add_usage_gauge(
    list_largest_users: Callable[
        [], Sequence[organisation_shares.OrganisationUsage]
    ],
) -> None:
    """Registers a gauge of the organisations that exceed their shares most.

    Args:
        list_largest_users: Returns them, the few largest.
    """
    metrics.make_gauge(
        "organisation_usage",
        "Usage as a multiple of the share, of the organisations that use most.",
        lambda: [
            metrics.Observation(
                usage.factor,
                {"service": usage.service, "organisation": usage.organisation},
            )
            for usage in list_largest_users()
        ],
    )


def _observe_endpoints(
    instance_catalogue: catalogue.Catalogue,
) -> Iterable[metrics.Observation]:
    counts = collections.Counter(
        (tracked.endpoint.service, _get_state(tracked, instance_catalogue))
        for tracked in instance_catalogue.endpoints.values()
    )
    return [
        metrics.Observation(count, {"service": service, "state": state})
        for (service, state), count in counts.items()
    ]


def _get_state(
    tracked: catalogue.TrackedEndpoint, instance_catalogue: catalogue.Catalogue
) -> str:
    if tracked.lapsed_at_s is not None:
        return "lapsed"
    if tracked.endpoint.domain in instance_catalogue.evacuated:
        return "taken_out"
    return tracked.endpoint.state.value
