"""Resources, tenures and the interfaces of the ownership service."""

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
    """A resource that has at most one owner at a time.

    Attributes:
        kind: Kind of the resource.
        id: Unique id within its kind.
        region: Region whose instances may own the resource.
        is_fenced: Whether the resource rejects commands with an old epoch. A
            new owner of a fenced resource does not have to wait for the
            previous owner to stop.
    """

    kind: ResourceKind
    id: str
    region: ids.RegionId
    is_fenced: bool = False

    @property
    def key(self) -> ResourceKey:
        """Identity of the resource, independent of its settings."""
        return self.kind, self.id


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """One period of ownership of one resource.

    Attributes:
        resource: The resource.
        epoch: Fencing token; higher than those of all previous tenures.
        is_valid: Returns whether the holder may act now. It reads the
            monotonic clock and must be called immediately before each
            command.
    """

    resource: Resource
    epoch: ids.Epoch
    is_valid: Callable[[], bool]


class TenureListener(Protocol):
    """Receives the start and the end of tenures."""

    async def begin_tenure(self, tenure: Tenure) -> None:
        """Starts to act as owner. All previous tenures have ended."""
        ...

    async def end_tenure(self, tenure: Tenure, *, is_planned: bool) -> None:
        """Stops acting as owner.

        Args:
            tenure: The tenure that ends.
            is_planned: Whether the resource is handed over. If so, the
                holder may still act until this method returns.
        """
        ...


class Ownership(Protocol):
    """Acquires and releases resources for this instance."""

    def set_resources(self, resources: tuple[Resource, ...]) -> None:
        """Replaces the set of resources that need an owner."""
        ...

    def set_excluded(self, instances: frozenset[ids.InstanceId]) -> None:
        """Replaces the set of instances that may not own resources.

        Resources of an excluded instance are handed over.
        """
        ...

    @property
    def tenures(self) -> tuple[Tenure, ...]:
        """Tenures that this instance holds now."""
        ...

    async def release_all(self) -> None:
        """Hands over all resources before a planned shutdown."""
        ...
