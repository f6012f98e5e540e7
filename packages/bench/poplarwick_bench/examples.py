"""Example deployments for tests and benchmarks."""

from __future__ import annotations

import dataclasses
from typing import Any

from poplarwick_catalogue import deployment
from poplarwick_core import ids

BOUNDS = deployment.Bounds(
    grace_s=8.0,
    repeat_ratio=0.2,
    repeat_window_s=10.0,
    repeat_extra=100.0,
    cold_factor=1.5,
    cold_slack=5.0,
    hold_max_s=20.0,
    free_s=4.0,
)
"""Bounds of the users' deployments."""


def make_bounds(**changes: float) -> deployment.Bounds:
    """Returns the users' bounds with changed fields."""
    return dataclasses.replace(BOUNDS, **changes)


def make_deployment(
    instance: str = "front-0", **changes: Any
) -> deployment.Deployment:
    """Returns the deployment of an instance with changed fields."""
    example = deployment.Deployment(
        instance=ids.InstanceId(instance),
        domain=ids.DomainId("a"),
        region=ids.RegionId("r"),
        regions_by_domain={ids.DomainId("a"): ids.RegionId("r")},
        caller_address="127.0.0.1:1",
        readiness_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        relay_address="127.0.0.1:5",
        metrics_address="127.0.0.1:4",
        store_address="127.0.0.1:5",
        lease_ttl_min_s=1.0,
        strength=1.0,
        bounds=BOUNDS,
    )
    return dataclasses.replace(example, **changes)
