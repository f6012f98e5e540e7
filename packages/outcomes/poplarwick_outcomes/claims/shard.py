"""One shard of claims, held in memory by its owner.

A claim is granted only after its record is stored. Claims that arrive while a
transaction runs, or within the least interval between transactions, wait and
are stored together by the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable
from types import TracebackType
from typing import Self

from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_outcomes.claims import book as books
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies
from poplarwick_ownership import tenure as tenures

MIN_COMMIT_INTERVAL_S = 0.4
CLAIM_TIMEOUT_S = 2.0
RETENTION_S = 3_600
HORIZON_MARGIN_S = 300
HORIZON_STEP_S = 60
MAX_RECORDS = 50_000
MAX_PAUSE_S = 2.0
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Periods of a shard.

    Attributes:
        min_commit_interval_s: Least time between two transactions.
        claim_timeout_s: Longest time that a claim waits to be stored.
        retention_s: Age at which a key expires.
    """

    min_commit_interval_s: float = MIN_COMMIT_INTERVAL_S
    claim_timeout_s: float = CLAIM_TIMEOUT_S
    retention_s: float = RETENTION_S


class Shard:
    """Grants, resolves and releases claims of one shard.

    Use it as a context manager: it opens the journal and stores changes in a
    task of its own until it is left.

    Args:
        journal: Stored form of the shard.
        tenure: Tenure under which this instance owns the shard.
        timing: Periods of the shard.
        wall_time_s: Clock that the age of keys is measured by.
        opening: Held while a shard is read; shared by an instance's shards.

    Attributes:
        is_open: Whether the shard's content is known and no later owner is.
    """

    def __init__(
        self,
        journal: journals.Journal,
        tenure: tenures.Tenure,
        timing: Timing | None = None,
        wall_time_s: Callable[[], float] = clock.wall_time_s,
        opening: asyncio.Lock | None = None,
    ) -> None:
        self.is_open = False
        self._opening = opening or asyncio.Lock()
        self._outage_s = 0.0
        self._journal = journal
        self._tenure = tenure
        self._timing = timing or Timing()
        self._wall_time_s = wall_time_s
        self._wake = asyncio.Event()
        self._book = books.ClaimBook(self._wake.set)
        self._is_down = False
        self._is_committing = False
        self._next_commit_s = 0.0
        self._dropped_ms = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._close()

    async def drain(self) -> None:
        """Stores what waits before a planned hand-over; bounded in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timing.claim_timeout_s):
                while self.is_open and self._book.updates:
                    done = self._book.updates[-1].done
                    self._wake.set()
                    await asyncio.wait((done,))

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Grants a claim, or tells how the run that holds it ended.

        Args:
            attempt: The claim. Asking again with the same nonce is allowed
                as long as the attempt has not run the call.
            timeout_s: Time for which to wait for a run in progress.
        """
        end_s = _now_s() + timeout_s
        is_claimed = False
        while True:
            if not self._may_act:
                return replies.NotOwner(is_claimed)
            reply = self._find_reply(attempt)
            if reply is not None:
                return reply
            record = self._book.index.get(attempt.key)
            is_claimed = record is not None
            if record is not None:
                run_left_s = (
                    record.run_until_ms / MS_PER_S - self._wall_time_s()
                )
                wait_s = min(end_s - _now_s(), run_left_s)
                if not await self._book.wait_for_change(attempt.key, wait_s):
                    return self._find_reply(attempt) or replies.Running()
                continue
            pending = self._book.pending.get(attempt.key)
            if pending is None:
                pending = self._book.enqueue(attempt)
            if pending.record.nonce == attempt.nonce:
                return await self._wait_until_stored(pending)
            wait_s = end_s - _now_s()
            if not await self._book.wait_for_change(attempt.key, wait_s):
                return self._make_unavailable()

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records how the run of a granted claim ended.

        Args:
            attempt: The claim.
            answer: The call's answer, or None if the end is not known.
        """
        if not self._may_act:
            return replies.ChangeReply.NOT_OWNER
        record = self._book.index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return await self._wait_until_updated(attempt.key)
        stored = None
        if answer is None:
            record = records.make_lost(record)
        else:
            record = records.make_answered(record, answer)
            stored = self._book.answers.add(record, answer)
        self._book.index[record.key] = record
        self._book.notify(record.key)
        return await self._store(record, stored)

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Gives a claim back whose call was not sent and never will be."""
        if not self._may_act:
            return replies.ChangeReply.NOT_OWNER
        pending = self._book.pending.get(attempt.key)
        if pending is not None and pending.record.nonce == attempt.nonce:
            self._book.refuse(pending, self._make_unavailable())
            return replies.ChangeReply.STORED
        record = self._book.index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return replies.ChangeReply.STORED
        if attempt.key in self._book.releasing:
            return await self._wait_until_updated(attempt.key)
        self._book.releasing.add(attempt.key)
        return await self._store(records.make_released(record), None)

    @property
    def _may_act(self) -> bool:
        return self.is_open and self._tenure.is_valid()

    @property
    def _expiry_ms(self) -> int:
        oldest_s = self._wall_time_s() - self._timing.retention_s
        return max(self._journal.horizon_ms, int(oldest_s * MS_PER_S))

    def _find_reply(self, attempt: records.Record) -> replies.ClaimReply | None:
        record = self._book.index.get(attempt.key)
        if record is None:
            return self._find_refusal(attempt)
        if record.content != attempt.content:
            return replies.Conflict()
        match record.state:
            case records.State.ANSWERED:
                answer = self._book.answers.find(record)
                if answer is None:
                    return replies.AnswerDropped(record.status)
                return replies.Answered(answer)
            case records.State.LOST:
                return replies.Lost()
        if record.nonce == attempt.nonce:
            if attempt.key in self._book.releasing:
                return self._make_unavailable()
            return replies.Granted()
        if record.run_until_ms <= self._wall_time_s() * MS_PER_S:
            return replies.Lost()
        return None

    def _find_refusal(
        self, attempt: records.Record
    ) -> replies.ClaimReply | None:
        if attempt.key_time_ms < self._expiry_ms:
            return replies.Expired()
        pending = self._book.pending.get(attempt.key)
        if pending is not None:
            return self._make_unavailable() if pending.is_refused else None
        is_waiting = self._is_down and (
            self._is_committing or _now_s() < self._next_commit_s
        )
        is_full = len(self._book.index) + len(self._book.pending) >= MAX_RECORDS
        return self._make_unavailable() if is_waiting or is_full else None

    def _make_unavailable(self) -> replies.Unavailable:
        return replies.Unavailable(self._timing.min_commit_interval_s)

    async def _wait_until_stored(
        self, pending: books.Pending
    ) -> replies.ClaimReply:
        try:
            async with asyncio.timeout(self._timing.claim_timeout_s):
                return await asyncio.shield(pending.done)
        except TimeoutError:
            self._book.refuse(pending, self._make_unavailable())
            return pending.done.result()

    async def _store(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> replies.ChangeReply:
        self._book.add_update(record, answer)
        return await self._wait_until_updated(record.key)

    async def _wait_until_updated(self, key: bytes) -> replies.ChangeReply:
        waiting = [u.done for u in self._book.updates if u.record.key == key]
        if not waiting:
            return replies.ChangeReply.STORED
        done, _ = await asyncio.wait(
            waiting, timeout=self._timing.claim_timeout_s
        )
        if len(done) == len(waiting) and all(d.result() for d in done):
            return replies.ChangeReply.STORED
        return replies.ChangeReply.UNAVAILABLE

    async def _run(self) -> None:
        try:
            await self._open()
            while True:
                await self._wake.wait()
                await asyncio.sleep(self._next_commit_s - _now_s())
                self._wake.clear()
                self._next_commit_s = (
                    _now_s() + self._timing.min_commit_interval_s
                )
                await self._commit()
        except errors.PoplarwickError as error:
            logs.log_event(
                "claim_shard_lost",
                shard=self._tenure.resource.id,
                reason=str(error),
            )
        finally:
            self._close()

    async def _open(self) -> None:
        async with self._opening:
            content = await self._read_content()
        self._book.load(content)
        self.is_open = True

    async def _read_content(self) -> journals.Content:
        while True:
            try:
                return await self._journal.open()
            except (journals.DoubtError, journals.UnwrittenError) as error:
                logs.log_event(
                    "claim_shard_waits",
                    level="WARNING",
                    shard=self._tenure.resource.id,
                    reason=str(error),
                )
                await asyncio.sleep(self._lengthen_outage_s())

    async def _commit(self) -> None:
        batch = self._book.select()
        if batch.is_empty and not self._journal.is_in_doubt:
            return
        change = batch.make_change(self._make_horizon_ms(batch))
        for pending in batch.claims:
            pending.is_sent = True
        self._is_committing = True
        try:
            done = await self._journal.append(change)
        except journals.UnwrittenError:
            self._note_outage(batch, is_in_doubt=False)
        except journals.DoubtError:
            self._note_outage(batch, is_in_doubt=True)
        else:
            self._take(done, change, batch)
        finally:
            self._is_committing = False
        is_waiting = bool(self._book.updates or self._book.pending)
        if is_waiting or self._journal.is_in_doubt:
            self._wake.set()

    def _make_horizon_ms(self, batch: books.Batch) -> int:
        age_s = self._timing.retention_s + HORIZON_MARGIN_S
        horizon_ms = int((self._wall_time_s() - age_s) * MS_PER_S)
        times = (pending.record.key_time_ms for pending in batch.claims)
        horizon_ms = min([horizon_ms, *times])
        step_ms = HORIZON_STEP_S * MS_PER_S
        if horizon_ms < self._journal.horizon_ms + step_ms:
            return self._journal.horizon_ms
        return horizon_ms

    def _note_outage(self, batch: books.Batch, *, is_in_doubt: bool) -> None:
        self._is_down = True
        self._next_commit_s = _now_s() + self._lengthen_outage_s()
        reply = self._make_unavailable()
        self._book.give_up(batch, reply, is_in_doubt=is_in_doubt)

    def _take(
        self,
        done: journals.Stored | journals.Overtaken,
        change: journals.Change,
        batch: books.Batch,
    ) -> None:
        self._is_down = False
        self._outage_s = 0.0
        match done:
            case journals.Stored():
                self._book.take_stored(change)
            case journals.Overtaken(earlier):
                self._book.take_back(batch)
                self._book.take_stored(earlier)
        if self._journal.horizon_ms > self._dropped_ms:
            self._dropped_ms = self._journal.horizon_ms
            self._book.drop_expired(self._dropped_ms)

    def _lengthen_outage_s(self) -> float:
        """Returns the pause before the next try, longer with each failure."""
        least_s = self._timing.min_commit_interval_s
        self._outage_s = min(max(least_s, 2 * self._outage_s), MAX_PAUSE_S)
        return self._outage_s * random.uniform(0.75, 1.25)

    def _close(self) -> None:
        self.is_open = False
        self._book.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
