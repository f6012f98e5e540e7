"""Writes one change so that it takes effect once at most.

A transaction whose answer is lost is sent again under the same conditions, so
only one of all transactions sent for a change can succeed. When the conditions
no longer hold, the change id tells whether an earlier one did.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from collections.abc import Callable

import result

from poplarwick_configuration import _keys
from poplarwick_configuration import _planning
from poplarwick_configuration import changes
from poplarwick_configuration import document
from poplarwick_configuration import failures
from poplarwick_configuration import offload
from poplarwick_configuration import record
from poplarwick_platform import kv

MAX_TRANSACTION_BYTES = 500_000
MAX_TRANSACTION_OPERATIONS = 64
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.1

DocumentReader = Callable[[record.VersionRecord], Awaitable[document.Document]]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What a change is conditioned on.

    Attributes:
        head: Record of the newest version.
        conditions: Hold as long as nothing else has changed.
    """

    head: record.VersionRecord | None
    conditions: tuple[kv.Condition, ...]

    @property
    def version(self) -> int:
        """Newest version; 0 before the first one."""
        return self.head.version if self.head is not None else 0


@dataclasses.dataclass(slots=True)
class _Attempts:
    """What is known about the transactions sent for one change so far."""

    count: int = 0
    base_version: int | None = None
    was_sent: bool = False
    state: State | None = None
    reason: str = ""

    def count_failure(self, error: Exception) -> None:
        self.count += 1
        self.reason = str(error)
        if not self.was_sent:
            self.state = None

    def count_race(self) -> None:
        self.count += 1
        self.reason = "other changes came first each time"


class Committer:
    """Writes changes of one environment's document."""

    def __init__(
        self,
        client: kv.KvClient,
        keys: _keys.Keys,
        read_document: DocumentReader,
    ) -> None:
        self._kv = client
        self._keys = keys
        self._read_document = read_document

    async def commit(self, request: _planning.Request) -> changes.ChangeResult:
        """Writes a change and returns what became of it."""
        attempts = _Attempts()
        while True:
            try:
                outcome = await self._try(request, attempts)
            except (kv.KvError, failures.StoreError) as error:
                attempts.count_failure(error)
            else:
                if outcome is not None:
                    return outcome
                attempts.count_race()
            if attempts.count >= MAX_ATTEMPTS:
                return _give_up(request, attempts)
            delay_s = RETRY_DELAY_S * attempts.count
            await asyncio.sleep(delay_s * random.random())

    async def read_state(self) -> State:
        """Reads what a change is conditioned on.

        Raises:
            kv.KvError: The service did not answer.
            failures.RecordError: The stored record is not valid.
        """
        snapshot = await self._kv.read(
            self._keys.state, kv.Purpose.CONFIGURATION, is_prefix=True
        )
        entries = {entry.key: entry for entry in snapshot.entries}
        conditions: list[kv.Condition] = []
        for key in (self._keys.head, self._keys.compaction):
            entry = entries.get(key)
            if entry is None:
                conditions.append(kv.KeyAbsent(key))
            else:
                conditions.append(kv.KeyUnchanged(key, entry.mod_revision))
        head_entry = entries.get(self._keys.head)
        head = record.decode_record(head_entry.value) if head_entry else None
        return State(head, tuple(conditions))

    async def _try(
        self, request: _planning.Request, attempts: _Attempts
    ) -> changes.ChangeResult | None:
        stored = await self._find_change(request.change_id)
        if stored is not None:
            return result.Ok(changes.Accepted(stored, attempts.count == 0))
        # Once a transaction may have been sent, it is repeated under the same
        # conditions; else two transactions of one change could both succeed.
        state = attempts.state or await self.read_state()
        refusal = _check_base(request.change, state, attempts)
        if refusal is not None:
            return result.Err(refusal)
        plan = await self._plan(request, state)
        if plan is None:
            return result.Ok(changes.Accepted(state.version, True))
        if not isinstance(plan, _planning.Plan):
            return result.Err(plan)
        attempts.state = state
        operations = await self._write_ahead(plan)
        change_key = self._keys.change(request.change_id)
        conditions = (*state.conditions, kv.KeyAbsent(change_key))
        committed = await self._send(conditions, operations, attempts)
        if isinstance(committed, kv.Committed):
            return result.Ok(changes.Accepted(plan.record.version))
        return await self._resolve_conflict(request, attempts)

    async def _plan(
        self, request: _planning.Request, state: State
    ) -> _planning.Plan | changes.Refusal | None:
        change, head = request.change, state.head
        match change:
            case changes.NewText():
                return await offload.run_for_text(
                    change.text, _planning.plan_text, request, change, head
                )
            case changes.TakeOut(target=target):
                if head is None:
                    return changes.UnknownTarget(target)
                parsed = await self._read_document(head)
                return _planning.plan_take_out(request, change, head, parsed)
            case changes.PutIn(target=target):
                if head is None:
                    return changes.UnknownTarget(target)
                return _planning.plan_put_in(request, change, head)

    async def _send(
        self,
        conditions: tuple[kv.Condition, ...],
        operations: tuple[kv.Put, ...],
        attempts: _Attempts,
    ) -> kv.TransactionResult:
        try:
            return await self._kv.commit(
                conditions, operations, kv.Purpose.CONFIGURATION
            )
        except kv.UnknownResultError:
            attempts.was_sent = True
            raise

    async def _resolve_conflict(
        self, request: _planning.Request, attempts: _Attempts
    ) -> changes.ChangeResult | None:
        stored = await self._find_change(request.change_id)
        if stored is not None:
            return result.Ok(changes.Accepted(stored))
        # The conditions can never hold again: nothing sent can take effect.
        attempts.state = None
        attempts.was_sent = False
        return None

    async def _find_change(self, change_id: str) -> int | None:
        snapshot = await self._kv.read(
            self._keys.change(change_id), kv.Purpose.CONFIGURATION
        )
        return int(snapshot.entries[0].value) if snapshot.entries else None

    async def _write_ahead(self, plan: _planning.Plan) -> tuple[kv.Put, ...]:
        """Writes sections that do not fit and returns what is left to write.

        Sections are named by their content, so a section without a version
        does no harm.
        """
        sections = list(plan.list_sections(self._keys))
        records = plan.list_records(self._keys)
        while not _fits([*sections, *records]):
            batch = [sections.pop(0)]
            while sections and _fits([*batch, sections[0]]):
                batch.append(sections.pop(0))
            await self._kv.commit((), tuple(batch), kv.Purpose.CONFIGURATION)
        return (*sections, *records)


def _check_base(
    change: changes.Change, state: State, attempts: _Attempts
) -> changes.Superseded | None:
    """Refuses a new text unless it is based on the newest version.

    Taking out and putting in do not depend on what else has changed.
    """
    if not isinstance(change, changes.NewText):
        return None
    if attempts.base_version is None:
        expected = change.expected_version
        attempts.base_version = state.version if expected is None else expected
    if state.version == attempts.base_version:
        return None
    return changes.Superseded(attempts.base_version, state.head)


def _give_up(
    request: _planning.Request, attempts: _Attempts
) -> changes.ChangeResult:
    if attempts.was_sent:
        return result.Err(
            changes.Unresolved(request.change_id, attempts.reason)
        )
    return result.Err(changes.NotStored(attempts.reason))


def _fits(operations: list[kv.Put]) -> bool:
    size = sum(len(operation.value) for operation in operations)
    return (
        size <= MAX_TRANSACTION_BYTES
        and len(operations) <= MAX_TRANSACTION_OPERATIONS
    )
