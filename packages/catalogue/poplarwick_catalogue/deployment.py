"""Where an instance runs and which bounds hold there."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from poplarwick_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the platform sets for all instances together.

    Attributes:
        grace_s: Time from the signal to stop until the process is killed.
        repeat_ratio: Repeats allowed for each request of a service.
        repeat_window_s: Window over which repeats are counted.
        repeat_extra: Repeats allowed in a window beside the ratio.
        cold_factor: Multiple of a cold endpoint's rate that it bears.
        cold_slack: Requests in a second that it bears beside that.
        hold_max_s: Longest time that engine memory may be reserved for.
        free_s: Time in which reserved memory must be given back after use.
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
    """One instance's place on the platform.

    Addresses stay as they are while the process runs; `bounds` are replaced
    when the settings change.

    Attributes:
        instance: Name of the instance.
        domain: Its failure domain.
        region: Its region.
        regions_by_domain: Region of each failure domain.
        caller_address: Host and port that callers connect to.
        readiness_address: Host and port of the readiness check.
        peer_address: Host and port that other instances connect to.
        metrics_address: Host and port of the metrics.
        store_address: Host and port of the platform's store.
        lease_ttl_min_s: Shortest lease that the store grants.
        strength: Processor time and link against those of a usual instance,
            at most 1.
        bounds: Bounds of the deployment, as the settings tell them now.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    region: ids.RegionId
    regions_by_domain: Mapping[ids.DomainId, ids.RegionId]
    caller_address: str
    readiness_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    lease_ttl_min_s: float
    strength: float
    bounds: Bounds
