"""Deployment of an instance and the bounds that apply to it."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from poplarwick_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform sets for all instances together.

    Changed fields are logged under their names.

    Attributes:
        grace_s: Time from the stop signal until the process is killed.
        repeat_ratio: Retries allowed per request of a service.
        repeat_window_s: Window over which retries are counted.
        repeat_extra: Retries allowed per window in addition to the ratio.
        cold_factor: Multiple of a cold endpoint's request rate that it
            tolerates.
        cold_slack: Requests per second that it tolerates in addition.
        hold_max_s: Longest time for which engine memory may be reserved.
        free_s: Time within which reserved memory must be released after use.
    """

    grace_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_extra: float
    cold_factor: float
    cold_slack: float
    hold_max_s: float
    free_s: float


@dataclasses.dataclass(slots=True)
class Deployment:
    """Deployment of one instance on the platform.

    `bounds` is replaced when the settings change. The other fields stay the
    same while the process runs. Changed fields are logged under their names.

    Attributes:
        instance: Name of the instance.
        domain: Failure domain of the instance.
        region: Region of the instance.
        regions_by_domain: Region of each failure domain.
        caller_address: Host and port that callers connect to.
        readiness_address: Host and port of the readiness check.
        peer_address: Host and port that other instances connect to.
        relay_address: Host and port at which connections to endpoints are
            relayed for other instances; the port is the same on all.
        metrics_address: Host and port of the metrics.
        store_address: Host and port of the platform's store.
        lease_ttl_min_s: Shortest lease that the store grants.
        strength: Processor time and network bandwidth relative to a typical
            instance, at most 1.
        has_contention: Whether callers compete for engines that cannot hold
            all requests at once.
        memory_bytes: Memory that the process may use; 0 if unknown.
        cores: Processor time of the process in cores of the reference speed;
            0 if unknown.
        bounds: Bounds from the current settings.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    region: ids.RegionId
    regions_by_domain: Mapping[ids.DomainId, ids.RegionId]
    caller_address: str
    readiness_address: str
    peer_address: str
    relay_address: str
    metrics_address: str
    store_address: str
    lease_ttl_min_s: float
    strength: float
    bounds: Bounds
    has_contention: bool = False
    memory_bytes: int = 0
    cores: float = 0.0
