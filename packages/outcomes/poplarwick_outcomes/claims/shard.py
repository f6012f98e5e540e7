"""One shard of claims, kept in memory by its owner.

A claim is granted only after its record is stored. Claims that arrive during a
transaction, or within the minimum interval between transactions, are batched
into the next transaction.
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
from poplarwick_outcomes.claims import claim_table
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
MAX_BACKOFF_S = 2.0
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of a shard.

    Attributes:
        min_commit_interval_s: Minimum interval between two transactions.
        claim_timeout_s: Maximum time to wait for a change to be stored.
        retention_s: Age at which a key expires.
    """

    min_commit_interval_s: float = MIN_COMMIT_INTERVAL_S
    claim_timeout_s: float = CLAIM_TIMEOUT_S
    retention_s: float = RETENTION_S


class Shard:
    """Grants, resolves and releases the claims of one shard.

    Use it as a context manager: a background task opens the journal and
    stores changes until the context exits.

    Args:
        journal: Journal of the shard in the key-value service.
        tenure: Tenure during which this instance owns the shard.
        timing: Intervals and timeouts.
        wall_time_s: Returns the wall-clock time used for the age of keys.
        open_lock: Lock held while a shard is opened; shared by all shards of
            an instance.

    Attributes:
        is_open: Whether the content is loaded and no later owner is known.
    """

    def __init__(
        self,
        journal: journals.Journal,
        tenure: tenures.Tenure,
        timing: Timing | None = None,
        wall_time_s: Callable[[], float] = clock.wall_time_s,
        open_lock: asyncio.Lock | None = None,
    ) -> None:
        self.is_open = False
        self._open_lock = open_lock or asyncio.Lock()
        self._backoff_s = 0.0
        self._journal = journal
        self._tenure = tenure
        self._timing = timing or Timing()
        self._wall_time_s = wall_time_s
        self._commit_requested = asyncio.Event()
        self._table = claim_table.ClaimTable(self._commit_requested.set)
        self._is_store_down = False
        self._is_committing = False
        self._next_commit_s = 0.0
        self._applied_horizon_ms = 0
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
        """Stores pending updates before a handover, within a time limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timing.claim_timeout_s):
                while self.is_open and self._table.updates:
                    done = self._table.updates[-1].done
                    self._commit_requested.set()
                    await asyncio.wait((done,))

    async def claim(
        self, attempt: records.Record, timeout_s: float
    ) -> replies.ClaimReply:
        """Grants a claim or returns the result of the attempt that holds it.

        Args:
            attempt: Claim of the attempt. It may be requested again with the
                same nonce as long as the attempt has not run the call.
            timeout_s: Maximum time to wait for a run in progress.

        Returns:
            The reply to the attempt.
        """
        deadline_s = _now_s() + timeout_s
        is_claimed = False
        while True:
            if not self._is_owner:
                return replies.NotOwner(is_claimed)
            reply = self._find_reply(attempt)
            if reply is not None:
                return reply
            record = self._table.index.get(attempt.key)
            is_claimed = record is not None
            if record is not None:
                run_remaining_s = (
                    record.run_until_ms / MS_PER_S - self._wall_time_s()
                )
                wait_s = min(deadline_s - _now_s(), run_remaining_s)
                if not await self._table.wait_for_change(attempt.key, wait_s):
                    return self._find_reply(attempt) or replies.Running()
                continue
            pending = self._table.pending.get(attempt.key)
            if pending is None:
                pending = self._table.enqueue(attempt)
            if pending.record.nonce == attempt.nonce:
                return await self._wait_until_stored(pending)
            wait_s = deadline_s - _now_s()
            if not await self._table.wait_for_change(attempt.key, wait_s):
                return self._make_unavailable()

    async def resolve(
        self, attempt: records.Record, answer: records.Answer | None
    ) -> replies.ChangeReply:
        """Records the result of a granted claim.

        Args:
            attempt: Claim that was granted.
            answer: Answer to the call, or None if its outcome is unknown.

        Returns:
            Whether the result is stored.
        """
        if not self._is_owner:
            return replies.ChangeReply.NOT_OWNER
        record = self._table.index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return await self._wait_until_updated(attempt.key)
        stored = None
        if answer is None:
            record = records.make_lost(record)
        else:
            record = records.make_answered(record, answer)
            stored = self._table.answers.add(record, answer)
        self._table.index[record.key] = record
        self._table.notify(record.key)
        return await self._store_update(record, stored)

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Releases a claim whose call was not sent and never will be.

        Args:
            attempt: Claim to release.

        Returns:
            Whether the release is stored.
        """
        if not self._is_owner:
            return replies.ChangeReply.NOT_OWNER
        pending = self._table.pending.get(attempt.key)
        if pending is not None and pending.record.nonce == attempt.nonce:
            self._table.refuse(pending, self._make_unavailable())
            return replies.ChangeReply.STORED
        record = self._table.index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return replies.ChangeReply.STORED
        if attempt.key in self._table.releasing:
            return await self._wait_until_updated(attempt.key)
        self._table.releasing.add(attempt.key)
        return await self._store_update(records.make_released(record), None)

    @property
    def _is_owner(self) -> bool:
        return self.is_open and self._tenure.is_valid()

    @property
    def _expiry_ms(self) -> int:
        expiry_s = self._wall_time_s() - self._timing.retention_s
        return max(self._journal.horizon_ms, int(expiry_s * MS_PER_S))

    def _find_reply(self, attempt: records.Record) -> replies.ClaimReply | None:
        record = self._table.index.get(attempt.key)
        if record is None:
            return self._find_refusal(attempt)
        if record.content != attempt.content:
            return replies.Conflict()
        match record.state:
            case records.State.ANSWERED:
                answer = self._table.answers.find(record)
                if answer is None:
                    return replies.AnswerDropped(record.status)
                return replies.Answered(answer)
            case records.State.LOST:
                return replies.Lost()
        if record.nonce == attempt.nonce:
            if attempt.key in self._table.releasing:
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
        pending = self._table.pending.get(attempt.key)
        if pending is not None:
            return self._make_unavailable() if pending.is_refused else None
        is_backing_off = self._is_store_down and (
            self._is_committing or _now_s() < self._next_commit_s
        )
        is_full = (
            len(self._table.index) + len(self._table.pending) >= MAX_RECORDS
        )
        return self._make_unavailable() if is_backing_off or is_full else None

    def _make_unavailable(self) -> replies.Unavailable:
        return replies.Unavailable(self._timing.min_commit_interval_s)

    async def _wait_until_stored(
        self, pending: claim_table.PendingClaim
    ) -> replies.ClaimReply:
        try:
            async with asyncio.timeout(self._timing.claim_timeout_s):
                return await asyncio.shield(pending.done)
        except TimeoutError:
            self._table.refuse(pending, self._make_unavailable())
            return pending.done.result()

    async def _store_update(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> replies.ChangeReply:
        self._table.add_update(record, answer)
        return await self._wait_until_updated(record.key)

    async def _wait_until_updated(self, key: bytes) -> replies.ChangeReply:
        futures = [u.done for u in self._table.updates if u.record.key == key]
        if not futures:
            return replies.ChangeReply.STORED
        done, _ = await asyncio.wait(
            futures, timeout=self._timing.claim_timeout_s
        )
        if len(done) == len(futures) and all(d.result() for d in done):
            return replies.ChangeReply.STORED
        return replies.ChangeReply.UNAVAILABLE

    async def _run(self) -> None:
        try:
            await self._open()
            while True:
                await self._commit_requested.wait()
                await asyncio.sleep(self._next_commit_s - _now_s())
                self._commit_requested.clear()
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
        async with self._open_lock:
            content = await self._read_content()
        self._table.load(content)
        self.is_open = True

    async def _read_content(self) -> journals.Content:
        while True:
            try:
                return await self._journal.open()
            except (journals.InDoubtError, journals.NotStoredError) as error:
                logs.log_event(
                    "claim_shard_waits",
                    level="WARNING",
                    shard=self._tenure.resource.id,
                    reason=str(error),
                )
                await asyncio.sleep(self._increase_backoff_s())

    async def _commit(self) -> None:
        batch = self._table.select_batch()
        if batch.is_empty and not self._journal.is_in_doubt:
            return
        change = batch.make_change(self._make_horizon_ms(batch))
        for pending in batch.claims:
            pending.is_sent = True
        self._is_committing = True
        try:
            done = await self._journal.append(change)
        except journals.NotStoredError:
            self._record_outage(batch, is_in_doubt=False)
        except journals.InDoubtError:
            self._record_outage(batch, is_in_doubt=True)
        else:
            self._apply_result(done, change, batch)
        finally:
            self._is_committing = False
        has_pending = bool(self._table.updates or self._table.pending)
        if has_pending or self._journal.is_in_doubt:
            self._commit_requested.set()

    def _make_horizon_ms(self, batch: claim_table.Batch) -> int:
        age_s = self._timing.retention_s + HORIZON_MARGIN_S
        horizon_ms = int((self._wall_time_s() - age_s) * MS_PER_S)
        times = (pending.record.key_time_ms for pending in batch.claims)
        horizon_ms = min([horizon_ms, *times])
        step_ms = HORIZON_STEP_S * MS_PER_S
        if horizon_ms < self._journal.horizon_ms + step_ms:
            return self._journal.horizon_ms
        return horizon_ms

    def _record_outage(
        self, batch: claim_table.Batch, *, is_in_doubt: bool
    ) -> None:
        self._is_store_down = True
        self._next_commit_s = _now_s() + self._increase_backoff_s()
        reply = self._make_unavailable()
        self._table.refuse_batch(batch, reply, is_in_doubt=is_in_doubt)

    def _apply_result(
        self,
        done: journals.Stored | journals.EarlierStored,
        change: journals.Change,
        batch: claim_table.Batch,
    ) -> None:
        self._is_store_down = False
        self._backoff_s = 0.0
        match done:
            case journals.Stored():
                self._table.apply_stored(change)
            case journals.EarlierStored(earlier):
                self._table.requeue(batch)
                self._table.apply_stored(earlier)
        if self._journal.horizon_ms > self._applied_horizon_ms:
            self._applied_horizon_ms = self._journal.horizon_ms
            self._table.drop_expired(self._applied_horizon_ms)

    def _increase_backoff_s(self) -> float:
        """Returns the next delay of an exponential backoff with jitter."""
        min_s = self._timing.min_commit_interval_s
        self._backoff_s = min(max(min_s, 2 * self._backoff_s), MAX_BACKOFF_S)
        return self._backoff_s * random.uniform(0.75, 1.25)

    def _close(self) -> None:
        self.is_open = False
        self._table.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
