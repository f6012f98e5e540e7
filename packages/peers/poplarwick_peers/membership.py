"""Interface of the view that an instance has of the others."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from poplarwick_core import ids


class MemberState(enum.Enum):
    """What is believed about an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance as seen by another.

    Attributes:
        instance: Unique id; a restarted process keeps it.
        address: Host and port of the peer protocol.
        domain: Failure domain of the instance.
        region: Region of the instance.
        incarnation: Grows with each restart and each refuted suspicion.
        state: What is believed about the instance.
    """

    instance: ids.InstanceId
    address: str
    domain: ids.DomainId
    region: ids.RegionId
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Membership(Protocol):
    """The view of one instance; it always contains the instance itself."""

    @property
    def own(self) -> Member:
        """This instance."""
        ...

    @property
    def members(self) -> tuple[Member, ...]:
        """All known instances that are not dead, this one included."""
        ...

    def find(self, instance: ids.InstanceId) -> Member | None:
        """Returns the instance, or None if it is unknown or dead."""
        ...
