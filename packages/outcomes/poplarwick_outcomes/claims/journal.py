"""Durable journal of one shard in the key-value service.

Every change is one transaction that holds only if the shard's head has not
changed since the journal last saw it, and that rewrites the head. A new owner
rewrites the head with its epoch before it does anything else; from then on
each write of an earlier owner fails, however late it arrives.
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
MAX_DOUBTS = 64


class JournalError(errors.PoplarwickError):
    """A change was not stored."""


class UnwrittenError(JournalError):
    """The change was not stored and never will be."""


class DoubtError(JournalError):
    """The change may have been stored or may yet be."""


class DeposedError(JournalError):
    """A later owner has taken the shard over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What one transaction adds to a shard.

    Attributes:
        updates: Records to append.
        answers: Answers to keep for replay.
        horizon_ms: Keys with an earlier time are forgotten.
    """

    updates: tuple[records.Record, ...] = ()
    answers: tuple[records.StoredAnswer, ...] = ()
    horizon_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The change was stored; changes in doubt before it never will be."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """An earlier change in doubt had been stored; the new one was not.

    Attributes:
        change: The change that was stored.
    """

    change: Change


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """All that a shard holds.

    Attributes:
        updates: Records in the order in which they were stored.
        answers: Answers in the order in which they were stored.
        horizon_ms: Keys with an earlier time are forgotten.
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
    """Reads and changes one shard on behalf of one tenure.

    Attributes:
        writes: Number of transactions sent.
        horizon_ms: Keys with an earlier time are forgotten and refused.
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
        self._doubts: list[_Write] = []

    @property
    def horizon_ms(self) -> int:
        """Keys with an earlier time are forgotten and refused."""
        return self._head.horizon_ms

    @property
    def is_in_doubt(self) -> bool:
        """Whether a change may yet turn out to have been stored."""
        return bool(self._doubts)

    async def open(self) -> Content:
        """Takes the shard over and reads all that it holds.

        Raises:
            DeposedError: A later owner has taken the shard over.
            DoubtError: The key-value service gave no answer; try again.
            UnwrittenError: The key-value service refused; try again.
            records.RecordError: A stored value cannot be read.
        """
        self._doubts.clear()
        try:
            async with asyncio.timeout(KV_TIMEOUT_S):
                snapshot = await self._client.read(
                    self._prefix, kv.Purpose.CLAIM, is_prefix=True
                )
        except (kv.KvError, TimeoutError) as error:
            raise UnwrittenError(str(error)) from error
        content = self._load(snapshot)
        match await self.append(Change(horizon_ms=content.horizon_ms)):
            case Overtaken():
                raise DoubtError("the shard changed while it was read")
            case Stored():
                return content

    async def append(self, change: Change) -> Stored | Overtaken:
        """Stores a change.

        Raises:
            DeposedError: A later owner has taken the shard over.
            DoubtError: The change may have been stored or may yet be.
            UnwrittenError: The change was not stored and never will be.
        """
        if len(self._doubts) >= MAX_DOUBTS:
            return await self._append_after_doubts()
        write = self._make_write(change)
        may_be_stored = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._send(write)
            except kv.UnknownResultError:
                may_be_stored = True
            except kv.KvError as error:
                if not may_be_stored:
                    raise UnwrittenError(str(error)) from error
        self._doubts.append(write)
        raise DoubtError("no answer from the key-value service")

    async def _append_after_doubts(self) -> Stored | Overtaken:
        # Sends the latest change in doubt once more instead of a new one, so
        # that the list of changes in doubt stays bounded.
        write = self._doubts[-1]
        try:
            done = await self._send(write)
        except kv.KvError as error:
            raise UnwrittenError(str(error)) from error
        return Overtaken(write.change) if isinstance(done, Stored) else done

    async def _send(self, write: _Write) -> Stored | Overtaken:
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
            raise kv.UnknownResultError("time-out") from error
        match done:
            case kv.Committed(revision):
                self._adopt(write, revision)
                return Stored()
            case kv.Conflict(_, current):
                return self._resolve_conflict(write, current)

    def _resolve_conflict(
        self, write: _Write, current: tuple[kv.Entry, ...]
    ) -> Stored | Overtaken:
        head, revision = self._find_head(current)
        for sent in (write, *self._doubts):
            if sent.head.nonce == head.nonce:
                self._adopt(sent, revision)
                return Stored() if sent is write else Overtaken(sent.change)
        if head.epoch > self._epoch:
            raise DeposedError(f"epoch {head.epoch} owns the shard")
        # An earlier owner's last write, or one of this tenure that was in
        # doubt, was stored while the shard was being opened.
        raise DoubtError("the shard changed while it was read")

    def _find_head(
        self, current: tuple[kv.Entry, ...]
    ) -> tuple[records.Head, kv.Revision]:
        for entry in current:
            if entry.key == self._head_key:
                return records.decode_head(entry.value), entry.mod_revision
        raise DeposedError("the head of the shard was removed")

    def _adopt(self, write: _Write, revision: kv.Revision) -> None:
        self._revision = revision
        self._head = write.head
        self._records = write.record_layout
        self._answers = write.answer_layout
        self._doubts.clear()

    def _make_write(self, change: Change) -> _Write:
        seq = self._head.next_seq
        horizon = max(change.horizon_ms, self._head.horizon_ms)
        head = records.Head(
            self._epoch, seq + 1, secrets.token_hex(NONCE_BYTES), horizon
        )
        kept = segments.plan_records(
            self._records, seq, change.updates, horizon
        )
        answers = segments.plan_answers(
            self._answers, seq, change.answers, horizon
        )
        operations = (
            kv.Put(self._head_key, records.encode_head(head)),
            *kept.operations,
            *answers.operations,
        )
        return _Write(change, head, operations, kept.layout, answers.layout)

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
                kept = tuple(records.decode_answers(entry.value))
                self._answers = segments.add_stored(self._answers, entry, kept)
                answers.extend(kept)
        return Content(tuple(found), tuple(answers), self._head.horizon_ms)

    def _load_head(self, entry: kv.Entry) -> None:
        head = records.decode_head(entry.value)
        if head.epoch > self._epoch:
            raise DeposedError(f"epoch {head.epoch} owns the shard")
        self._revision = entry.mod_revision
        self._head = head

    def _make_record_layout(self) -> segments.Layout[records.Record]:
        return segments.Layout(f"{self._prefix}records/")

    def _make_answer_layout(self) -> segments.Layout[records.StoredAnswer]:
        return segments.Layout(f"{self._prefix}answers/")
