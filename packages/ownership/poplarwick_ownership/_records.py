"""Ownership records in the key-value service.

`owner/<kind>/<id>` stores the holder of a resource and the holder's lease. It
remains after the tenure ends, so that the next holder knows how the tenure
ended. Its modification revision is the epoch of the tenure, because the
service never reuses a revision.

`owner/holder/<lease>` is attached to the lease and exists while it is alive.
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
    """Holder of a resource.

    Attributes:
        instance: Holder, or last holder of a released resource.
        lease: Lease of the holder, or `NO_LEASE` for a released resource.
        follows_planned_end: Whether the previous tenure was released by its
            holder, or there was no previous tenure.
    """

    instance: ids.InstanceId
    lease: kv.LeaseId
    follows_planned_end: bool = True


class HolderRecord(msgspec.Struct, frozen=True):
    """Instance that holds a lease."""

    instance: ids.InstanceId


def make_owner_key(resource: tenure.Resource) -> str:
    """Returns the key of the owner record of a resource."""
    return f"{PREFIX}{resource.kind.value}/{resource.id}"


def make_holder_key(lease: kv.LeaseId) -> str:
    """Returns the key that is attached to a lease."""
    return f"{HOLDER_PREFIX}{lease}"


def parse_holder_lease(key: str) -> kv.LeaseId | None:
    """Returns the lease of a holder key, or None for other keys."""
    if not key.startswith(HOLDER_PREFIX):
        return None
    return kv.LeaseId(int(key.removeprefix(HOLDER_PREFIX)))


def encode(record: OwnerRecord | HolderRecord) -> bytes:
    """Encodes a record as JSON."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decodes an owner record."""
    return msgspec.json.decode(value, type=OwnerRecord)


def decode_holder(value: bytes) -> HolderRecord:
    """Decodes a holder record."""
    return msgspec.json.decode(value, type=HolderRecord)
