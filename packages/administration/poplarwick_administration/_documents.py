"""HTTP handlers for documents, their versions and the audit trail."""

from __future__ import annotations

import dataclasses

from aiohttp import web

from poplarwick_administration import _changes
from poplarwick_administration import _guard
from poplarwick_administration import _requests
from poplarwick_administration import api_errors
from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import compaction
from poplarwick_configuration import failures
from poplarwick_configuration import offload
from poplarwick_configuration import promotion
from poplarwick_configuration import record
from poplarwick_configuration import store

MAX_AUDIT_ENTRIES = 1_000
MAX_ARCHIVED_RECORDS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentHandlers:
    """HTTP handlers for documents.

    Attributes:
        change_handler: Applies the changes.
    """

    change_handler: _changes.ChangeHandler

    async def put_document(self, request: web.Request) -> web.Response:
        """Stores a new version of a document."""
        operator = _guard.require_operator(request)
        change = changes.NewText(
            await _requests.read_text(request),
            _requests.read_expected_version(request),
        )
        accepted = await self.change_handler.change_text(
            _requests.read_environment(request),
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def get_document(self, request: web.Request) -> web.Response:
        """Returns a version of a document with its comments."""
        _guard.require_viewer(request)
        documents = self._open_store(request)
        stored = await documents.load_text(
            _requests.read_number(request, "version")
        )
        head = api_errors.make_version_message(stored.record)
        return _guard.respond(
            messages.DocumentMessage(head=head, text=stored.text)
        )

    async def roll_back(self, request: web.Request) -> web.Response:
        """Creates a new version with the text of an earlier one."""
        operator = _guard.require_operator(request)
        rollback = await _requests.read_message(
            request, messages.RollbackRequest
        )
        documents = self._open_store(request)
        current = await documents.load_text()
        old = await documents.load_text(rollback.version)
        expected = rollback.expected_version
        change = changes.NewText(
            old.text,
            current.record.version if expected is None else expected,
            record.Action.ROLLBACK,
            f"to version {rollback.version}",
        )
        accepted = await self.change_handler.change_text(
            documents.environment,
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def preview_promotion(self, request: web.Request) -> web.Response:
        """Returns the changes that a promotion would make."""
        _guard.require_viewer(request)
        plan = await self._plan_promotion(request)
        preview = messages.PreviewMessage(
            source_version=plan.source.version,
            target_version=plan.target.record.version,
            was_in_force=plan.was_in_force,
            differences=await offload.run_for_text(
                plan.merged,
                _changes.list_differences,
                plan.target.text,
                plan.merged,
            ),
        )
        return _guard.respond(preview)

    async def promote(self, request: web.Request) -> web.Response:
        """Copies the promoted sections of another environment."""
        operator = _guard.require_operator(request)
        plan = await self._plan_promotion(request)
        promotion_request = plan.request
        detail = f"{promotion_request.source} version {plan.source.version}"
        if not plan.was_in_force and not promotion_request.is_forced:
            raise api_errors.make_error(
                messages.ErrorKind.NEVER_IN_FORCE,
                f"{detail} was never in force at all instances of its "
                "environment",
            )
        expected = promotion_request.expected_version
        if expected is None:
            expected = plan.target.record.version
        change = changes.NewText(
            plan.merged, expected, record.Action.PROMOTE, detail
        )
        accepted = await self.change_handler.change_text(
            _requests.read_environment(request),
            change,
            operator,
            _requests.read_change_id(request),
        )
        return _guard.respond(accepted)

    async def _plan_promotion(self, request: web.Request) -> _PromotionPlan:
        promotion_request = await _requests.read_message(
            request, messages.PromotionRequest
        )
        source = self.change_handler.open_store(promotion_request.source)
        promoted = await source.load_text(promotion_request.version)
        target = await _load_current(self._open_store(request))
        merged = await offload.run_for_text(
            target.text, promotion.merge_texts, promoted.text, target.text
        )
        return _PromotionPlan(
            promotion_request,
            promoted.record,
            target,
            merged,
            await source.is_confirmed(promoted.record.version),
        )

    async def get_audit(self, request: web.Request) -> web.Response:
        """Returns the latest accepted and refused changes."""
        _guard.require_viewer(request)
        documents = self._open_store(request)
        records = await documents.read_history()
        archive = compaction.Compactor(
            self.change_handler.client, documents.environment
        )
        since_s = _requests.read_number(request, "since_s") or 0
        if not records or records[0].time_s >= since_s:
            records = (
                *await archive.read_archive(MAX_ARCHIVED_RECORDS, since_s),
                *records,
            )
        accepted = (_make_accepted_entry(entry) for entry in records)
        refused = (
            _make_refused_entry(entry)
            for entry in await documents.read_refusals()
        )
        entries = sorted((*accepted, *refused), key=lambda e: e.time_s)
        matching = [e for e in entries if _matches(e, request)]
        limit = _requests.read_number(request, "limit") or MAX_AUDIT_ENTRIES
        return _guard.respond(
            messages.AuditMessage(
                environment=documents.environment,
                entries=tuple(matching[-min(limit, MAX_AUDIT_ENTRIES) :]),
            )
        )

    def _open_store(self, request: web.Request) -> store.DocumentStore:
        return self.change_handler.open_store(
            _requests.read_environment(request)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _PromotionPlan:
    request: messages.PromotionRequest
    source: record.VersionRecord
    target: store.StoredText
    merged: str
    was_in_force: bool


async def _load_current(documents: store.DocumentStore) -> store.StoredText:
    try:
        return await documents.load_text()
    except failures.MissingError as error:
        raise api_errors.make_error(
            messages.ErrorKind.NOT_FOUND,
            f"environment {documents.environment} has no document that defines "
            "its failure domains and endpoints; push one first",
        ) from error


def _make_accepted_entry(entry: record.VersionRecord) -> messages.AuditEntry:
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
    fields = {
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
            for field, value in fields.items()
        )
    )
