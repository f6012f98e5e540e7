"""In-memory state of a shard: stored claims and pending changes."""

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
class PendingClaim:
    """Claim that is not known to be stored.

    Attributes:
        record: Record of the claim.
        done: Completed with the reply once the claim is stored or refused.
        is_sent: Whether a transaction that contains it may have been stored.
        is_refused: Whether the claim was refused. A refused claim is never
            granted later; it is released if it turns out to be stored.
    """

    record: records.Record
    done: asyncio.Future[replies.ClaimReply]
    is_sent: bool = False
    is_refused: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class PendingUpdate:
    """Resolution or release that is not yet stored.

    Attributes:
        record: Record to store.
        answer: Answer to store with the record, or None.
        done: Completed with whether the update was stored.
    """

    record: records.Record
    answer: records.StoredAnswer | None
    done: asyncio.Future[bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Pending changes to store in one transaction.

    Attributes:
        updates: Resolutions and releases.
        claims: Claims.
    """

    updates: tuple[PendingUpdate, ...]
    claims: tuple[PendingClaim, ...]

    @property
    def is_empty(self) -> bool:
        """Whether the batch contains no changes."""
        return not self.updates and not self.claims

    def make_change(self, horizon_ms: int) -> journals.Change:
        """Returns the journal change for the batch."""
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


class ClaimTable:
    """In-memory table of the claims of one shard.

    Args:
        on_pending: Called when a change is added that must be stored.

    Attributes:
        index: Current record of each key.
        answers: Cache of answers for replay.
        pending: Claims not known to be stored, by key.
        updates: Resolutions and releases to store, in order.
        releasing: Keys whose claim has a pending release.
    """

    def __init__(self, on_pending: Callable[[], None]) -> None:
        self.index: dict[bytes, records.Record] = {}
        self.answers = answers.AnswerCache()
        self.pending: dict[bytes, PendingClaim] = {}
        self.updates: list[PendingUpdate] = []
        self.releasing: set[bytes] = set()
        self._on_pending = on_pending
        self._change_futures: dict[bytes, asyncio.Future[None]] = {}

    def load(self, content: journals.Content) -> None:
        """Loads the stored content of the shard."""
        for record in content.updates:
            records.apply_record(self.index, record)
        for stored in content.answers:
            self.answers.restore(stored)

    def enqueue(self, claim: records.Record) -> PendingClaim:
        """Adds a claim to store."""
        pending = PendingClaim(claim, _make_future())
        self.pending[claim.key] = pending
        self._on_pending()
        return pending

    def add_update(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> None:
        """Adds a resolution or release to store."""
        self.updates.append(PendingUpdate(record, answer, _make_future()))
        self._on_pending()

    def refuse(self, pending: PendingClaim, reply: replies.ClaimReply) -> None:
        """Refuses a claim; it is released if it turns out to be stored."""
        if pending.done.done():
            return
        pending.is_refused = True
        pending.done.set_result(reply)
        if not pending.is_sent:
            self._remove_pending(pending)

    def select_batch(self) -> Batch:
        """Returns the changes for the next transaction."""
        updates: list[PendingUpdate] = []
        size = 0
        for update in self.updates[:MAX_BATCH_RECORDS]:
            size += len(update.answer.answer.body) if update.answer else 0
            if updates and size > MAX_BATCH_ANSWER_BYTES:
                break
            updates.append(update)
        claims = [p for p in self.pending.values() if not p.is_sent]
        max_claims = MAX_BATCH_RECORDS - len(updates)
        return Batch(tuple(updates), tuple(claims[:max_claims]))

    def refuse_batch(
        self, batch: Batch, reply: replies.ClaimReply, *, is_in_doubt: bool
    ) -> None:
        """Refuses the claims of a batch after a failed transaction.

        Args:
            batch: Batch that is not known to be stored.
            reply: Reply to the callers of its claims.
            is_in_doubt: Whether the batch may have been or may still be
                stored.
        """
        for pending in batch.claims:
            pending.is_sent = is_in_doubt
            if pending.is_refused and not is_in_doubt:
                self._remove_pending(pending)
            self.refuse(pending, reply)

    def apply_stored(self, change: journals.Change) -> None:
        """Applies a change that was stored.

        Claims sent in other transactions are removed: they were not stored
        and never will be.
        """
        stored = {id(record) for record in change.updates}
        self._complete_updates(stored)
        for pending in list(self.pending.values()):
            if id(pending.record) in stored:
                self._complete_claim(pending)
            elif pending.is_sent:
                self._remove_pending(pending)

    def requeue(self, batch: Batch) -> None:
        """Marks the claims of a batch that was not stored for resending."""
        for pending in batch.claims:
            pending.is_sent = False
            if pending.is_refused:
                self._remove_pending(pending)

    def drop_expired(self, horizon_ms: int) -> None:
        """Removes the records of keys created before the horizon."""
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
        """Waits until the record of a key changes.

        Returns:
            Whether the record changed within the timeout.
        """
        change = self._change_futures.get(key)
        if change is None:
            change = self._change_futures[key] = _make_future()
        done, _ = await asyncio.wait((change,), timeout=max(0.0, timeout_s))
        return bool(done)

    def notify(self, key: bytes) -> None:
        """Wakes all tasks that wait for a change of a key's record."""
        change = self._change_futures.pop(key, None)
        if change is not None:
            change.set_result(None)

    def close(self) -> None:
        """Fails all pending changes and wakes all waiting tasks."""
        for pending in self.pending.values():
            if not pending.done.done():
                pending.done.set_result(replies.NotOwner())
        for update in self.updates:
            if not update.done.done():
                update.done.set_result(False)
        for key in list(self._change_futures):
            self.notify(key)

    def _remove_pending(self, pending: PendingClaim) -> None:
        if self.pending.get(pending.record.key) is pending:
            del self.pending[pending.record.key]
        self.notify(pending.record.key)

    def _complete_updates(self, stored: set[int]) -> None:
        remaining = []
        for update in self.updates:
            if id(update.record) not in stored:
                remaining.append(update)
                continue
            if update.record.state is records.State.RELEASED:
                records.apply_record(self.index, update.record)
                self.releasing.discard(update.record.key)
                self.notify(update.record.key)
            if not update.done.done():
                update.done.set_result(True)
        self.updates = remaining

    def _complete_claim(self, pending: PendingClaim) -> None:
        record = pending.record
        self.index[record.key] = record
        if pending.is_refused:
            self.releasing.add(record.key)
            self.add_update(records.make_released(record), None)
        else:
            pending.done.set_result(replies.Granted())
        self._remove_pending(pending)


def _make_future() -> asyncio.Future[Any]:
    return asyncio.get_running_loop().create_future()
