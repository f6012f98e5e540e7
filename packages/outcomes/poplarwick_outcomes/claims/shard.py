"""One shard of claims, held in memory by its owner.

A claim is granted only after its record is stored. Claims that arrive while a
transaction runs, or within the least interval between transactions, wait and
are stored together by the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import Any
from typing import Self

from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import logs
from poplarwick_outcomes.claims import answers
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
MAX_BATCH_RECORDS = 1_000
MAX_BATCH_ANSWER_BYTES = 262_144
RUN_MARGIN_S = 5.0
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


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
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
class _Update:
    """A resolution or release that waits to be stored."""

    record: records.Record
    answer: records.StoredAnswer | None
    done: asyncio.Future[bool]


class Shard:
    """Grants, resolves and releases claims of one shard.

    Use it as a context manager: it opens the journal and stores changes in a
    task of its own until it is left.

    Attributes:
        is_open: Whether the shard's content is known and no later owner is.
    """

    def __init__(
        self,
        journal: journals.Journal,
        tenure: tenures.Tenure,
        timing: Timing | None = None,
        wall_time_s: Callable[[], float] = clock.wall_time_s,
    ) -> None:
        self.is_open = False
        self._journal = journal
        self._tenure = tenure
        self._timing = timing or Timing()
        self._wall_time_s = wall_time_s
        self._index: dict[bytes, records.Record] = {}
        self._answers = answers.AnswerCache()
        self._pending: dict[bytes, _Pending] = {}
        self._updates: list[_Update] = []
        self._releasing: set[bytes] = set()
        self._changes: dict[bytes, asyncio.Future[None]] = {}
        self._wake = asyncio.Event()
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
                while self.is_open and self._updates:
                    done = self._updates[-1].done
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
            record = self._index.get(attempt.key)
            is_claimed = record is not None
            if record is not None:
                run_left_s = (
                    record.run_until_ms / MS_PER_S - self._wall_time_s()
                )
                wait_s = min(end_s - _now_s(), run_left_s)
                if not await self._wait_for_change(attempt.key, wait_s):
                    return self._find_reply(attempt) or replies.Running()
                continue
            pending = self._pending.get(attempt.key)
            if pending is None:
                pending = self._enqueue(attempt)
            if pending.record.nonce == attempt.nonce:
                return await self._wait_until_stored(pending)
            wait_s = end_s - _now_s()
            if not await self._wait_for_change(attempt.key, wait_s):
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
        record = self._index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return await self._wait_until_updated(attempt.key)
        stored = None
        if answer is None:
            record = records.make_lost(record)
        else:
            record = records.make_answered(record, answer)
            stored = self._answers.add(record, answer)
        self._index[record.key] = record
        self._notify(record.key)
        return await self._store(record, stored)

    async def release(self, attempt: records.Record) -> replies.ChangeReply:
        """Gives a claim back whose call was not sent and never will be."""
        if not self._may_act:
            return replies.ChangeReply.NOT_OWNER
        pending = self._pending.get(attempt.key)
        if pending is not None and pending.record.nonce == attempt.nonce:
            self._refuse(pending)
            return replies.ChangeReply.STORED
        record = self._index.get(attempt.key)
        if record is None or record.nonce != attempt.nonce:
            return replies.ChangeReply.STORED
        if record.state is not records.State.CLAIMED:
            return replies.ChangeReply.STORED
        if attempt.key in self._releasing:
            return await self._wait_until_updated(attempt.key)
        self._releasing.add(attempt.key)
        return await self._store(records.make_released(record), None)

    @property
    def _may_act(self) -> bool:
        return self.is_open and self._tenure.is_valid()

    @property
    def _expiry_ms(self) -> int:
        oldest_s = self._wall_time_s() - self._timing.retention_s
        return max(self._journal.horizon_ms, int(oldest_s * MS_PER_S))

    def _find_reply(self, attempt: records.Record) -> replies.ClaimReply | None:
        record = self._index.get(attempt.key)
        if record is None:
            return self._find_refusal(attempt)
        if record.content != attempt.content:
            return replies.Conflict()
        match record.state:
            case records.State.ANSWERED:
                answer = self._answers.find(record)
                if answer is None:
                    return replies.AnswerDropped(record.status)
                return replies.Answered(answer)
            case records.State.LOST:
                return replies.Lost()
        if record.nonce == attempt.nonce:
            if attempt.key in self._releasing:
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
        pending = self._pending.get(attempt.key)
        if pending is not None:
            return self._make_unavailable() if pending.is_refused else None
        is_waiting = self._is_down and (
            self._is_committing or _now_s() < self._next_commit_s
        )
        is_full = len(self._index) + len(self._pending) >= MAX_RECORDS
        return self._make_unavailable() if is_waiting or is_full else None

    def _make_unavailable(self) -> replies.Unavailable:
        return replies.Unavailable(self._timing.min_commit_interval_s)

    def _enqueue(self, attempt: records.Record) -> _Pending:
        pending = _Pending(attempt, _make_future())
        self._pending[attempt.key] = pending
        self._wake.set()
        return pending

    async def _wait_until_stored(self, pending: _Pending) -> replies.ClaimReply:
        try:
            async with asyncio.timeout(self._timing.claim_timeout_s):
                return await asyncio.shield(pending.done)
        except TimeoutError:
            self._refuse(pending)
            return pending.done.result()

    async def _wait_for_change(self, key: bytes, timeout_s: float) -> bool:
        change = self._changes.get(key)
        if change is None:
            change = self._changes[key] = _make_future()
        done, _ = await asyncio.wait((change,), timeout=max(0.0, timeout_s))
        return bool(done)

    def _notify(self, key: bytes) -> None:
        change = self._changes.pop(key, None)
        if change is not None:
            change.set_result(None)

    def _refuse(self, pending: _Pending) -> None:
        if pending.done.done():
            return
        pending.is_refused = True
        pending.done.set_result(self._make_unavailable())
        if not pending.is_sent:
            self._forget(pending)

    def _forget(self, pending: _Pending) -> None:
        if self._pending.get(pending.record.key) is pending:
            del self._pending[pending.record.key]
        self._notify(pending.record.key)

    async def _store(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> replies.ChangeReply:
        self._add_update(record, answer)
        return await self._wait_until_updated(record.key)

    def _add_update(
        self, record: records.Record, answer: records.StoredAnswer | None
    ) -> None:
        self._updates.append(_Update(record, answer, _make_future()))
        self._wake.set()

    async def _wait_until_updated(self, key: bytes) -> replies.ChangeReply:
        waiting = [u.done for u in self._updates if u.record.key == key]
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
        while True:
            try:
                content = await self._journal.open()
                break
            except (journals.DoubtError, journals.UnwrittenError) as error:
                logs.log_event(
                    "claim_shard_waits",
                    level="WARNING",
                    shard=self._tenure.resource.id,
                    reason=str(error),
                )
                await asyncio.sleep(self._timing.min_commit_interval_s)
        for record in content.updates:
            records.apply_record(self._index, record)
        for stored in content.answers:
            self._answers.restore(stored)
        self.is_open = True

    async def _commit(self) -> None:
        updates, claims = self._select()
        if not updates and not claims and not self._journal.is_in_doubt:
            return
        change = self._make_change(updates, claims)
        for pending in claims:
            pending.is_sent = True
        self._is_committing = True
        try:
            done = await self._journal.append(change)
        except journals.UnwrittenError:
            self._note_outage(claims, are_in_doubt=False)
        except journals.DoubtError:
            self._note_outage(claims, are_in_doubt=True)
        else:
            self._is_down = False
            self._take(done, change, claims)
        finally:
            self._is_committing = False
        if self._updates or self._pending or self._journal.is_in_doubt:
            self._wake.set()

    def _select(self) -> tuple[list[_Update], list[_Pending]]:
        updates: list[_Update] = []
        size = 0
        for update in self._updates[:MAX_BATCH_RECORDS]:
            size += len(update.answer.answer.body) if update.answer else 0
            if updates and size > MAX_BATCH_ANSWER_BYTES:
                break
            updates.append(update)
        claims = [p for p in self._pending.values() if not p.is_sent]
        return updates, claims[: MAX_BATCH_RECORDS - len(updates)]

    def _make_change(
        self, updates: list[_Update], claims: list[_Pending]
    ) -> journals.Change:
        return journals.Change(
            updates=(
                *(update.record for update in updates),
                *(pending.record for pending in claims),
            ),
            answers=tuple(u.answer for u in updates if u.answer is not None),
            horizon_ms=self._make_horizon_ms(claims),
        )

    def _make_horizon_ms(self, claims: list[_Pending]) -> int:
        age_s = self._timing.retention_s + HORIZON_MARGIN_S
        horizon_ms = int((self._wall_time_s() - age_s) * MS_PER_S)
        times = (pending.record.key_time_ms for pending in claims)
        horizon_ms = min([horizon_ms, *times])
        step_ms = HORIZON_STEP_S * MS_PER_S
        if horizon_ms < self._journal.horizon_ms + step_ms:
            return self._journal.horizon_ms
        return horizon_ms

    def _note_outage(
        self, claims: list[_Pending], *, are_in_doubt: bool
    ) -> None:
        self._is_down = True
        self._next_commit_s = _now_s() + self._timing.min_commit_interval_s
        for pending in claims:
            pending.is_sent = are_in_doubt
            if pending.is_refused and not are_in_doubt:
                self._forget(pending)
            self._refuse(pending)

    def _take(
        self,
        done: journals.Stored | journals.Overtaken,
        change: journals.Change,
        claims: list[_Pending],
    ) -> None:
        if isinstance(done, journals.Overtaken):
            change = done.change
            for pending in claims:
                pending.is_sent = False
                if pending.is_refused:
                    self._forget(pending)
        stored = {id(record) for record in change.updates}
        self._take_updates(stored)
        self._take_claims(stored)
        if self._journal.horizon_ms > self._dropped_ms:
            self._drop_expired()

    def _take_updates(self, stored: set[int]) -> None:
        kept = []
        for update in self._updates:
            if id(update.record) not in stored:
                kept.append(update)
                continue
            if update.record.state is records.State.RELEASED:
                records.apply_record(self._index, update.record)
                self._releasing.discard(update.record.key)
                self._notify(update.record.key)
            if not update.done.done():
                update.done.set_result(True)
        self._updates = kept

    def _take_claims(self, stored: set[int]) -> None:
        for pending in list(self._pending.values()):
            if id(pending.record) in stored:
                self._take_claim(pending)
            elif pending.is_sent:
                # The journal has ruled out that it will ever be stored.
                self._forget(pending)

    def _take_claim(self, pending: _Pending) -> None:
        record = pending.record
        self._index[record.key] = record
        if pending.is_refused:
            self._releasing.add(record.key)
            self._add_update(records.make_released(record), None)
        else:
            pending.done.set_result(replies.Granted())
        self._forget(pending)

    def _drop_expired(self) -> None:
        horizon_ms = self._journal.horizon_ms
        self._dropped_ms = horizon_ms
        expired = [
            record.key
            for record in self._index.values()
            if record.key_time_ms < horizon_ms
        ]
        for key in expired:
            del self._index[key]
            self._answers.drop(key)
            self._notify(key)

    def _close(self) -> None:
        self.is_open = False
        for pending in list(self._pending.values()):
            if not pending.done.done():
                pending.done.set_result(replies.NotOwner())
        for update in self._updates:
            if not update.done.done():
                update.done.set_result(False)
        for key in list(self._changes):
            self._notify(key)


def _make_future() -> asyncio.Future[Any]:
    return asyncio.get_running_loop().create_future()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
