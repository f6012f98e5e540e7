"""Durable journal of one shard in the key-value service.

Each change is one transaction that rewrites the shard's head and is
conditional on the head being unchanged since the journal last read or wrote
it. A new owner first rewrites the head with its own epoch. This fences off
earlier owners: their transactions fail, however late they arrive.

A change is in doubt if its transaction got no answer: it may have been stored
or may still be stored. Its outcome is known once a later transaction is stored
or conflicts with it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import secrets

from poplarwick_core import errors
from poplarwick_core import ids
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import segments
from poplarwick_platform import kv

KV_TIMEOUT_S = 1.0
NONCE_BYTES = 16
MAX_ATTEMPTS = 3
MAX_IN_DOUBT = 64


class JournalError(errors.PoplarwickError):
    """Base class of journal errors."""


class NotStoredError(JournalError):
    """The change was not stored and never will be."""


class InDoubtError(JournalError):
    """The change may have been stored or may still be stored."""


class SupersededError(JournalError):
    """A later owner has taken over the shard."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Change of a shard in one transaction.

    Attributes:
        updates: Records to append.
        answers: Answers to store for replay.
        horizon_ms: Records of keys created before this time, in milliseconds
            since the Unix epoch, may be deleted.
    """

    updates: tuple[records.Record, ...] = ()
    answers: tuple[records.StoredAnswer, ...] = ()
    horizon_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The change was stored; earlier changes in doubt never will be."""


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierStored:
    """An earlier change in doubt was stored instead of the new one.

    Attributes:
        change: The earlier change.
    """

    change: Change


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """Content of a shard.

    Attributes:
        updates: Records in storage order.
        answers: Answers in storage order.
        horizon_ms: Records of keys created before this time, in milliseconds
            since the Unix epoch, may be missing.
    """

    updates: tuple[records.Record, ...]
    answers: tuple[records.StoredAnswer, ...]
    horizon_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    change: Change
    head: records.Head
    operations: tuple[kv.Operation, ...]
    record_layout: segments.Layout[records.Record]
    answer_layout: segments.Layout[records.StoredAnswer]


class Journal:
    """Reads and writes one shard during one tenure.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment, the first part of all keys.
        shard: Number of the shard.
        epoch: Epoch of the tenure, the fencing token.

    Attributes:
        writes: Number of transactions sent.
        horizon_ms: Keys created before this time, in milliseconds since the
            Unix epoch, are refused and their records may be deleted.
    """

    def __init__(
        self,
        client: kv.KvClient,
        environment: str,
        shard: int,
        epoch: ids.Epoch,
    ) -> None:
        self.writes = 0
        self._client = client
        self._prefix = f"{environment}/claims/{shard:02d}/"
        self._head_key = f"{self._prefix}head"
        self._epoch = epoch
        self._revision: kv.Revision | None = None
        self._head = records.Head(epoch, 0, "", 0)
        self._records = self._make_record_layout()
        self._answers = self._make_answer_layout()
        self._in_doubt: list[_Write] = []

    @property
    def horizon_ms(self) -> int:
        """Creation time, in Unix ms, before which keys are refused."""
        return self._head.horizon_ms

    @property
    def is_in_doubt(self) -> bool:
        """Whether the outcome of any change is unknown."""
        return bool(self._in_doubt)

    async def open(self) -> Content:
        """Takes over the shard and reads its content.

        Returns:
            The content of the shard.

        Raises:
            SupersededError: A later owner has taken over the shard.
            InDoubtError: The key-value service did not answer the write, or
                the shard changed during the read; retry.
            NotStoredError: The read failed or the key-value service refused
                the write; retry.
            records.RecordError: A stored value cannot be decoded.
        """
        self._in_doubt.clear()
        try:
            async with asyncio.timeout(KV_TIMEOUT_S):
                snapshot = await self._client.read(
                    self._prefix, kv.Purpose.CLAIM, is_prefix=True
                )
        except (kv.KvError, TimeoutError) as error:
            raise NotStoredError(str(error)) from error
        content = self._load(snapshot)
        match await self.append(Change(horizon_ms=content.horizon_ms)):
            case EarlierStored():
                raise InDoubtError("shard changed while it was read")
            case Stored():
                return content

    async def append(self, change: Change) -> Stored | EarlierStored:
        """Stores a change.

        Args:
            change: Change to store.

        Returns:
            Whether this change or an earlier change in doubt was stored.

        Raises:
            SupersededError: A later owner has taken over the shard.
            InDoubtError: The change may have been stored or may still be
                stored.
            NotStoredError: The change was not stored and never will be.
        """
        if len(self._in_doubt) >= MAX_IN_DOUBT:
            return await self._resend_in_doubt()
        write = self._make_write(change)
        may_be_stored = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._send(write)
            except kv.UnknownResultError:
                may_be_stored = True
            except kv.KvError as error:
                if not may_be_stored:
                    raise NotStoredError(str(error)) from error
        self._in_doubt.append(write)
        raise InDoubtError("key-value service did not answer")

    async def _resend_in_doubt(self) -> Stored | EarlierStored:
        # Resends the latest change in doubt instead of a new one, which bounds
        # the number of changes in doubt.
        write = self._in_doubt[-1]
        try:
            done = await self._send(write)
        except kv.KvError as error:
            raise NotStoredError(str(error)) from error
        return EarlierStored(write.change) if isinstance(done, Stored) else done

    async def _send(self, write: _Write) -> Stored | EarlierStored:
        condition: kv.Condition
        if self._revision is None:
            condition = kv.KeyAbsent(self._head_key)
        else:
            condition = kv.KeyUnchanged(self._head_key, self._revision)
        self.writes += 1
        try:
            async with asyncio.timeout(KV_TIMEOUT_S):
                done = await self._client.commit(
                    (condition,), write.operations, kv.Purpose.CLAIM
                )
        except TimeoutError as error:
            raise kv.UnknownResultError("transaction timed out") from error
        match done:
            case kv.Committed(revision):
                self._record_stored(write, revision)
                return Stored()
            case kv.Conflict(_, current):
                return self._resolve_conflict(write, current)

    def _resolve_conflict(
        self, write: _Write, current: tuple[kv.Entry, ...]
    ) -> Stored | EarlierStored:
        head, revision = self._find_head(current)
        for sent in (write, *self._in_doubt):
            if sent.head.nonce == head.nonce:
                self._record_stored(sent, revision)
                return Stored() if sent is write else EarlierStored(sent.change)
        if head.epoch > self._epoch:
            raise SupersededError(f"shard is owned by later epoch {head.epoch}")
        # While the shard was being opened, the last write of an earlier owner
        # or an in-doubt write of this tenure was stored.
        raise InDoubtError("shard changed while it was read")

    def _find_head(
        self, current: tuple[kv.Entry, ...]
    ) -> tuple[records.Head, kv.Revision]:
        for entry in current:
            if entry.key == self._head_key:
                return records.decode_head(entry.value), entry.mod_revision
        raise SupersededError("shard head was deleted")

    def _record_stored(self, write: _Write, revision: kv.Revision) -> None:
        self._revision = revision
        self._head = write.head
        self._records = write.record_layout
        self._answers = write.answer_layout
        self._in_doubt.clear()

    def _make_write(self, change: Change) -> _Write:
        seq = self._head.next_seq
        horizon = max(change.horizon_ms, self._head.horizon_ms)
        head = records.Head(
            self._epoch, seq + 1, secrets.token_hex(NONCE_BYTES), horizon
        )
        record_plan = segments.plan_records(
            self._records, seq, change.updates, horizon
        )
        answer_plan = segments.plan_answers(
            self._answers, seq, change.answers, horizon
        )
        operations = (
            kv.Put(self._head_key, records.encode_head(head)),
            *record_plan.operations,
            *answer_plan.operations,
        )
        return _Write(
            change, head, operations, record_plan.layout, answer_plan.layout
        )

    def _load(self, snapshot: kv.Snapshot) -> Content:
        self._revision = None
        self._head = records.Head(self._epoch, 0, "", 0)
        self._records = self._make_record_layout()
        self._answers = self._make_answer_layout()
        found: list[records.Record] = []
        answers: list[records.StoredAnswer] = []
        for entry in sorted(snapshot.entries, key=lambda entry: entry.key):
            if entry.key == self._head_key:
                self._load_head(entry)
            elif entry.key.startswith(self._records.prefix):
                items = tuple(records.decode_records(entry.value))
                self._records = segments.add_stored(self._records, entry, items)
                found.extend(items)
            elif entry.key.startswith(self._answers.prefix):
                stored = tuple(records.decode_answers(entry.value))
                self._answers = segments.add_stored(
                    self._answers, entry, stored
                )
                answers.extend(stored)
        return Content(tuple(found), tuple(answers), self._head.horizon_ms)

    def _load_head(self, entry: kv.Entry) -> None:
        head = records.decode_head(entry.value)
        if head.epoch > self._epoch:
            raise SupersededError(f"shard is owned by later epoch {head.epoch}")
        self._revision = entry.mod_revision
        self._head = head

    def _make_record_layout(self) -> segments.Layout[records.Record]:
        return segments.Layout(f"{self._prefix}records/")

    def _make_answer_layout(self) -> segments.Layout[records.StoredAnswer]:
        return segments.Layout(f"{self._prefix}answers/")
