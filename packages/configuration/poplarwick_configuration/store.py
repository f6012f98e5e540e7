"""Stores document versions in the key-value service.

Each change is one compare-and-swap transaction that writes the head, the
record of the new version, the change id and the new sections. Sections that
do not fit into it are written ahead.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import msgspec
import result
import uuid6

from poplarwick_configuration import _committer
from poplarwick_configuration import _keys
from poplarwick_configuration import _planning
from poplarwick_configuration import changes
from poplarwick_configuration import document
from poplarwick_configuration import drain_marks
from poplarwick_configuration import failures
from poplarwick_configuration import offload
from poplarwick_configuration import record
from poplarwick_configuration import sections
from poplarwick_core import clock
from poplarwick_core import jsonc
from poplarwick_platform import kv


@dataclasses.dataclass(frozen=True, slots=True)
class StoredText:
    """Record and text of one version of a document.

    Attributes:
        record: Record of the version.
        text: Text of the document, comments included.
        parts: Sections of the text, by digest.
    """

    record: record.VersionRecord
    text: str
    parts: Mapping[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest version and the revision from which to watch.

    Attributes:
        record: Record of the newest version, or None before the first push.
        revision: Store revision at which the head was read.
    """

    record: record.VersionRecord | None
    revision: kv.Revision


class DocumentStore:
    """Reads and writes the versions of one environment's document.

    Attributes:
        environment: Name of the environment.

    Args:
        client: Client of the key-value service.
        environment: Name of the environment.
    """

    def __init__(self, client: kv.KvClient, environment: str) -> None:
        self.environment = environment
        self._kv = client
        self._keys = _keys.Keys(environment)

    @property
    def head_key(self) -> str:
        """Key that each accepted change writes."""
        return self._keys.head

    async def push(
        self,
        text: str,
        *,
        author: str,
        change_id: str,
        expected_version: int | None = None,
    ) -> changes.ChangeResult:
        """Stores a new text of the document.

        Args:
            text: Text of the document, comments included.
            author: Operator who requests the change.
            change_id: Idempotency key; a retry with the same key has no
                effect.
            expected_version: Version that the change is based on; None means
                the newest version at the first attempt.

        Returns:
            The accepted version or the refusal.
        """
        change = changes.NewText(text, expected_version)
        return await self.make_change(
            change, author=author, change_id=change_id
        )

    async def make_change(
        self,
        change: changes.Change,
        *,
        author: str,
        change_id: str,
        time_s: float | None = None,
        known_sections: Mapping[str, bytes] | None = None,
    ) -> changes.ChangeResult:
        """Stores a change to the document.

        Args:
            change: The change.
            author: Operator who requests the change.
            change_id: Idempotency key; a retry with the same key has no
                effect.
            time_s: Time of the request in seconds since the Unix epoch; None
                means now.
            known_sections: Sections that need not be read, by digest.

        Returns:
            The accepted version or the refusal.
        """
        if isinstance(change, changes.NewText):
            problems = await offload.run_for_text(
                change.text,
                _planning.check_text,
                change.text,
                self.environment,
            )
            if problems:
                return result.Err(changes.Invalid(problems))
        request = _planning.ChangeRequest(
            change,
            author,
            change_id,
            clock.wall_time_s() if time_s is None else time_s,
        )

        async def read_document(
            version_record: record.VersionRecord,
        ) -> document.Document:
            stored = await self.read_text(version_record, known_sections)
            return jsonc.decode_checked(
                stored.text, document.Document, "document"
            )

        committer = _committer.Committer(self._kv, self._keys, read_document)
        return await committer.commit(request)

    async def read_head(self) -> Head:
        """Reads the record of the newest version.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: The stored record is invalid.
        """
        snapshot = await self._read(self._keys.head)
        head = None
        if snapshot.entries:
            head = record.decode_record(snapshot.entries[0].value)
        return Head(head, snapshot.revision)

    async def read_record(self, version: int) -> record.VersionRecord:
        """Reads the record of one version.

        Raises:
            failures.MissingError: The version does not exist or is no longer
                retained.
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: The stored record is invalid.
        """
        snapshot = await self._read(self._keys.version(version))
        if not snapshot.entries:
            raise failures.MissingError(
                f"version {version} of {self.environment} is not stored"
            )
        return record.decode_record(snapshot.entries[0].value)

    async def read_history(self) -> tuple[record.VersionRecord, ...]:
        """Reads the records of all retained versions, oldest first.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored record is invalid.
        """
        snapshot = await self._read(self._keys.versions, is_prefix=True)
        return tuple(record.decode_record(e.value) for e in snapshot.entries)

    async def read_text(
        self,
        version_record: record.VersionRecord,
        known_sections: Mapping[str, bytes] | None = None,
    ) -> StoredText:
        """Reads the text of a version.

        Args:
            version_record: Record of the version.
            known_sections: Sections that need not be read, by digest.

        Raises:
            failures.MissingError: A section is not stored or has the wrong
                content.
            failures.UnavailableError: The key-value service did not respond.
        """
        parts = {}
        for digest in version_record.sections:
            part = (
                known_sections.get(digest)
                if known_sections is not None
                else None
            )
            parts[digest] = part or await self.read_section(digest)
        return join_sections(version_record, parts)

    async def confirm(self, version: int, instance: str) -> None:
        """Records that a version has been in force at all instances.

        Args:
            version: The version.
            instance: Instance that observed it.

        Raises:
            failures.UnavailableError: The confirmation may not be stored.
        """
        key = self._keys.confirmation(version)
        try:
            await self._kv.commit(
                (kv.KeyAbsent(key),),
                (kv.Put(key, instance.encode()),),
                kv.Purpose.CONFIGURATION,
            )
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def is_confirmed(self, version: int) -> bool:
        """Returns whether a version is recorded as in force at all instances.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
        """
        snapshot = await self._read(self._keys.confirmation(version))
        return bool(snapshot.entries)

    async def record_refusal(self, refusal: record.RefusalRecord) -> None:
        """Adds a refused change to the audit trail.

        Raises:
            failures.UnavailableError: The refusal may not be stored.
        """
        key = self._keys.refusals + str(uuid6.uuid7())
        try:
            await self._kv.commit(
                (),
                (kv.Put(key, msgspec.json.encode(refusal)),),
                kv.Purpose.HOUSEKEEPING,
            )
        except kv.KvError as error:
            raise failures.UnavailableError(str(error)) from error

    async def read_refusals(self) -> tuple[record.RefusalRecord, ...]:
        """Reads the refused changes in the audit trail, oldest first.

        Raises:
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored record is invalid.
        """
        snapshot = await self._read(self._keys.refusals, is_prefix=True)
        return tuple(record.decode_refusal(e.value) for e in snapshot.entries)

    async def read_section(self, digest: str) -> bytes:
        """Reads one section.

        Raises:
            failures.MissingError: The section is not stored or has the wrong
                content.
            failures.UnavailableError: The key-value service did not respond.
        """
        snapshot = await self._read(self._keys.section(digest))
        if not snapshot.entries:
            raise failures.MissingError(f"section {digest} is not stored")
        content = snapshot.entries[0].value
        if sections.digest_bytes(content) != digest:
            raise failures.MissingError(f"section {digest} has a wrong digest")
        return content

    async def load_text(self, version: int | None = None) -> StoredText:
        """Reads the record and text of a version; None means the newest one.

        Raises:
            failures.MissingError: The version does not exist.
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored record is invalid.
        """
        if version is not None:
            version_record = await self.read_record(version)
        else:
            head = (await self.read_head()).record
            if head is None:
                raise failures.MissingError(
                    f"{self.environment} has no document"
                )
            version_record = head
        return await self.read_text(version_record)

    async def load(self, version: int | None = None) -> document.View:
        """Reads the view of a version; None means the newest one.

        Raises:
            failures.MissingError: The version does not exist.
            failures.UnavailableError: The key-value service did not respond.
            failures.RecordError: A stored record is invalid.
            errors.DocumentError: The stored text is invalid.
        """
        stored = await self.load_text(version)
        return make_view(self.environment, stored)

    async def _read(self, key: str, *, is_prefix: bool = False) -> kv.Snapshot:
        try:
            return await self._kv.read(
                key, kv.Purpose.CONFIGURATION, is_prefix=is_prefix
            )
        except kv.KvError as error:
            raise failures.UnavailableError(
                f"{self.environment} document: {error}"
            ) from error


def join_sections(
    version_record: record.VersionRecord, parts: Mapping[str, bytes]
) -> StoredText:
    """Joins the sections of a version and verifies the text.

    Args:
        version_record: Record of the version.
        parts: Sections by digest; may contain sections of other versions.

    Raises:
        failures.MissingError: A section is missing or the text does not match
            the recorded digest.
    """
    try:
        version_parts = {
            digest: parts[digest] for digest in version_record.sections
        }
    except KeyError as error:
        raise failures.MissingError(f"missing section {error}") from error
    data = b"".join(version_parts[digest] for digest in version_record.sections)
    if sections.digest_bytes(data) != version_record.digest:
        raise failures.MissingError(
            f"text of version {version_record.version} has a wrong digest"
        )
    return StoredText(version_record, data.decode(), version_parts)


def make_view(environment: str, stored: StoredText) -> document.View:
    """Returns the view of a stored version, with its drain marks applied.

    Raises:
        errors.DocumentError: The stored text is invalid.
    """
    source = f"{environment} version {stored.record.version}"
    parsed = jsonc.decode_checked(stored.text, document.Document, source)
    effective = drain_marks.apply_marks(parsed, stored.record.out)
    return document.View(stored.record.version, effective)
