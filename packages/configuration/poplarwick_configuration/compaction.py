"""Removes old versions, keeping what the audit trail needs.

The newest versions stay whole, so that they can be shown and rolled back to.
Of older ones only the records stay, many in one compressed value.
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

KEPT_VERSIONS = 256
BLOCK_VERSIONS = 32
KEPT_REFUSALS = 1_000
MAX_DELETES = 64
CHANGE_ID_RETENTION_S = 86_400.0
AUDIT_RETENTION_S = 100 * 86_400.0
MAX_BLOCK_BYTES = 16_000_000


class CompactionState(msgspec.Struct, frozen=True, kw_only=True):
    """How far compaction has come.

    Attributes:
        archived_to: Last version whose record stands in a block.
        forgotten_to: Last version whose change id may be used again.
        dropped_to: Last version that is gone from the audit trail.
    """

    archived_to: int = 0
    forgotten_to: int = 0
    dropped_to: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    head: record.VersionRecord | None
    state: CompactionState
    conditions: tuple[kv.Condition, ...]


class Compactor:
    """Compacts the versions of one environment.

    Each step is conditioned on the head and on earlier steps, so that a push
    at the same time never relies on a section that goes away.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
    """

    def __init__(self, client: kv.KvClient, environment: str) -> None:
        self._kv = client
        self._keys = _keys.Keys(environment)

    async def compact(self) -> bool:
        """Does one step if one is due and returns whether it was.

        Raises:
            failures.UnavailableError: The service did not answer.
            failures.RecordError: A stored record is not valid.
        """
        try:
            position = await self._read_position()
            if position.head is None:
                return False
            return (
                await self._archive(position)
                or await self._forget_changes(position)
                or await self._drop_block(position)
                or await self._prune_refusals()
            )
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def read_archive(
        self, newest: int, since_s: float
    ) -> tuple[record.VersionRecord, ...]:
        """Reads archived records, the oldest first.

        Args:
            newest: Number of records after which reading stops.
            since_s: Time before which no record is of use.

        Raises:
            failures.UnavailableError: The service did not answer.
            failures.RecordError: A stored block is not valid.
        """
        try:
            position = await self._read_position()
            first = position.state.archived_to - BLOCK_VERSIONS + 1
            found: list[record.VersionRecord] = []
            while first > position.state.dropped_to and len(found) < newest:
                block = await self._read_block(first)
                if not block or block[-1].time_s < since_s:
                    break
                found[:0] = block
                first -= BLOCK_VERSIONS
            return tuple(found)
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def _archive(self, position: _Position) -> bool:
        """Moves the oldest records into a block and removes their sections."""
        head, state = position.head, position.state
        assert head is not None
        due = head.version - state.archived_to
        if due < KEPT_VERSIONS + BLOCK_VERSIONS:
            return False
        records = await self._read_versions()
        last = state.archived_to + BLOCK_VERSIONS
        old = [r for r in records if r.version <= last]
        kept = {d for r in records if r.version > last for d in r.sections}
        unused = sorted({d for r in old for d in r.sections} - kept)
        for start in range(0, len(unused), MAX_DELETES):
            batch = unused[start : start + MAX_DELETES]
            deletes = tuple(kv.Delete(self._keys.section(d)) for d in batch)
            if not await self._step(position, state, deletes):
                return True
            position = await self._read_position()
        moved = msgspec.structs.replace(state, archived_to=last)
        block = kv.Put(self._keys.archive(old[0].version), _encode_block(old))
        versions = (kv.Delete(self._keys.version(r.version)) for r in old)
        notes = (kv.Delete(self._keys.confirmation(r.version)) for r in old)
        await self._step(position, moved, (block, *versions, *notes))
        return True

    async def _forget_changes(self, position: _Position) -> bool:
        """Removes the ids of changes that nobody repeats any more."""
        state = position.state
        if state.forgotten_to >= state.archived_to:
            return False
        block = await self._read_block(state.forgotten_to + 1)
        if _age_s(block) < CHANGE_ID_RETENTION_S:
            return False
        deletes = (kv.Delete(self._keys.change(r.change_id)) for r in block)
        moved = state.forgotten_to + BLOCK_VERSIONS
        new = msgspec.structs.replace(state, forgotten_to=moved)
        return await self._step(position, new, tuple(deletes))

    async def _drop_block(self, position: _Position) -> bool:
        """Removes the oldest block once its retention has ended."""
        state = position.state
        if state.dropped_to >= state.forgotten_to:
            return False
        block = await self._read_block(state.dropped_to + 1)
        if _age_s(block) < AUDIT_RETENTION_S:
            return False
        delete = kv.Delete(self._keys.archive(state.dropped_to + 1))
        moved = state.dropped_to + BLOCK_VERSIONS
        new = msgspec.structs.replace(state, dropped_to=moved)
        return await self._step(position, new, (delete,))

    async def _prune_refusals(self) -> bool:
        snapshot = await self._kv.read(
            self._keys.refusals, kv.Purpose.HOUSEKEEPING, is_prefix=True
        )
        surplus = snapshot.entries[:-KEPT_REFUSALS][:MAX_DELETES]
        if not surplus:
            return False
        deletes = tuple(kv.Delete(entry.key) for entry in surplus)
        await self._kv.commit((), deletes, kv.Purpose.HOUSEKEEPING)
        return True

    async def _step(
        self,
        position: _Position,
        state: CompactionState,
        operations: tuple[kv.Operation, ...],
    ) -> bool:
        """Applies operations unless something changed; tells whether it did."""
        noted = kv.Put(self._keys.compaction, msgspec.json.encode(state))
        committed = await self._kv.commit(
            position.conditions, (*operations, noted), kv.Purpose.HOUSEKEEPING
        )
        return isinstance(committed, kv.Committed)

    async def _read_position(self) -> _Position:
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
        return _Position(
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
    bare = [msgspec.structs.replace(r, sections=(), out=()) for r in records]
    return zlib.compress(msgspec.json.encode(bare))


def _decode_block(data: bytes) -> tuple[record.VersionRecord, ...]:
    try:
        plain = zlib.decompressobj().decompress(data, MAX_BLOCK_BYTES)
        return msgspec.json.decode(plain, type=tuple[record.VersionRecord, ...])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise failures.RecordError(f"stored block: {error}") from error


def _decode_state(data: bytes) -> CompactionState:
    try:
        return msgspec.json.decode(data, type=CompactionState)
    except msgspec.MsgspecError as error:
        raise failures.RecordError(f"compaction state: {error}") from error
