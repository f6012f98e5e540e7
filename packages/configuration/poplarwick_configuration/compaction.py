"""Compacts old versions and retains the audit trail.

The newest versions are retained in full, so that they can be shown and rolled
back to. Of older versions only the records are retained, in compressed blocks.
"""

from __future__ import annotations

import dataclasses
import zlib

import msgspec

from poplarwick_configuration import _keys
from poplarwick_configuration import failures
from poplarwick_configuration import record
from poplarwick_core import clock
from poplarwick_platform import kv

RETAINED_VERSIONS = 256
BLOCK_VERSIONS = 32
RETAINED_REFUSALS = 1_000
MAX_DELETES_PER_STEP = 64
CHANGE_ID_RETENTION_S = 86_400.0
AUDIT_RETENTION_S = 100 * 86_400.0
MAX_BLOCK_BYTES = 16_000_000


class CompactionState(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of compaction.

    Attributes:
        archived_to: Last version whose record was moved to a block.
        forgotten_to: Last version whose change id was removed, so that it can
            be used again.
        dropped_to: Last version that was removed from the audit trail.
    """

    archived_to: int = 0
    forgotten_to: int = 0
    dropped_to: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _CompactionBase:
    head: record.VersionRecord | None
    state: CompactionState
    conditions: tuple[kv.Condition, ...]


class Compactor:
    """Compacts the versions of one environment.

    Each step is conditioned on the head and on earlier steps, so that a
    concurrent push never relies on a section that is being removed.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
    """

    def __init__(self, client: kv.KvClient, environment: str) -> None:
        self._kv = client
        self._keys = _keys.Keys(environment)

    async def compact(self) -> bool:
        """Runs one compaction step if one is due.

        Returns:
            Whether a step was due.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored record is invalid.
        """
        try:
            base = await self._read_base()
            if base.head is None:
                return False
            return (
                await self._archive(base)
                or await self._expire_change_ids(base)
                or await self._drop_expired_block(base)
                or await self._prune_refusals()
            )
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def read_archive(
        self, min_records: int, since_s: float
    ) -> tuple[record.VersionRecord, ...]:
        """Reads archived records, oldest first.

        Reading starts at the newest block and always returns complete blocks.

        Args:
            min_records: Number of records after which reading stops.
            since_s: Reading stops at blocks older than this time, in seconds
                since the Unix epoch.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored block is invalid.
        """
        try:
            base = await self._read_base()
            first = base.state.archived_to - BLOCK_VERSIONS + 1
            found: list[record.VersionRecord] = []
            while first > base.state.dropped_to and len(found) < min_records:
                block = await self._read_block(first)
                if not block or block[-1].time_s < since_s:
                    break
                found[:0] = block
                first -= BLOCK_VERSIONS
            return tuple(found)
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def _archive(self, base: _CompactionBase) -> bool:
        """Moves the oldest records to a block and removes unused sections."""
        head, state = base.head, base.state
        assert head is not None
        due = head.version - state.archived_to
        if due < RETAINED_VERSIONS + BLOCK_VERSIONS:
            return False
        records = await self._read_versions()
        last = state.archived_to + BLOCK_VERSIONS
        old = [r for r in records if r.version <= last]
        retained = {d for r in records if r.version > last for d in r.sections}
        unused = sorted({d for r in old for d in r.sections} - retained)
        for start in range(0, len(unused), MAX_DELETES_PER_STEP):
            batch = unused[start : start + MAX_DELETES_PER_STEP]
            deletes = tuple(kv.Delete(self._keys.section(d)) for d in batch)
            if not await self._commit_step(base, state, deletes):
                return True
            base = await self._read_base()
        new = msgspec.structs.replace(state, archived_to=last)
        block = kv.Put(self._keys.archive(old[0].version), _encode_block(old))
        versions = (kv.Delete(self._keys.version(r.version)) for r in old)
        confirmations = (
            kv.Delete(self._keys.confirmation(r.version)) for r in old
        )
        await self._commit_step(base, new, (block, *versions, *confirmations))
        return True

    async def _expire_change_ids(self, base: _CompactionBase) -> bool:
        """Removes change ids whose retry period has ended."""
        state = base.state
        if state.forgotten_to >= state.archived_to:
            return False
        block = await self._read_block(state.forgotten_to + 1)
        if _age_s(block) < CHANGE_ID_RETENTION_S:
            return False
        deletes = (kv.Delete(self._keys.change(r.change_id)) for r in block)
        forgotten_to = state.forgotten_to + BLOCK_VERSIONS
        new = msgspec.structs.replace(state, forgotten_to=forgotten_to)
        return await self._commit_step(base, new, tuple(deletes))

    async def _drop_expired_block(self, base: _CompactionBase) -> bool:
        """Removes the oldest block after its retention period."""
        state = base.state
        if state.dropped_to >= state.forgotten_to:
            return False
        block = await self._read_block(state.dropped_to + 1)
        if _age_s(block) < AUDIT_RETENTION_S:
            return False
        delete = kv.Delete(self._keys.archive(state.dropped_to + 1))
        dropped_to = state.dropped_to + BLOCK_VERSIONS
        new = msgspec.structs.replace(state, dropped_to=dropped_to)
        return await self._commit_step(base, new, (delete,))

    async def _prune_refusals(self) -> bool:
        snapshot = await self._kv.read(
            self._keys.refusals, kv.Purpose.HOUSEKEEPING, is_prefix=True
        )
        surplus = snapshot.entries[:-RETAINED_REFUSALS][:MAX_DELETES_PER_STEP]
        if not surplus:
            return False
        deletes = tuple(kv.Delete(entry.key) for entry in surplus)
        await self._kv.commit((), deletes, kv.Purpose.HOUSEKEEPING)
        return True

    async def _commit_step(
        self,
        base: _CompactionBase,
        state: CompactionState,
        operations: tuple[kv.Operation, ...],
    ) -> bool:
        """Commits operations and the compaction state.

        Returns:
            Whether the transaction was committed; False if another change or
            step came first.
        """
        state_put = kv.Put(self._keys.compaction, msgspec.json.encode(state))
        committed = await self._kv.commit(
            base.conditions, (*operations, state_put), kv.Purpose.HOUSEKEEPING
        )
        return isinstance(committed, kv.Committed)

    async def _read_base(self) -> _CompactionBase:
        snapshot = await self._kv.read(
            self._keys.state, kv.Purpose.HOUSEKEEPING, is_prefix=True
        )
        entries = {entry.key: entry for entry in snapshot.entries}
        conditions: list[kv.Condition] = []
        for key in (self._keys.head, self._keys.compaction):
            entry = entries.get(key)
            if entry is None:
                conditions.append(kv.KeyAbsent(key))
            else:
                conditions.append(kv.KeyUnchanged(key, entry.mod_revision))
        head = entries.get(self._keys.head)
        state = entries.get(self._keys.compaction)
        return _CompactionBase(
            record.decode_record(head.value) if head else None,
            _decode_state(state.value) if state else CompactionState(),
            tuple(conditions),
        )

    async def _read_versions(self) -> tuple[record.VersionRecord, ...]:
        snapshot = await self._kv.read(
            self._keys.versions, kv.Purpose.HOUSEKEEPING, is_prefix=True
        )
        return tuple(record.decode_record(e.value) for e in snapshot.entries)

    async def _read_block(self, first: int) -> tuple[record.VersionRecord, ...]:
        snapshot = await self._kv.read(
            self._keys.archive(first), kv.Purpose.HOUSEKEEPING
        )
        if not snapshot.entries:
            return ()
        return _decode_block(snapshot.entries[0].value)


def _age_s(block: tuple[record.VersionRecord, ...]) -> float:
    if not block:
        return 0.0
    return clock.wall_time_s() - block[-1].time_s


def _encode_block(records: list[record.VersionRecord]) -> bytes:
    stripped = [
        msgspec.structs.replace(r, sections=(), out=()) for r in records
    ]
    return zlib.compress(msgspec.json.encode(stripped))


def _decode_block(data: bytes) -> tuple[record.VersionRecord, ...]:
    try:
        plain = zlib.decompressobj().decompress(data, MAX_BLOCK_BYTES)
        return msgspec.json.decode(plain, type=tuple[record.VersionRecord, ...])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise failures.RecordError(f"invalid stored block: {error}") from error


def _decode_state(data: bytes) -> CompactionState:
    try:
        return msgspec.json.decode(data, type=CompactionState)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(
            f"invalid compaction state: {error}"
        ) from error
