"""What the holder of a resource knows about its tenure."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from poplarwick_core import ids


class ResourceKind(enum.Enum):
    """Kinds of resources that have one owner at a time."""

    ENDPOINT = "endpoint"
    SHARD = "shard"


ResourceKey = tuple[ResourceKind, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """Something with one owner at a time.

    Attributes:
        kind: What it is.
        id: Unique id within its kind.
        region: Region whose instances may own it.
        is_fenced: Whether it refuses orders with an old epoch. A new owner
            of a fenced resource need not wait for the earlier one to stop.
    """

    kind: ResourceKind
    id: str
    region: ids.RegionId
    is_fenced: bool = False

    @property
    def key(self) -> ResourceKey:
        """What tells it from other resources, whatever its settings."""
        return self.kind, self.id


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """One period of ownership of one resource.

    Attributes:
        resource: The resource.
        epoch: Fencing number; higher than that of all earlier tenures.
        is_valid: Returns whether the holder may act now. It reads the
            monotonic clock and must be called right before each order.
    """

    resource: Resource
    epoch: ids.Epoch
    is_valid: Callable[[], bool]


class TenureListener(Protocol):
    """Learns about the beginning and the end of tenures."""

    async def begin_tenure(self, tenure: Tenure) -> None:
        """Starts to act as owner; earlier tenures have surely ended."""
        ...

    async def end_tenure(self, tenure: Tenure, *, is_planned: bool) -> None:
        """Stops to act as owner; a planned end is handed over first."""
        ...


class Ownership(Protocol):
    """Holds resources for this instance."""

    def set_resources(self, resources: tuple[Resource, ...]) -> None:
        """Replaces the set of resources that need an owner."""
        ...

    def set_excluded(self, instances: frozenset[ids.InstanceId]) -> None:
        """Replaces the set of instances that may own nothing.

        What such an instance owns is handed over.
        """
        ...

    @property
    def tenures(self) -> tuple[Tenure, ...]:
        """Tenures held by this instance now."""
        ...

    async def release_all(self) -> None:
        """Hands over all resources before a planned stop."""
        ...
