"""Bodies of the administration API."""

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
        UNAUTHENTICATED: No valid token was sent.
        FORBIDDEN: The operator's role does not allow the call.
        BAD_REQUEST: The call itself is malformed.
        NOT_FOUND: What the call names does not exist.
        TOO_LARGE: The body exceeds its bound.
        INVALID: The document has problems.
        SUPERSEDED: Another change came first.
        NOT_OUT: The target was not taken out of service.
        LEAVES_IDLE: A model or service would have no endpoint in service.
        NEVER_IN_FORCE: The version was never in force in its environment.
        TOO_MANY_CALLS: The caller exceeds its rate.
        NOT_STORED: The key-value service could not be reached.
        UNRESOLVED: The change may have been stored; repeat it to learn.
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
        path: Place inside the document.
        message: What was found and what is allowed.
    """

    line: int | None
    path: str
    message: str


class VersionMessage(_Message, frozen=True):
    """One version of a document, without its text.

    Attributes:
        version: Version number.
        author: Operator who made it.
        change_id: Idempotency key of the change.
        action: How it came to be.
        detail: What the operator asked for, in words.
        time_s: Time of the change in seconds since the Unix epoch.
        digest: Digest of the text.
        out: What is out of service beside the text, such as `domain d1`.
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
        path: Place; items go by their id.
        before: JSON form of the old value, or None where there is none.
        after: JSON form of the new value, or None where there is none.
    """

    path: str
    before: str | None
    after: str | None


class ErrorMessage(_Message, frozen=True):
    """Body of a refusal.

    Attributes:
        kind: Why the call was refused.
        message: The reason for people.
        problems: Problems of the document, for `INVALID`.
        head: The version in the way, for `SUPERSEDED`.
        differences: What changed in it, for `SUPERSEDED`.
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
        version: Version that the change made.
        change_id: Idempotency key of the change.
        was_stored_before: Whether the same change was stored before.
        differences: What the change changes in the document.
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
        message: The state for people: in force, not yet stored.
    """

    environment: str
    change_id: str
    held_by: tuple[str, ...]
    missing: tuple[str, ...]
    message: str


class PromotionRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Asks to promote one environment to another.

    Attributes:
        source: Environment that is promoted.
        version: Its version; None means the newest one.
        expected_version: Newest version of the target when the operator
            decided; None means whatever it is now.
        is_forced: Whether a version that was never in force is promoted.
    """

    source: document.Name
    version: int | None = None
    expected_version: int | None = None
    is_forced: bool = False


class RollbackRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Asks for a new version with the text of an old one.

    Attributes:
        version: The old version.
        expected_version: Newest version when the operator decided.
    """

    version: int
    expected_version: int | None = None


class PreviewMessage(_Message, frozen=True):
    """What a promotion would change.

    Attributes:
        source_version: Version that would be promoted.
        target_version: Newest version of the target; 0 before the first one.
        was_in_force: Whether the promoted version was in force everywhere.
        differences: What would change in the target.
    """

    source_version: int
    target_version: int
    was_in_force: bool
    differences: tuple[DifferenceMessage, ...]


class AuditEntry(_Message, frozen=True):
    """One change in the audit trail, accepted or refused.

    Attributes:
        time_s: Time in seconds since the Unix epoch.
        author: Operator who asked for the change.
        action: What was asked for.
        detail: Details, in words.
        change_id: Idempotency key of the change.
        version: Version that the change made, or None if it was refused.
        result: `accepted`, or why the change was refused.
    """

    time_s: float
    author: str
    action: str
    detail: str
    change_id: str
    version: int | None
    result: str


class AuditMessage(_Message, frozen=True):
    """Part of an environment's audit trail, the oldest entry first."""

    environment: str
    entries: tuple[AuditEntry, ...]


class SectionMessage(_Message, frozen=True):
    """The section of one organisation as written.

    Attributes:
        version: Version of the document that holds it.
        text: The section, comments included.
    """

    version: int
    text: str


class KeyRequest(_Message, frozen=True, forbid_unknown_fields=True):
    """Asks for a new caller key.

    Attributes:
        id: Name of the new key.
        replaces: Key that the new one takes over from, if any.
        overlap_s: Time for which the replaced key still works, in seconds.
    """

    id: document.Name
    replaces: document.Name | None = None
    overlap_s: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)] = 0.0


class KeyMessage(_Message, frozen=True):
    """A new caller key; its secret is shown only here.

    Attributes:
        organisation: Owner of the key.
        id: Name of the key.
        secret: The key itself.
        version: Version that holds its digest.
    """

    organisation: str
    id: str
    secret: str
    version: int


class DocumentMessage(_Message, frozen=True):
    """A document as written.

    Attributes:
        head: The version.
        text: The document, comments included.
    """

    head: VersionMessage
    text: str


class InstanceMessage(_Message, frozen=True):
    """What is known about one instance.

    Attributes:
        instance: Unique id.
        domain: Failure domain.
        region: Region.
        state: Membership state, such as `alive` or `leaving`.
        version: Version in force there, or None where it is not known.
        endpoints: Endpoints that it owns, as far as known here.
    """

    instance: str
    domain: str
    region: str
    state: str
    version: int | None = None
    endpoints: tuple[str, ...] = ()


class StatusMessage(_Message, frozen=True):
    """State of the fleet as seen by the answering instance.

    Attributes:
        instance: The answering instance.
        environment: Environment that it follows.
        version: Version in force there, 0 before the first one.
        is_connected: Whether the key-value service answers it.
        out: What is out of service beside the document.
        held: What is out of service but not stored yet.
        instances: All known instances, the answering one included.
    """

    instance: str
    environment: str
    version: int
    is_connected: bool = True
    out: tuple[str, ...] = ()
    held: tuple[str, ...] = ()
    instances: tuple[InstanceMessage, ...] = ()
