"""What the owner of a shard knows: stored claims and changes that wait."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from poplarwick_outcomes.claims import answers
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies

MAX_BATCH_RECORDS = 1_000
MAX_BATCH_ANSWER_BYTES = 262_144


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A claim that is not known to be stored.

    Attributes:
        record: The claim.
        done: Set once the claim is stored or refused.
        is_sent: Whether a transaction with it may have been stored.
        is_refused: Whether its caller was told that it is not granted. Such
            a claim is never granted later and is released if it was stored.
    """

    record: records.Record
    done: asyncio.Future[replies.ClaimReply]
    is_sent: bool = False
    is_refused: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Update:
    """A resolution or release that waits to be stored.

    Attributes:
        record: The record to store.
        answer: The answer to store with it, or None.
        done: Set to whether it was stored.
    """

    record: records.Record
    answer: records.StoredAnswer | None
    done: asyncio.Future[bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes that are stored together.

    Attributes:
        updates: Resolutions and releases.
        claims: Claims.
    """

    updates: tuple[Update, ...]
    claims: tuple[Pending, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to store."""
        return not self.updates and not self.claims

    def make_change(self, horizon_ms: int) -> journals.Change:
        """Returns the change that stores the batch."""
        return journals.Change(
            updates=(
                *(update.record for update in self.updates),
                *(pending.record for pending in self.claims),
            ),
            answers=tuple(
                update.answer
                for update in self.updates
                if update.answer is not None
            ),
            horizon_ms=horizon_ms,
        )


class ClaimBook:
    """Claims of one shard in memory.

    Args:
        wake: Called when a change waits to be stored.

    Attributes:
        index: The live record of each key.
        answers: Answers kept for replay.
        pending: Claims not known to be stored, by key.
        updates: Resolutions and releases that wait, in order.
        releasing: Keys whose claim is about to be released.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self.index: dict[bytes, records.Record] = {}
        self.answers = answers.AnswerCache()
        self.pending: dict[bytes, Pending] = {}
        self.updates: list[Update] = []
        self.releasing: set[bytes] = set()
        self._wake = wake
        self._changes: dict[bytes, asyncio.Future[None]] = {}

    def load(self, content: journals.Content) -> None:
        """Takes over what the shard holds."""
        for record in content.updates:
            records.apply_record(self.index, record)
        for stored in content.answers:
            self.answers.restore(stored)

    def enqueue(self, claim: records.Record) -> Pending:
        """Adds a claim to be stored."""
        pending = Pending(claim, _make_future())
        self.pending[claim.key] = pending
        self._wake()
        return pending

    def add_update(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> None:
        """Adds a resolution or release to be stored."""
        self.updates.append(Update(record, answer, _make_future()))
        self._wake()

    def refuse(self, pending: Pending, reply: replies.ClaimReply) -> None:
        """Refuses a claim; if it turns out to be stored it is released."""
        if pending.done.done():
            return
        pending.is_refused = True
        pending.done.set_result(reply)
        if not pending.is_sent:
            self._forget(pending)

    def select(self) -> Batch:
        """Returns what the next transaction stores."""
        updates: list[Update] = []
        size = 0
        for update in self.updates[:MAX_BATCH_RECORDS]:
            size += len(update.answer.answer.body) if update.answer else 0
            if updates and size > MAX_BATCH_ANSWER_BYTES:
                break
            updates.append(update)
        claims = [p for p in self.pending.values() if not p.is_sent]
        room = MAX_BATCH_RECORDS - len(updates)
        return Batch(tuple(updates), tuple(claims[:room]))

    def give_up(
        self, batch: Batch, reply: replies.ClaimReply, *, is_in_doubt: bool
    ) -> None:
        """Refuses the claims of a batch that is not known to be stored."""
        for pending in batch.claims:
            pending.is_sent = is_in_doubt
            if pending.is_refused and not is_in_doubt:
                self._forget(pending)
            self.refuse(pending, reply)

    def take_stored(self, change: journals.Change) -> None:
        """Applies a change that was stored.

        Claims sent with any other change never will be stored.
        """
        stored = {id(record) for record in change.updates}
        self._take_updates(stored)
        for pending in list(self.pending.values()):
            if id(pending.record) in stored:
                self._take_claim(pending)
            elif pending.is_sent:
                self._forget(pending)

    def take_back(self, batch: Batch) -> None:
        """Notes that a batch was not stored and is to be sent again."""
        for pending in batch.claims:
            pending.is_sent = False
            if pending.is_refused:
                self._forget(pending)

    def drop_expired(self, horizon_ms: int) -> None:
        """Forgets the records of all keys before the horizon."""
        expired = [
            record.key
            for record in self.index.values()
            if record.key_time_ms < horizon_ms
        ]
        for key in expired:
            del self.index[key]
            self.answers.drop(key)
            self.notify(key)

    async def wait_for_change(self, key: bytes, timeout_s: float) -> bool:
        """Waits until a key's record changes; returns whether it did."""
        change = self._changes.get(key)
        if change is None:
            change = self._changes[key] = _make_future()
        done, _ = await asyncio.wait((change,), timeout=max(0.0, timeout_s))
        return bool(done)

    def notify(self, key: bytes) -> None:
        """Wakes those who wait for a key's record to change."""
        change = self._changes.pop(key, None)
        if change is not None:
            change.set_result(None)

    def close(self) -> None:
        """Wakes everyone who waits; nothing more will be stored."""
        for pending in self.pending.values():
            if not pending.done.done():
                pending.done.set_result(replies.NotOwner())
        for update in self.updates:
            if not update.done.done():
                update.done.set_result(False)
        for key in list(self._changes):
            self.notify(key)

    def _forget(self, pending: Pending) -> None:
        if self.pending.get(pending.record.key) is pending:
            del self.pending[pending.record.key]
        self.notify(pending.record.key)

    def _take_updates(self, stored: set[int]) -> None:
        kept = []
        for update in self.updates:
            if id(update.record) not in stored:
                kept.append(update)
                continue
            if update.record.state is records.State.RELEASED:
                records.apply_record(self.index, update.record)
                self.releasing.discard(update.record.key)
                self.notify(update.record.key)
            if not update.done.done():
                update.done.set_result(True)
        self.updates = kept

    def _take_claim(self, pending: Pending) -> None:
        record = pending.record
        self.index[record.key] = record
        if pending.is_refused:
            self.releasing.add(record.key)
            self.add_update(records.make_released(record), None)
        else:
            pending.done.set_result(replies.Granted())
        self._forget(pending)


def _make_future() -> asyncio.Future[Any]:
    return asyncio.get_running_loop().create_future()
