"""Interface of the membership view that each instance maintains."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from poplarwick_core import ids


class MemberState(enum.Enum):
    """State of an instance as seen by another instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance as seen by another instance.

    Attributes:
        instance: Unique id; it survives restarts of the process.
        address: Host and port of the peer protocol.
        domain: Failure domain of the instance.
        region: Region of the instance.
        incarnation: Version of the instance's own state. It increases with
            each restart and each refuted suspicion.
        state: State of the instance as seen by the observer.
    """

    instance: ids.InstanceId
    address: str
    domain: ids.DomainId
    region: ids.RegionId
    incarnation: int
    state: MemberState = MemberState.ALIVE


class Membership(Protocol):
    """Membership view of one instance; it always includes the instance."""

    @property
    def own(self) -> Member:
        """This instance."""
        ...

    @property
    def members(self) -> tuple[Member, ...]:
        """All known instances that are not dead, including this one."""
        ...

    def find(self, instance: ids.InstanceId) -> Member | None:
        """Returns a member, or None if the instance is unknown or dead."""
        ...
