"""Refused calls of the administration API."""

from __future__ import annotations

from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import check
from poplarwick_configuration import record


class ApiError(Exception):
    """A call is refused.

    Attributes:
        status: HTTP status.
        body: Body of the refusal.
    """

    def __init__(self, status: int, body: messages.ErrorMessage) -> None:
        super().__init__(body.message)
        self.status = status
        self.body = body


def make_error(kind: messages.ErrorKind, message: str) -> ApiError:
    """Returns a refusal without further fields."""
    body = messages.ErrorMessage(kind=kind, message=message)
    return ApiError(messages.STATUS_BY_KIND[kind], body)


def make_bad_request(message: str) -> ApiError:
    """Returns the refusal of a malformed call."""
    return make_error(messages.ErrorKind.BAD_REQUEST, message)


def make_invalid(problems: tuple[check.Problem, ...]) -> ApiError:
    """Returns the refusal of a document with problems."""
    kind = messages.ErrorKind.INVALID
    body = messages.ErrorMessage(
        kind=kind,
        message=f"the document has {len(problems)} problem(s)",
        problems=tuple(
            messages.ProblemMessage(
                line=problem.line, path=problem.path, message=problem.message
            )
            for problem in problems
        ),
    )
    return ApiError(messages.STATUS_BY_KIND[kind], body)


def make_superseded(
    refusal: changes.Superseded,
    differences: tuple[messages.DifferenceMessage, ...],
) -> ApiError:
    """Returns the refusal of a change that came too late."""
    kind = messages.ErrorKind.SUPERSEDED
    head = refusal.head
    body = messages.ErrorMessage(
        kind=kind,
        message=f"version {refusal.expected_version} is not the newest",
        head=make_version_message(head) if head else None,
        differences=differences,
    )
    return ApiError(messages.STATUS_BY_KIND[kind], body)


def get_kind(refusal: changes.Refusal) -> messages.ErrorKind:
    """Returns the kind of a refused change."""
    return make_refusal(refusal).body.kind


def make_refusal(refusal: changes.Refusal) -> ApiError:
    """Returns the API's form of a refused change."""
    kinds = messages.ErrorKind
    match refusal:
        case changes.Invalid(problems):
            return make_invalid(problems)
        case changes.Superseded():
            return make_superseded(refusal, ())
        case changes.UnknownTarget(target):
            return make_error(kinds.NOT_FOUND, f"{target} is not known")
        case changes.NotOut(target):
            return make_error(
                kinds.NOT_OUT,
                f"{target} is not among the parts that were taken out; the "
                "document itself may say that it is not in service",
            )
        case changes.LeavesIdle(names):
            return make_error(
                kinds.LEAVES_IDLE,
                "no endpoint would be left in service for " + ", ".join(names),
            )
        case changes.NotStored(reason):
            return make_error(kinds.NOT_STORED, f"not stored: {reason}")
        case changes.Unresolved(change_id, reason):
            return make_error(
                kinds.UNRESOLVED,
                f"change {change_id} may have been stored; repeat it under "
                f"the same id: {reason}",
            )


def make_version_message(
    version_record: record.VersionRecord,
) -> messages.VersionMessage:
    """Returns the API's form of a version's record."""
    return messages.VersionMessage(
        version=version_record.version,
        author=version_record.author,
        change_id=version_record.change_id,
        action=version_record.action.value,
        detail=version_record.detail,
        time_s=version_record.time_s,
        digest=version_record.digest,
        out=tuple(str(mark.target) for mark in version_record.out),
    )
