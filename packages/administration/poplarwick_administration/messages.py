"""Request and response bodies of the administration API."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from poplarwick_configuration import document


class _Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages."""


class ErrorKind(enum.Enum):
    """Why a call was refused.

    Attributes:
        UNAUTHENTICATED: The call has no valid credentials.
        FORBIDDEN: The operator's role does not allow the call.
        BAD_REQUEST: The call is malformed.
        NOT_FOUND: A document, target or other resource does not exist.
        TOO_LARGE: The body exceeds its size limit.
        INVALID: The document is invalid.
        SUPERSEDED: Another change was stored first.
        NOT_OUT: The target was not taken out of service.
        LEAVES_IDLE: A model or service would have no endpoint in service.
        NEVER_IN_FORCE: The version was never in force in its environment.
        TOO_MANY_CALLS: The caller exceeds its rate limit.
        NOT_STORED: The key-value service could not be reached.
        UNRESOLVED: The change may have been stored; retry it to find out.
    """

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    INVALID = "invalid"
    SUPERSEDED = "superseded"
    NOT_OUT = "not_out"
    LEAVES_IDLE = "leaves_idle"
    NEVER_IN_FORCE = "never_in_force"
    TOO_MANY_CALLS = "too_many_calls"
    NOT_STORED = "not_stored"
    UNRESOLVED = "unresolved"


STATUS_BY_KIND = {
    ErrorKind.UNAUTHENTICATED: 401,
    ErrorKind.FORBIDDEN: 403,
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.INVALID: 422,
    ErrorKind.SUPERSEDED: 409,
    ErrorKind.NOT_OUT: 409,
    ErrorKind.LEAVES_IDLE: 409,
    ErrorKind.NEVER_IN_FORCE: 409,
    ErrorKind.TOO_MANY_CALLS: 429,
    ErrorKind.NOT_STORED: 503,
    ErrorKind.UNRESOLVED: 503,
}


class ProblemMessage(_Message, frozen=True):
    """One problem of a document.

    Attributes:
        line: Line number counted from 1, or None where it is not known.
        path: Path in the document.
        message: The value found and the values allowed.
    """

    line: int | None
    path: str
    message: str


class VersionMessage(_Message, frozen=True):
    """One version of a document, without its text.

    Attributes:
        version: Version number.
        author: Operator who made the change.
        change_id: Idempotency key of the change.
        action: Action that created the version, such as `push`.
        detail: Description of the change.
        time_s: Time of the change in seconds since the Unix epoch.
        digest: Digest of the text.
        out: Targets taken out of service in addition to those that the text
            marks, such as `domain d1`.
    """

    version: int
    author: str
    change_id: str
    action: str
    detail: str
    time_s: float
    digest: str
    out: tuple[str, ...] = ()


class DifferenceMessage(_Message, frozen=True):
    """One difference between two documents.

    Attributes:
        path: Path in the document; items of lists are named by their id.
        before: Old value as JSON, or None if it was added.
        after: New value as JSON, or None if it was removed.
    """

    path: str
    before: str | None
    after: str | None


class ErrorMessage(_Message, frozen=True):
    """Body of an error response.

    Attributes:
        kind: Why the call was refused.
        message: Human-readable reason.
        problems: Problems of the document, for `INVALID`.
        head: The conflicting version, for `SUPERSEDED`.
        differences: Changes made by the conflicting version, for
            `SUPERSEDED`.
    """

    kind: ErrorKind
    message: str
    problems: tuple[ProblemMessage, ...] = ()
    head: VersionMessage | None = None
    differences: tuple[DifferenceMessage, ...] = ()


class AcceptedMessage(_Message, frozen=True):
    """Body of an accepted change.

    Attributes:
        environment: Name of the environment.
        version: Version that the change created.
        change_id: Idempotency key of the change.
        was_stored_before: Whether the same change was stored before.
        differences: Changes made to the document.
    """

    environment: str
    version: int
    change_id: str
    was_stored_before: bool = False
    differences: tuple[DifferenceMessage, ...] = ()


class HeldMessage(_Message, frozen=True):
    """Body of an accepted change that waits for the key-value service.

    Attributes:
        environment: Name of the environment.
        change_id: Idempotency key of the change.
        held_by: Instances that hold the change and have it in force.
        missing: Known instances that have not confirmed it.
        message: Human-readable state: in force, not yet stored.
    """

    environment: str
    change_id: str
    held_by: tuple[str, ...]
    missing: tuple[str, ...]
    message: str


class PromotionRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Request to promote one environment to another.

    Attributes:
        source: Environment that is promoted.
        version: Version of the source; None means the latest one.
        expected_version: Latest version of the target that the operator has
            seen; None accepts any version.
        is_forced: Whether to promote a version that was never in force.
    """

    source: document.Name
    version: int | None = None
    expected_version: int | None = None
    is_forced: bool = False


class RollbackRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Request for a new version with the text of an earlier one.

    Attributes:
        version: The earlier version.
        expected_version: Latest version that the operator has seen; None
            accepts any version.
    """

    version: int
    expected_version: int | None = None


class PreviewMessage(_Message, frozen=True):
    """Preview of a promotion.

    Attributes:
        source_version: Version that would be promoted.
        target_version: Latest version of the target; 0 before the first one.
        was_in_force: Whether the promoted version was in force at all
            instances of its environment.
        differences: Changes that would be made to the target.
    """

    source_version: int
    target_version: int
    was_in_force: bool
    differences: tuple[DifferenceMessage, ...]


class AuditEntry(_Message, frozen=True):
    """One change in the audit trail, accepted or refused.

    Attributes:
        time_s: Time in seconds since the Unix epoch.
        author: Operator who requested the change.
        action: Requested action, such as `push`.
        detail: Description of the change.
        change_id: Idempotency key of the change.
        version: Version that the change created, or None if it was refused.
        result: `accepted`, or the kind of the error.
    """

    time_s: float
    author: str
    action: str
    detail: str
    change_id: str
    version: int | None
    result: str


class AuditMessage(_Message, frozen=True):
    """Part of the audit trail of an environment, oldest entry first."""

    environment: str
    entries: tuple[AuditEntry, ...]


class SectionMessage(_Message, frozen=True):
    """The section of one organisation in a document.

    Attributes:
        version: Version of the document.
        text: The section with its comments.
    """

    version: int
    text: str


class KeyRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Request for a new caller key.

    Attributes:
        id: Name of the new key.
        replaces: Name of the key that the new one replaces, if any.
        overlap_s: Time for which the replaced key stays valid, in seconds.
    """

    id: document.Name
    replaces: document.Name | None = None
    overlap_s: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)] = 0.0


class KeyMessage(_Message, frozen=True):
    """A new caller key. No other response contains its secret.

    Attributes:
        organisation: Owner of the key.
        id: Name of the key.
        secret: The key itself.
        version: Version of the document that contains its digest.
    """

    organisation: str
    id: str
    secret: str
    version: int


class DocumentMessage(_Message, frozen=True):
    """A version of a document.

    Attributes:
        head: The version without its text.
        text: The document with its comments.
    """

    head: VersionMessage
    text: str


class InstanceMessage(_Message, frozen=True):
    """State of one instance as seen by the responding instance.

    Attributes:
        instance: Unique id.
        domain: Failure domain.
        region: Region.
        state: Membership state, such as `alive` or `leaving`.
        version: Version in force at the instance, or None if unknown.
        endpoints: Endpoints that the instance is known to own.
    """

    instance: str
    domain: str
    region: str
    state: str
    version: int | None = None
    endpoints: tuple[str, ...] = ()


class StatusMessage(_Message, frozen=True):
    """State of the fleet as seen by the responding instance.

    Attributes:
        instance: The responding instance.
        environment: Environment that it follows.
        version: Version in force at the instance; 0 before the first one.
        is_connected: Whether it can reach the key-value service.
        out: Targets taken out of service in addition to those that the
            document marks.
        held: Targets out of service whose marks are not stored yet.
        instances: All known instances, including the responding one.
    """

    instance: str
    environment: str
    version: int
    is_connected: bool = True
    out: tuple[str, ...] = ()
    held: tuple[str, ...] = ()
    instances: tuple[InstanceMessage, ...] = ()
