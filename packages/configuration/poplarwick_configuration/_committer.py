"""Commits a change at most once.

A transaction whose outcome is unknown is retried under the same conditions, so
at most one of the transactions sent for a change can succeed. If the conditions
no longer hold, the change id shows whether an earlier transaction succeeded.
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
class ChangeBase:
    """Stored state that a change is based on.

    Attributes:
        head: Record of the newest version, or None if there is none.
        conditions: Transaction conditions that hold until another change or a
            compaction step is committed.
    """

    head: record.VersionRecord | None
    conditions: tuple[kv.Condition, ...]

    @property
    def version(self) -> int:
        """Newest version, or 0 before the first one."""
        return self.head.version if self.head is not None else 0


@dataclasses.dataclass(slots=True)
class _Attempts:
    """State of the transactions sent for one change so far.

    Attributes:
        count: Number of failed attempts.
        base_version: Version that the change is based on, once determined.
        may_be_committed: Whether a transaction with an unknown outcome may
            still take effect.
        base: State whose conditions must be reused, if any.
        reason: Reason of the last failure.
    """

    count: int = 0
    base_version: int | None = None
    may_be_committed: bool = False
    base: ChangeBase | None = None
    reason: str = ""

    def count_failure(self, error: Exception) -> None:
        self.count += 1
        self.reason = str(error)
        if not self.may_be_committed:
            self.base = None

    def count_conflict(self) -> None:
        self.count += 1
        self.reason = "other changes were committed first on each attempt"


class Committer:
    """Commits changes to one environment's document.

    Args:
        client: Client of the key-value service.
        keys: Keys of the environment.
        read_document: Reads the document of a version.
    """

    def __init__(
        self,
        client: kv.KvClient,
        keys: _keys.Keys,
        read_document: DocumentReader,
    ) -> None:
        self._kv = client
        self._keys = keys
        self._read_document = read_document

    async def commit(
        self, request: _planning.ChangeRequest
    ) -> changes.ChangeResult:
        """Commits a change.

        Returns:
            The accepted version or the refusal.
        """
        attempts = _Attempts()
        while True:
            try:
                outcome = await self._attempt(request, attempts)
            except (kv.KvError, failures.StoreError) as error:
                attempts.count_failure(error)
            else:
                if outcome is not None:
                    return outcome
                attempts.count_conflict()
            if attempts.count >= MAX_ATTEMPTS:
                return _make_failure(request, attempts)
            delay_s = RETRY_DELAY_S * attempts.count
            await asyncio.sleep(delay_s * random.random())

    async def read_base(self) -> ChangeBase:
        """Reads the stored state that a change is based on.

        Raises:
            kv.KvError: The key-value service did not respond.
            failures.RecordError: The stored record is invalid.
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
        return ChangeBase(head, tuple(conditions))

    async def _attempt(
        self, request: _planning.ChangeRequest, attempts: _Attempts
    ) -> changes.ChangeResult | None:
        stored = await self._find_change(request.change_id)
        if stored is not None:
            return result.Ok(changes.Accepted(stored, attempts.count == 0))
        # Once a transaction may have been sent, it is retried under the same
        # conditions; otherwise two transactions of one change could succeed.
        base = attempts.base or await self.read_base()
        refusal = _check_base(request.change, base, attempts)
        if refusal is not None:
            return result.Err(refusal)
        plan = await self._plan(request, base)
        if plan is None:
            return result.Ok(changes.Accepted(base.version, True))
        if not isinstance(plan, _planning.Plan):
            return result.Err(plan)
        attempts.base = base
        operations = await self._write_ahead(plan)
        change_key = self._keys.change(request.change_id)
        conditions = (*base.conditions, kv.KeyAbsent(change_key))
        committed = await self._send(conditions, operations, attempts)
        if isinstance(committed, kv.Committed):
            return result.Ok(changes.Accepted(plan.record.version))
        return await self._resolve_conflict(request, attempts)

    async def _plan(
        self, request: _planning.ChangeRequest, base: ChangeBase
    ) -> _planning.Plan | changes.Refusal | None:
        change, head = request.change, base.head
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
            attempts.may_be_committed = True
            raise

    async def _resolve_conflict(
        self, request: _planning.ChangeRequest, attempts: _Attempts
    ) -> changes.ChangeResult | None:
        stored = await self._find_change(request.change_id)
        if stored is not None:
            return result.Ok(changes.Accepted(stored))
        # The conditions can never hold again, so no transaction that was sent
        # can still take effect.
        attempts.base = None
        attempts.may_be_committed = False
        return None

    async def _find_change(self, change_id: str) -> int | None:
        snapshot = await self._kv.read(
            self._keys.change(change_id), kv.Purpose.CONFIGURATION
        )
        return int(snapshot.entries[0].value) if snapshot.entries else None

    async def _write_ahead(self, plan: _planning.Plan) -> tuple[kv.Put, ...]:
        """Writes sections that do not fit into the conditional transaction.

        Sections are keyed by their digest, so a section that no version uses
        is harmless.

        Returns:
            The remaining writes.
        """
        sections = list(plan.list_sections(self._keys))
        records = plan.list_records(self._keys)
        while not _fits_transaction([*sections, *records]):
            batch = [sections.pop(0)]
            while sections and _fits_transaction([*batch, sections[0]]):
                batch.append(sections.pop(0))
            await self._kv.commit((), tuple(batch), kv.Purpose.CONFIGURATION)
        return (*sections, *records)


def _check_base(
    change: changes.Change, base: ChangeBase, attempts: _Attempts
) -> changes.Superseded | None:
    """Refuses a new text unless it is based on the newest version.

    Changes to drain marks do not depend on the base version.
    """
    if not isinstance(change, changes.NewText):
        return None
    if attempts.base_version is None:
        expected = change.expected_version
        attempts.base_version = base.version if expected is None else expected
    if base.version == attempts.base_version:
        return None
    return changes.Superseded(attempts.base_version, base.head)


def _make_failure(
    request: _planning.ChangeRequest, attempts: _Attempts
) -> changes.ChangeResult:
    if attempts.may_be_committed:
        return result.Err(
            changes.Unresolved(request.change_id, attempts.reason)
        )
    return result.Err(changes.NotStored(attempts.reason))


def _fits_transaction(operations: list[kv.Put]) -> bool:
    size = sum(len(operation.value) for operation in operations)
    return (
        size <= MAX_TRANSACTION_BYTES
        and len(operations) <= MAX_TRANSACTION_OPERATIONS
    )
