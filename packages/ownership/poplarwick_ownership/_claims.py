"""Batched writes of ownership records."""

from __future__ import annotations

import dataclasses

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _lease
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _records
from poplarwick_ownership import tenure
from poplarwick_platform import kv

CLAIMS_PER_TRANSACTION = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim to a resource.

    Attributes:
        resource: The resource.
        stored: Its record in the local view, or None if there is none.
        follows_planned_end: Whether the previous tenure has ended with
            certainty.
    """

    resource: tenure.Resource
    stored: _owner_view.StoredOwner | None
    follows_planned_end: bool

    @property
    def key(self) -> str:
        """Key of the record."""
        return _records.make_owner_key(self.resource)

    @property
    def condition(self) -> kv.Condition:
        """Condition that the record has not changed."""
        if self.stored is None:
            return kv.KeyAbsent(self.key)
        return kv.KeyUnchanged(self.key, self.stored.revision)


class ClaimWriter:
    """Writes claims and releases of one instance.

    Args:
        client: The key-value service.
        instance: Id of this instance.
        view: View to which transaction results are applied.
    """

    def __init__(
        self,
        client: kv.KvClient,
        instance: ids.InstanceId,
        view: _owner_view.OwnerView,
    ) -> None:
        self._client = client
        self._instance = instance
        self._view = view

    async def claim(
        self, claims: list[Claim], held_lease: _lease.HeldLease
    ) -> None:
        """Tries to claim resources. The view then shows the result.

        Raises:
            kv.KvError: The result is unknown; a claim that took effect appears
                in the view later.
            kv.LeaseLostError: The lease of this instance no longer exists.
        """
        for start in range(0, len(claims), CLAIMS_PER_TRANSACTION):
            batch = claims[start : start + CLAIMS_PER_TRANSACTION]
            try:
                await self._claim_batch(batch, held_lease)
            except kv.UnknownResultError:
                await self._read_back(batch)

    async def _claim_batch(
        self, batch: list[Claim], held_lease: _lease.HeldLease
    ) -> None:
        expired_keys = _list_expired_holder_keys(batch, held_lease)
        conditions = (
            kv.KeyUnchanged(held_lease.key, held_lease.key_revision),
            *(claim.condition for claim in batch),
            *(kv.KeyAbsent(key) for key in expired_keys),
        )
        records = {
            claim.key: _records.OwnerRecord(
                self._instance, held_lease.id, claim.follows_planned_end
            )
            for claim in batch
        }
        result = await self._client.commit(
            conditions,
            tuple(
                kv.Put(key, _records.encode(record))
                for key, record in records.items()
            ),
            kv.Purpose.CLAIM,
        )
        match result:
            case kv.Committed(revision):
                for key, record in records.items():
                    self._view.apply_local_write(key, record, revision)
            case kv.Conflict(_, current):
                self._view.apply_entries((c.key for c in conditions), current)
                if all(entry.key != held_lease.key for entry in current):
                    raise kv.LeaseLostError(
                        f"lease {held_lease.id} no longer exists"
                    )

    async def _read_back(self, batch: list[Claim]) -> None:
        """Determines whether claims without a response took effect.

        A single transaction without operations reads all keys. A claim that
        takes effect later appears in the watch.
        """
        keys = [claim.key for claim in batch]
        result = await self._client.commit(
            tuple(kv.KeyAbsent(key) for key in keys), (), kv.Purpose.CLAIM
        )
        logs.log_event("claim_answer_lost", resources=len(keys))
        if isinstance(result, kv.Conflict):
            self._view.apply_entries(keys, result.current)

    async def release(
        self, ended: list[tuple[tenure.Resource, ids.Epoch]]
    ) -> None:
        """Records that the holder has ended tenures as planned.

        Raises:
            kv.KvError: Some releases may not have been written. The next
                holder then waits as after an unplanned end.
        """
        for start in range(0, len(ended), CLAIMS_PER_TRANSACTION):
            await self._release_batch(
                ended[start : start + CLAIMS_PER_TRANSACTION]
            )

    async def _release_batch(
        self, batch: list[tuple[tenure.Resource, ids.Epoch]]
    ) -> None:
        epochs = {_records.make_owner_key(r): epoch for r, epoch in batch}
        record = _records.OwnerRecord(self._instance, _records.NO_LEASE)
        while epochs:
            result = await self._client.commit(
                tuple(
                    kv.KeyUnchanged(key, kv.Revision(epoch))
                    for key, epoch in epochs.items()
                ),
                tuple(kv.Put(key, _records.encode(record)) for key in epochs),
                kv.Purpose.CLAIM,
            )
            match result:
                case kv.Committed(revision):
                    for key in epochs:
                        self._view.apply_local_write(key, record, revision)
                    return
                case kv.Conflict(_, current):
                    self._view.apply_entries(epochs, current)
                    unchanged = {e.key: int(e.mod_revision) for e in current}
                    epochs = {
                        key: epoch
                        for key, epoch in epochs.items()
                        if unchanged.get(key) == epoch
                    }


def _list_expired_holder_keys(
    batch: list[Claim], held_lease: _lease.HeldLease
) -> list[str]:
    """Returns the holder keys that must be absent for the claims.

    An absent holder key shows that the lease of the previous holder has ended.
    """
    leases = {
        claim.stored.record.lease
        for claim in batch
        if claim.stored is not None
        and claim.stored.record.lease not in (_records.NO_LEASE, held_lease.id)
    }
    return [_records.make_holder_key(lease) for lease in sorted(leases)]
