"""API calls about documents and their versions."""

from __future__ import annotations

import dataclasses

from aiohttp import web

from poplarwick_administration import _changes
from poplarwick_administration import _guard
from poplarwick_administration import _requests
from poplarwick_administration import messages
from poplarwick_administration import refusals
from poplarwick_configuration import changes
from poplarwick_configuration import compaction
from poplarwick_configuration import failures
from poplarwick_configuration import offload
from poplarwick_configuration import promotion
from poplarwick_configuration import record
from poplarwick_configuration import store

MAX_ENTRIES = 1_000
MAX_ARCHIVED = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCalls:
    """Handlers of calls about documents.

    Attributes:
        desk: Makes the changes.
    """

    desk: _changes.Desk

    async def put_document(self, request: web.Request) -> web.Response:
        """Stores a new version."""
        operator = _guard.require_operator(request)
        change = changes.NewText(
            await _requests.read_text(request),
            _requests.read_expected_version(request),
        )
        accepted = await self.desk.change_text(
            _requests.read_environment(request),
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def get_document(self, request: web.Request) -> web.Response:
        """Returns a version as written."""
        _guard.require_viewer(request)
        documents = self._open_store(request)
        stored = await documents.load_text(
            _requests.read_number(request, "version")
        )
        head = refusals.make_version_message(stored.record)
        return _guard.respond(
            messages.DocumentMessage(head=head, text=stored.text)
        )

    async def roll_back(self, request: web.Request) -> web.Response:
        """Makes a new version with the text of an old one."""
        operator = _guard.require_operator(request)
        asked = await _requests.read_message(request, messages.RollbackRequest)
        documents = self._open_store(request)
        current = await documents.load_text()
        old = await documents.load_text(asked.version)
        expected = asked.expected_version
        change = changes.NewText(
            old.text,
            current.record.version if expected is None else expected,
            record.Action.ROLLBACK,
            f"to version {asked.version}",
        )
        accepted = await self.desk.change_text(
            documents.environment,
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def preview_promotion(self, request: web.Request) -> web.Response:
        """Returns what a promotion would change."""
        _guard.require_viewer(request)
        planned = await self._plan_promotion(request)
        preview = messages.PreviewMessage(
            source_version=planned.source.version,
            target_version=planned.target.record.version,
            was_in_force=planned.was_in_force,
            differences=await offload.run_for_text(
                planned.merged,
                _changes.list_differences,
                planned.target.text,
                planned.merged,
            ),
        )
        return _guard.respond(preview)

    async def promote(self, request: web.Request) -> web.Response:
        """Takes over the promoted parts of another environment."""
        operator = _guard.require_operator(request)
        planned = await self._plan_promotion(request)
        asked = planned.asked
        detail = f"{asked.source} version {planned.source.version}"
        if not planned.was_in_force and not asked.is_forced:
            raise refusals.make_error(
                messages.ErrorKind.NEVER_IN_FORCE,
                f"{detail} was never in force at all of its instances",
            )
        expected = asked.expected_version
        if expected is None:
            expected = planned.target.record.version
        change = changes.NewText(
            planned.merged, expected, record.Action.PROMOTE, detail
        )
        accepted = await self.desk.change_text(
            _requests.read_environment(request),
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def _plan_promotion(self, request: web.Request) -> _Promotion:
        asked = await _requests.read_message(request, messages.PromotionRequest)
        source = self.desk.open_store(asked.source)
        promoted = await source.load_text(asked.version)
        target = await _load_current(self._open_store(request))
        merged = await offload.run_for_text(
            target.text, promotion.merge_texts, promoted.text, target.text
        )
        return _Promotion(
            asked,
            promoted.record,
            target,
            merged,
            await source.is_confirmed(promoted.record.version),
        )

    async def get_audit(self, request: web.Request) -> web.Response:
        """Returns changes, accepted and refused, the newest entries."""
        _guard.require_viewer(request)
        documents = self._open_store(request)
        records = await documents.read_history()
        archive = compaction.Compactor(self.desk.client, documents.environment)
        since_s = _requests.read_number(request, "since_s") or 0
        if not records or records[0].time_s >= since_s:
            records = (
                *await archive.read_archive(MAX_ARCHIVED, since_s),
                *records,
            )
        accepted = (_make_entry(entry) for entry in records)
        refused = (
            _make_refused_entry(entry)
            for entry in await documents.read_refusals()
        )
        entries = sorted((*accepted, *refused), key=lambda e: e.time_s)
        chosen = [e for e in entries if _matches(e, request)]
        limit = _requests.read_number(request, "limit") or MAX_ENTRIES
        return _guard.respond(
            messages.AuditMessage(
                environment=documents.environment,
                entries=tuple(chosen[-min(limit, MAX_ENTRIES) :]),
            )
        )

    def _open_store(self, request: web.Request) -> store.DocumentStore:
        return self.desk.open_store(_requests.read_environment(request))


@dataclasses.dataclass(frozen=True, slots=True)
class _Promotion:
    asked: messages.PromotionRequest
    source: record.VersionRecord
    target: store.StoredText
    merged: str
    was_in_force: bool


async def _load_current(documents: store.DocumentStore) -> store.StoredText:
    try:
        return await documents.load_text()
    except failures.MissingError as error:
        raise refusals.make_error(
            messages.ErrorKind.NOT_FOUND,
            f"{documents.environment} has no document that names its failure "
            "domains and endpoints; push one first",
        ) from error


def _make_entry(entry: record.VersionRecord) -> messages.AuditEntry:
    return messages.AuditEntry(
        time_s=entry.time_s,
        author=entry.author,
        action=entry.action.value,
        detail=entry.detail,
        change_id=entry.change_id,
        version=entry.version,
        result="accepted",
    )


def _make_refused_entry(entry: record.RefusalRecord) -> messages.AuditEntry:
    return messages.AuditEntry(
        time_s=entry.time_s,
        author=entry.author,
        action=entry.action,
        detail=entry.detail,
        change_id=entry.change_id,
        version=None,
        result=entry.reason,
    )


def _matches(entry: messages.AuditEntry, request: web.Request) -> bool:
    since_s = _requests.read_number(request, "since_s")
    until_s = _requests.read_number(request, "until_s")
    wanted = {
        "author": entry.author,
        "action": entry.action,
        "result": entry.result,
        "change_id": entry.change_id,
    }
    return (
        (since_s is None or entry.time_s >= since_s)
        and (until_s is None or entry.time_s < until_s)
        and all(
            request.query.get(field, value) == value
            for field, value in wanted.items()
        )
    )
