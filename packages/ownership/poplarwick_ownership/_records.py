"""Records of ownership in the key-value service.

`owner/<kind>/<id>` names the holder of a resource and the holder's lease. It
stays when the tenure ends, so that the next holder knows how it ended. Its
modification revision is the epoch of the tenure: the service never gives a
revision twice.

`owner/holder/<lease>` hangs on the lease and so shows that the lease lives.
"""

from __future__ import annotations

import msgspec

from poplarwick_core import ids
from poplarwick_ownership import tenure
from poplarwick_platform import kv

PREFIX = "owner/"
HOLDER_PREFIX = "owner/holder/"
NO_LEASE = kv.LeaseId(0)


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who holds a resource.

    Attributes:
        instance: Holder, or last holder of a released resource.
        lease: Lease of the holder, or `NO_LEASE` of a released resource.
        follows_planned_end: Whether the tenure before this one was released
            by its holder, or there was none.
    """

    instance: ids.InstanceId
    lease: kv.LeaseId
    follows_planned_end: bool = True


class HolderRecord(msgspec.Struct, frozen=True):
    """Instance that a living lease belongs to."""

    instance: ids.InstanceId


def make_owner_key(resource: tenure.Resource) -> str:
    """Returns the key of the record of a resource."""
    return f"{PREFIX}{resource.kind.value}/{resource.id}"


def make_holder_key(lease: kv.LeaseId) -> str:
    """Returns the key that hangs on a lease."""
    return f"{HOLDER_PREFIX}{lease}"


def read_holder_lease(key: str) -> kv.LeaseId | None:
    """Returns the lease that a key hangs on, or None for other keys."""
    if not key.startswith(HOLDER_PREFIX):
        return None
    return kv.LeaseId(int(key.removeprefix(HOLDER_PREFIX)))


def encode(record: OwnerRecord | HolderRecord) -> bytes:
    """Returns the stored form of a record."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Returns the record of a stored form."""
    return msgspec.json.decode(value, type=OwnerRecord)


def decode_holder(value: bytes) -> HolderRecord:
    """Returns the record of a stored form."""
    return msgspec.json.decode(value, type=HolderRecord)
