"""Writes of ownership records, many in one transaction."""

from __future__ import annotations

import dataclasses

from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_ownership import _lease
from poplarwick_ownership import _records
from poplarwick_ownership import _view
from poplarwick_ownership import tenure
from poplarwick_platform import kv

CLAIMS_PER_TRANSACTION = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A resource to claim.

    Attributes:
        resource: The resource.
        known: Its record as known, or None if there is none.
        follows_planned_end: Whether the earlier tenure has surely ended.
    """

    resource: tenure.Resource
    known: _view.KnownOwner | None
    follows_planned_end: bool

    @property
    def key(self) -> str:
        """Key of the record."""
        return _records.make_owner_key(self.resource)

    @property
    def unchanged(self) -> kv.Condition:
        """Condition: the record is still as known."""
        if self.known is None:
            return kv.KeyAbsent(self.key)
        return kv.KeyUnchanged(self.key, self.known.revision)


class ClaimWriter:
    """Writes claims and releases of one instance.

    Args:
        client: The key-value service.
        instance: Id of this instance.
        view: Learns what the transactions tell.
    """

    def __init__(
        self,
        client: kv.KvClient,
        instance: ids.InstanceId,
        view: _view.OwnerView,
    ) -> None:
        self._client = client
        self._instance = instance
        self._view = view

    async def claim(self, claims: list[Claim], held: _lease.HeldLease) -> None:
        """Tries to claim; the view tells afterwards what was won.

        Raises:
            kv.KvError: Nothing is known about the result; a claim that took
                effect shows in the view later.
            kv.LeaseLostError: The own lease is gone.
        """
        for start in range(0, len(claims), CLAIMS_PER_TRANSACTION):
            batch = claims[start : start + CLAIMS_PER_TRANSACTION]
            try:
                await self._claim_batch(batch, held)
            except kv.UnknownResultError:
                await self._read_back(batch)

    async def _claim_batch(
        self, batch: list[Claim], held: _lease.HeldLease
    ) -> None:
        dead_keys = _list_dead_holders(batch, held)
        conditions = (
            kv.KeyUnchanged(held.key, held.key_revision),
            *(claim.unchanged for claim in batch),
            *(kv.KeyAbsent(key) for key in dead_keys),
        )
        records = {
            claim.key: _records.OwnerRecord(
                self._instance, held.id, claim.follows_planned_end
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
                    self._view.learn_own_write(key, record, revision)
            case kv.Conflict(_, current):
                self._view.learn((c.key for c in conditions), current)
                if all(entry.key != held.key for entry in current):
                    raise kv.LeaseLostError(f"lease {held.id} is gone")

    async def _read_back(self, batch: list[Claim]) -> None:
        """Learns whether a claim with a lost answer took effect.

        One transaction without operations reads all the keys. A claim that
        arrives still later shows in the watch.
        """
        keys = [claim.key for claim in batch]
        result = await self._client.commit(
            tuple(kv.KeyAbsent(key) for key in keys), (), kv.Purpose.CLAIM
        )
        logs.log_event("claim_answer_lost", resources=len(keys))
        if isinstance(result, kv.Conflict):
            self._view.learn(keys, result.current)

    async def release(
        self, ended: list[tuple[tenure.Resource, ids.Epoch]]
    ) -> None:
        """Records that tenures were ended by their holder.

        Raises:
            kv.KvError: Some releases may not have been written; the next
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
                        self._view.learn_own_write(key, record, revision)
                    return
                case kv.Conflict(_, current):
                    self._view.learn(epochs, current)
                    unchanged = {e.key: int(e.mod_revision) for e in current}
                    epochs = {
                        key: epoch
                        for key, epoch in epochs.items()
                        if unchanged.get(key) == epoch
                    }


def _list_dead_holders(batch: list[Claim], held: _lease.HeldLease) -> list[str]:
    """Returns the holder keys that must be absent for the claims."""
    leases = {
        claim.known.record.lease
        for claim in batch
        if claim.known is not None
        and claim.known.record.lease not in (_records.NO_LEASE, held.id)
    }
    return [_records.make_holder_key(lease) for lease in sorted(leases)]
