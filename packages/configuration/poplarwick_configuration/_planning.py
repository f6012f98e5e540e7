"""Plans the version record and the writes that a change requires."""

from __future__ import annotations

import dataclasses

from poplarwick_configuration import _keys
from poplarwick_configuration import changes
from poplarwick_configuration import check
from poplarwick_configuration import document
from poplarwick_configuration import drain_marks
from poplarwick_configuration import record
from poplarwick_configuration import sections
from poplarwick_core import clock
from poplarwick_core import jsonc
from poplarwick_platform import kv

MAX_RECENT_CHANGES = 128


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A requested change and its author.

    Attributes:
        change: The change.
        author: Operator who requests the change.
        change_id: Idempotency key of the change.
        time_s: Time of the change in seconds since the Unix epoch.
    """

    change: changes.Change
    author: str
    change_id: str
    time_s: float = dataclasses.field(default_factory=clock.wall_time_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A new version to be written.

    Attributes:
        record: Record of the new version.
        parts: Sections that may not be stored yet, by digest.
    """

    record: record.VersionRecord
    parts: dict[str, bytes]

    def list_sections(self, keys: _keys.Keys) -> tuple[kv.Put, ...]:
        """Returns the writes of sections.

        They have no effect without a record, so they may be written ahead.
        """
        return tuple(kv.Put(keys.section(d), p) for d, p in self.parts.items())

    def list_records(self, keys: _keys.Keys) -> tuple[kv.Put, ...]:
        """Returns the writes that belong in the conditional transaction."""
        encoded = record.encode_record(self.record)
        version = self.record.version
        return (
            kv.Put(keys.version(version), encoded),
            kv.Put(keys.change(self.record.change_id), str(version).encode()),
            kv.Put(keys.head, encoded),
        )


def check_text(text: str, environment: str) -> tuple[check.Problem, ...]:
    """Validates a text as the document of an environment.

    Returns:
        The problems found; empty if the text is valid.
    """
    source = f"{environment} document"
    problems = check.check_document(text, source)
    if problems:
        return problems
    parsed = jsonc.decode_checked(text, document.Document, source)
    if parsed.environment == environment:
        return ()
    path = "$.environment"
    line = jsonc.find_positions(text).find_line(path)
    message = f'found "{parsed.environment}"; allowed: "{environment}"'
    return (check.Problem(source, line, path, message),)


def plan_text(
    request: ChangeRequest,
    change: changes.NewText,
    head: record.VersionRecord | None,
) -> Plan:
    """Plans a version with a new text.

    Drain marks stay, except those whose target the new text does not contain.
    """
    parts = sections.split_text(change.text)
    digests = tuple(sections.digest_bytes(part) for part in parts)
    parsed = jsonc.decode_checked(change.text, document.Document, "document")
    out = head.out if head is not None else ()
    stored = set(head.sections) if head is not None else set()
    new_record = record.VersionRecord(
        version=_next_version(head),
        digest=sections.digest_bytes(change.text.encode()),
        sections=digests,
        author=request.author,
        change_id=request.change_id,
        action=change.action,
        detail=change.detail,
        time_s=request.time_s,
        out=tuple(m for m in out if drain_marks.is_known(parsed, m.target)),
        recent_changes=head.recent_changes if head is not None else (),
    )
    new_parts = {
        digest: part
        for digest, part in zip(digests, parts, strict=True)
        if digest not in stored
    }
    return Plan(new_record, new_parts)


def plan_take_out(
    request: ChangeRequest,
    change: changes.TakeOut,
    head: record.VersionRecord,
    parsed: document.Document,
) -> Plan | changes.Refusal | None:
    """Plans a version with a drain mark added.

    Returns:
        The plan, a refusal, or None if the target already has a drain mark.
    """
    if any(mark.target == change.target for mark in head.out):
        return None
    mark = drain_marks.Mark(
        target=change.target,
        author=request.author,
        change_id=request.change_id,
        time_s=request.time_s,
    )
    refusal = check_take_out(change, head.out, mark, parsed)
    if refusal is not None:
        return refusal
    return _plan_marks(request, record.Action.OUT, head, (*head.out, mark))


def check_take_out(
    change: changes.TakeOut,
    out: tuple[drain_marks.Mark, ...],
    mark: drain_marks.Mark,
    parsed: document.Document,
) -> changes.Refusal | None:
    """Checks whether a target may be taken out of service.

    Args:
        change: The requested change.
        out: Drain marks to apply to the document before `mark`.
        mark: Drain mark that the change adds.
        parsed: Document to check.

    Returns:
        The refusal, or None if the target may be taken out.
    """
    if not drain_marks.is_known(parsed, change.target):
        return changes.UnknownTarget(change.target)
    if change.is_forced:
        return None
    before = drain_marks.find_idle_models(drain_marks.apply_marks(parsed, out))
    after = drain_marks.find_idle_models(
        drain_marks.apply_marks(parsed, (*out, mark))
    )
    idle = tuple(name for name in after if name not in before)
    return changes.LeavesIdle(idle) if idle else None


def plan_put_in(
    request: ChangeRequest, change: changes.PutIn, head: record.VersionRecord
) -> Plan | changes.NotOut:
    """Plans a version with a drain mark removed."""
    out = tuple(m for m in head.out if m.target != change.target)
    if len(out) == len(head.out):
        return changes.NotOut(change.target)
    return _plan_marks(request, record.Action.IN, head, out)


def _plan_marks(
    request: ChangeRequest,
    action: record.Action,
    head: record.VersionRecord,
    out: tuple[drain_marks.Mark, ...],
) -> Plan:
    recent = (*head.recent_changes, request.change_id)
    new_record = record.VersionRecord(
        version=_next_version(head),
        digest=head.digest,
        sections=head.sections,
        author=request.author,
        change_id=request.change_id,
        action=action,
        detail=_describe(request.change),
        time_s=request.time_s,
        out=out,
        recent_changes=recent[-MAX_RECENT_CHANGES:],
    )
    return Plan(new_record, {})


def _describe(change: changes.Change) -> str:
    match change:
        case changes.NewText(detail=detail):
            return detail
        case changes.TakeOut(target=target) | changes.PutIn(target=target):
            return str(target)


def _next_version(head: record.VersionRecord | None) -> int:
    return head.version + 1 if head is not None else 1
