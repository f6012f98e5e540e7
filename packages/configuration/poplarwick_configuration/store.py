"""Documents in the key-value service.

Each change is one compare-and-swap transaction over the head, the record of
the new version, the change id and the sections that are new. A transaction
whose answer is lost is sent again under the same conditions, so it can take
effect once at most, and the change id tells whether it did.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Mapping

import result

from poplarwick_configuration import _keys
from poplarwick_configuration import check
from poplarwick_configuration import document
from poplarwick_configuration import record
from poplarwick_configuration import sections
from poplarwick_core import clock
from poplarwick_core import errors
from poplarwick_core import jsonc
from poplarwick_platform import kv

MAX_TRANSACTION_BYTES = 500_000
MAX_TRANSACTION_OPERATIONS = 64
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.1


class StoreError(errors.PoplarwickError):
    """The store could not be read."""


class UnavailableError(StoreError):
    """The key-value service did not answer."""


class MissingError(StoreError):
    """The asked version or one of its sections is not stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is stored.

    Attributes:
        version: Version that the change made.
        was_stored_before: Whether an earlier push of the same change id had
            stored it already.
    """

    version: int
    was_stored_before: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """Refusal: the document has problems; nothing was stored."""

    problems: tuple[check.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Refusal: another change came first; nothing was stored.

    Attributes:
        expected_version: Version that the change was based on.
        head: Record of the version in its place, or None if there is none.
    """

    expected_version: int
    head: record.VersionRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """Refusal: the service could not be reached; nothing was stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The answer was lost for good; the change may have been stored.

    Pushing again under the same change id tells.
    """

    change_id: str
    reason: str


Refusal = Invalid | Superseded | NotStored | Unresolved
PushResult = result.Result[Accepted, Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredText:
    """One version of a document as written.

    Attributes:
        record: Record of the version.
        text: The document, comments included.
    """

    record: record.VersionRecord
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest version and where a watch goes on from.

    Attributes:
        record: Record of the newest version, or None before the first push.
        revision: Revision that the head was read at.
    """

    record: record.VersionRecord | None
    revision: kv.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    head: record.VersionRecord | None
    conditions: tuple[kv.Condition, ...]

    @property
    def version(self) -> int:
        return self.head.version if self.head is not None else 0


class DocumentStore:
    """The stored versions of one environment's document.

    Attributes:
        environment: Name of the environment.
    """

    def __init__(self, client: kv.KvClient, environment: str) -> None:
        self.environment = environment
        self._kv = client
        self._keys = _keys.Keys(environment)

    @property
    def head_key(self) -> str:
        """Key that is written with each accepted change."""
        return self._keys.head

    async def push(
        self,
        text: str,
        *,
        author: str,
        change_id: str,
        expected_version: int | None = None,
        action: record.Action = record.Action.PUSH,
        detail: str = "",
    ) -> PushResult:
        """Stores a new version of the document.

        Args:
            text: The document as written.
            author: Operator who makes the change.
            change_id: Idempotency key; pushing it again changes nothing.
            expected_version: Version that the change is based on; None means
                the newest one at the time of the call.
            action: How the version comes to be.
            detail: What the operator asked for, in words.

        Returns:
            What became of the change.
        """
        problems = self._check(text)
        if problems:
            return result.Err(Invalid(problems))
        change = _Change(
            text, author, change_id, expected_version, action, detail
        )
        attempt = _Attempt()
        while True:
            try:
                outcome = await self._try_push(change, attempt)
            except kv.KvError as error:
                attempt.count_failure(error)
            else:
                if outcome is not None:
                    return outcome
                attempt.count_race()
            if attempt.count >= MAX_ATTEMPTS:
                return attempt.give_up(change_id)
            delay_s = RETRY_DELAY_S * attempt.count
            await asyncio.sleep(delay_s * random.random())

    async def read_head(self) -> Head:
        """Reads the record of the newest version.

        Raises:
            UnavailableError: The service did not answer.
            record.RecordError: The stored record is not valid.
        """
        snapshot = await self._read(self._keys.head)
        head = None
        if snapshot.entries:
            head = record.decode_record(snapshot.entries[0].value)
        return Head(head, snapshot.revision)

    async def read_record(self, version: int) -> record.VersionRecord:
        """Reads the record of one version.

        Raises:
            MissingError: The version was never made or is no longer kept.
            UnavailableError: The service did not answer.
            record.RecordError: The stored record is not valid.
        """
        snapshot = await self._read(self._keys.version(version))
        if not snapshot.entries:
            raise MissingError(
                f"version {version} of {self.environment} is not stored"
            )
        return record.decode_record(snapshot.entries[0].value)

    async def read_history(self) -> tuple[record.VersionRecord, ...]:
        """Reads the records of all kept versions, the oldest first.

        Raises:
            UnavailableError: The service did not answer.
            record.RecordError: A stored record is not valid.
        """
        snapshot = await self._read(self._keys.versions, is_prefix=True)
        return tuple(record.decode_record(e.value) for e in snapshot.entries)

    async def read_text(
        self,
        version_record: record.VersionRecord,
        known: Mapping[str, bytes] | None = None,
    ) -> str:
        """Reads the text of a version.

        Args:
            version_record: Record of the version.
            known: Sections by digest that need not be read again.

        Raises:
            MissingError: A section is not stored or its content is wrong.
            UnavailableError: The service did not answer.
        """
        parts = []
        for digest in version_record.sections:
            part = known.get(digest) if known is not None else None
            parts.append(part or await self.read_section(digest))
        return join_sections(version_record, parts)

    async def read_section(self, digest: str) -> bytes:
        """Reads one section.

        Raises:
            MissingError: The section is not stored or its content is wrong.
            UnavailableError: The service did not answer.
        """
        snapshot = await self._read(self._keys.section(digest))
        if not snapshot.entries:
            raise MissingError(f"section {digest} is not stored")
        content = snapshot.entries[0].value
        if sections.digest_bytes(content) != digest:
            raise MissingError(f"section {digest} has other content")
        return content

    async def load_text(self, version: int | None = None) -> StoredText:
        """Reads a version as written; None means the newest one.

        Raises:
            MissingError: There is no such version.
            UnavailableError: The service did not answer.
            record.RecordError: A stored record is not valid.
        """
        if version is not None:
            version_record = await self.read_record(version)
        else:
            head = (await self.read_head()).record
            if head is None:
                raise MissingError(f"{self.environment} has no document")
            version_record = head
        return StoredText(version_record, await self.read_text(version_record))

    async def load(self, version: int | None = None) -> document.View:
        """Reads a version; None means the newest one.

        Raises:
            MissingError: There is no such version.
            UnavailableError: The service did not answer.
            record.RecordError: A stored record is not valid.
            errors.DocumentError: The stored text is not valid.
        """
        stored = await self.load_text(version)
        return make_view(self.environment, stored)

    def _check(self, text: str) -> tuple[check.Problem, ...]:
        source = f"{self.environment} document"
        problems = check.check_document(text, source)
        if problems:
            return problems
        parsed = jsonc.decode_checked(text, document.Document, source)
        if parsed.environment == self.environment:
            return ()
        path = "$.environment"
        line = jsonc.find_lines(text).find_line(path)
        message = f'found "{parsed.environment}"; "{self.environment}"'
        return (check.Problem(source, line, path, message),)

    async def _try_push(
        self, change: _Change, attempt: _Attempt
    ) -> PushResult | None:
        stored = await self._find_change(change.change_id)
        if stored is not None:
            return result.Ok(Accepted(stored, attempt.count == 0))
        # Once a transaction may have been sent, it is repeated under the same
        # conditions; else two transactions of one change could both succeed.
        state = attempt.state or await self._read_state()
        if attempt.base_version is None:
            attempt.base_version = change.expected_version
        if attempt.base_version is None:
            attempt.base_version = state.version
        if state.version != attempt.base_version:
            return result.Err(Superseded(attempt.base_version, state.head))
        attempt.state = state
        new_record, operations = self._make_operations(change, state)
        operations = await self._write_ahead(operations)
        change_key = self._keys.change(change.change_id)
        conditions = (*state.conditions, kv.KeyAbsent(change_key))
        committed = await self._commit(conditions, operations, attempt)
        if isinstance(committed, kv.Committed):
            return result.Ok(Accepted(new_record.version))
        return await self._resolve_conflict(change, attempt)

    async def _commit(
        self,
        conditions: tuple[kv.Condition, ...],
        operations: tuple[kv.Put, ...],
        attempt: _Attempt,
    ) -> kv.TransactionResult:
        try:
            return await self._kv.commit(
                conditions, operations, kv.Purpose.CONFIGURATION
            )
        except kv.UnknownResultError:
            attempt.was_sent = True
            raise

    async def _resolve_conflict(
        self, change: _Change, attempt: _Attempt
    ) -> PushResult | None:
        stored = await self._find_change(change.change_id)
        if stored is not None:
            return result.Ok(Accepted(stored))
        # The conditions can never hold again: nothing sent can take effect.
        attempt.state = None
        attempt.was_sent = False
        return None

    async def _find_change(self, change_id: str) -> int | None:
        snapshot = await self._kv.read(
            self._keys.change(change_id), kv.Purpose.CONFIGURATION
        )
        return int(snapshot.entries[0].value) if snapshot.entries else None

    async def _read_state(self) -> _State:
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
        return _State(head, tuple(conditions))

    def _make_operations(
        self, change: _Change, state: _State
    ) -> tuple[record.VersionRecord, tuple[kv.Put, ...]]:
        parts = sections.split_text(change.text)
        digests = tuple(sections.digest_bytes(part) for part in parts)
        new_record = record.VersionRecord(
            version=state.version + 1,
            digest=sections.digest_bytes(change.text.encode()),
            sections=digests,
            author=change.author,
            change_id=change.change_id,
            action=change.action,
            detail=change.detail,
            time_s=clock.wall_time_s(),
        )
        stored = set(state.head.sections) if state.head else set()
        new_parts = {
            digest: part
            for digest, part in zip(digests, parts, strict=True)
            if digest not in stored
        }
        encoded = record.encode_record(new_record)
        version = str(new_record.version).encode()
        return new_record, (
            *(kv.Put(self._keys.section(d), p) for d, p in new_parts.items()),
            kv.Put(self._keys.version(new_record.version), encoded),
            kv.Put(self._keys.change(change.change_id), version),
            kv.Put(self._keys.head, encoded),
        )

    async def _write_ahead(
        self, operations: tuple[kv.Put, ...]
    ) -> tuple[kv.Put, ...]:
        """Writes sections that do not fit and returns what is left to write.

        Sections are named by their content, so a section without a version
        does no harm.
        """
        remaining = list(operations)
        while not _fits(remaining):
            batch = [remaining.pop(0)]
            while _fits([*batch, remaining[0]]):
                batch.append(remaining.pop(0))
            await self._kv.commit((), tuple(batch), kv.Purpose.CONFIGURATION)
        return tuple(remaining)

    async def _read(self, key: str, *, is_prefix: bool = False) -> kv.Snapshot:
        try:
            return await self._kv.read(
                key, kv.Purpose.CONFIGURATION, is_prefix=is_prefix
            )
        except kv.KvError as error:
            raise UnavailableError(
                f"{self.environment} document: {error}"
            ) from error


def join_sections(
    version_record: record.VersionRecord, parts: list[bytes]
) -> str:
    """Returns the text of a version from its sections.

    Raises:
        MissingError: The sections do not give the recorded text.
    """
    data = b"".join(parts)
    if sections.digest_bytes(data) != version_record.digest:
        raise MissingError(
            f"sections of version {version_record.version} do not match"
        )
    return data.decode()


def make_view(environment: str, stored: StoredText) -> document.View:
    """Returns the indexed form of a stored version.

    Raises:
        errors.DocumentError: The stored text is not valid.
    """
    source = f"{environment} version {stored.record.version}"
    parsed = jsonc.decode_checked(stored.text, document.Document, source)
    return document.View(stored.record.version, parsed)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    text: str
    author: str
    change_id: str
    expected_version: int | None
    action: record.Action
    detail: str


@dataclasses.dataclass(slots=True)
class _Attempt:
    """What is known about the transactions sent for one change so far."""

    count: int = 0
    base_version: int | None = None
    was_sent: bool = False
    state: _State | None = None
    reason: str = ""

    def count_failure(self, error: kv.KvError) -> None:
        self.count += 1
        self.reason = str(error)
        if not self.was_sent:
            self.state = None

    def count_race(self) -> None:
        self.count += 1
        self.reason = "another transaction came first"

    def give_up(self, change_id: str) -> PushResult:
        if self.was_sent:
            return result.Err(Unresolved(change_id, self.reason))
        return result.Err(NotStored(self.reason))


def _fits(operations: list[kv.Put]) -> bool:
    size = sum(len(operation.value) for operation in operations)
    return (
        size <= MAX_TRANSACTION_BYTES
        and len(operations) <= MAX_TRANSACTION_OPERATIONS
    )
