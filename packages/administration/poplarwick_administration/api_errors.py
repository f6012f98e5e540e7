"""Error responses of the administration API."""

from __future__ import annotations

from poplarwick_administration import messages
from poplarwick_configuration import changes
from poplarwick_configuration import check
from poplarwick_configuration import record


class ApiError(Exception):
    """A call that is refused.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response.
    """

    def __init__(self, status: int, body: messages.ErrorMessage) -> None:
        super().__init__(body.message)
        self.status = status
        self.body = body


def make_error(kind: messages.ErrorKind, message: str) -> ApiError:
    """Returns an error of a kind with a message only."""
    body = messages.ErrorMessage(kind=kind, message=message)
    return ApiError(messages.STATUS_BY_KIND[kind], body)


def make_bad_request_error(message: str) -> ApiError:
    """Returns the error for a malformed call."""
    return make_error(messages.ErrorKind.BAD_REQUEST, message)


def make_invalid_error(problems: tuple[check.Problem, ...]) -> ApiError:
    """Returns the error for an invalid document."""
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


def make_superseded_error(
    refusal: changes.Superseded,
    differences: tuple[messages.DifferenceMessage, ...],
) -> ApiError:
    """Returns the error for a change that is based on an old version."""
    kind = messages.ErrorKind.SUPERSEDED
    head = refusal.head
    body = messages.ErrorMessage(
        kind=kind,
        message=f"version {refusal.expected_version} is not the latest version",
        head=make_version_message(head) if head else None,
        differences=differences,
    )
    return ApiError(messages.STATUS_BY_KIND[kind], body)


def get_error_kind(refusal: changes.Refusal) -> messages.ErrorKind:
    """Returns the error kind of a refused change."""
    return make_change_error(refusal).body.kind


def make_change_error(refusal: changes.Refusal) -> ApiError:
    """Returns the error for a refused change."""
    kinds = messages.ErrorKind
    match refusal:
        case changes.Invalid(problems):
            return make_invalid_error(problems)
        case changes.Superseded():
            return make_superseded_error(refusal, ())
        case changes.UnknownTarget(target):
            return make_error(kinds.NOT_FOUND, f"{target} is not known")
        case changes.NotOut(target):
            return make_error(
                kinds.NOT_OUT,
                f"{target} was not taken out of service; the document itself "
                "may mark it as not in service",
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
                f"change {change_id} may have been stored; retry it with the "
                f"same id: {reason}",
            )


def make_version_message(
    version_record: record.VersionRecord,
) -> messages.VersionMessage:
    """Returns the record of a version as an API message."""
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
