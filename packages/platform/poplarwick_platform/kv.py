"""Interface of the platform's key-value service.

The service offers compare-and-swap transactions, leases and watches. Values
are limited to one megabyte. A call that raises `UnknownResultError` may have
taken effect.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import NewType
from typing import Protocol

from poplarwick_core import errors

LeaseId = NewType("LeaseId", int)
Revision = NewType("Revision", int)
Era = NewType("Era", int)

FIRST_ERA = Era(0)
"""Era of a service that names none."""

MAX_VALUE_BYTES = 1_000_000


class KvError(errors.PoplarwickError):
    """A call to the key-value service failed."""


class UnavailableError(KvError):
    """The service could not be reached; the call had no effect."""


class UnknownResultError(KvError):
    """The reply was lost; the call may have taken effect."""


class BudgetError(KvError):
    """The client's rate limit was reached; nothing was sent."""


class CompactedError(KvError):
    """A watch requested revisions that the service has compacted."""


class EraChangedError(KvError):
    """The service was restored from a copy; read the keys again."""


class LeaseLostError(KvError):
    """The lease has expired or was revoked."""


class Purpose(enum.Enum):
    """Purpose of a call; determines its priority and its metric label.

    Members are ordered by priority, the highest first.
    """

    FENCING = "fencing"
    CLAIM = "claim"
    LEASE = "lease"
    CONFIGURATION = "configuration"
    HOUSEKEEPING = "housekeeping"


class Position(NamedTuple):
    """A point in the history of the service; positions are ordered.

    A service that is restored from a copy loses its latest changes and gives
    their revisions out again, so revisions are comparable within an era only.

    Attributes:
        era: Number that rises with each restore.
        revision: Revision within the era.
    """

    era: Era
    revision: Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One stored key.

    Attributes:
        key: The key.
        value: The stored bytes.
        create_revision: Revision at which the key was created.
        mod_revision: Revision of the last write of the key.
        lease: Lease that the key is attached to, or None.
    """

    key: str
    value: bytes
    create_revision: Revision
    mod_revision: Revision
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAbsent:
    """Condition: the key does not exist."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUnchanged:
    """Condition: the key was last written at `mod_revision`."""

    key: str
    mod_revision: Revision


Condition = KeyAbsent | KeyUnchanged


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Operation: stores a value, optionally attached to a lease."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Operation: removes a key."""

    key: str


Operation = Put | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of a read: the entries, and the revision and era of the read."""

    entries: tuple[Entry, ...]
    revision: Revision
    era: Era = FIRST_ERA

    @property
    def position(self) -> Position:
        """Point in the history at which the entries were read."""
        return Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction whose conditions held."""

    revision: Revision
    era: Era = FIRST_ERA

    @property
    def position(self) -> Position:
        """Point in the history at which the operations were applied."""
        return Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction whose conditions did not hold.

    Attributes:
        revision: Revision at which the conditions were checked.
        current: Current entries of the keys named in the conditions.
    """

    revision: Revision
    current: tuple[Entry, ...]


TransactionResult = Committed | Conflict


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of a key.

    Attributes:
        key: The key.
        entry: The new entry; None if the key was removed.
        revision: Revision of the change.
        is_restored: Whether the entry comes from the copy that the service
            was restored from, so that it may be older than what was known.
    """

    key: str
    entry: Entry | None
    revision: Revision
    is_restored: bool = False


class KvClient(Protocol):
    """Client of the key-value service."""

    async def read(
        self, key: str, purpose: Purpose, *, is_prefix: bool = False
    ) -> Snapshot:
        """Reads one key, or all keys that begin with `key`."""
        ...

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        operations: tuple[Operation, ...],
        purpose: Purpose,
    ) -> TransactionResult:
        """Applies all operations if all conditions hold."""
        ...

    async def grant_lease(self, ttl_s: float, purpose: Purpose) -> LeaseId:
        """Creates a lease that expires unless it is kept alive."""
        ...

    async def keep_alive(self, lease: LeaseId) -> float:
        """Renews a lease and returns its time to live in seconds."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revokes a lease and removes its keys."""
        ...

    def watch(
        self,
        key: str,
        start: Revision,
        *,
        is_prefix: bool = False,
        era: Era = FIRST_ERA,
    ) -> AsyncIterator[tuple[Change, ...]]:
        """Yields changes from revision `start` of an era on, in order.

        Raises:
            CompactedError: The revisions were compacted; the caller must read
                the keys again before it watches.
            EraChangedError: The service is in another era; the caller must
                read the keys again before it watches.
        """
        ...
