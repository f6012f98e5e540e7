"""Bodies of the administration API."""

from __future__ import annotations

import enum

import msgspec


class _Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages."""


class ErrorKind(enum.Enum):
    """Why a call was refused.

    Attributes:
        UNAUTHENTICATED: No valid token was sent.
        FORBIDDEN: The operator's role does not allow the call.
        BAD_REQUEST: The call itself is malformed.
        NOT_FOUND: What the call names does not exist.
        INVALID: The document has problems.
        SUPERSEDED: Another change came first.
        NOT_STORED: The key-value service could not be reached.
        UNRESOLVED: The change may have been stored; repeat it to learn.
    """

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    INVALID = "invalid"
    SUPERSEDED = "superseded"
    NOT_STORED = "not_stored"
    UNRESOLVED = "unresolved"


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
    """

    version: int
    author: str
    change_id: str
    action: str
    detail: str
    time_s: float
    digest: str


class ErrorMessage(_Message, frozen=True):
    """Body of a refusal.

    Attributes:
        kind: Why the call was refused.
        message: The reason for people.
        problems: Problems of the document, for `INVALID`.
        head: The version in the way, for `SUPERSEDED`.
    """

    kind: ErrorKind
    message: str
    problems: tuple[ProblemMessage, ...] = ()
    head: VersionMessage | None = None


class AcceptedMessage(_Message, frozen=True):
    """Body of an accepted change.

    Attributes:
        environment: Name of the environment.
        version: Version that the change made.
        change_id: Idempotency key of the change.
        was_stored_before: Whether the same change was stored before.
    """

    environment: str
    version: int
    change_id: str
    was_stored_before: bool


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
        instances: All known instances, the answering one included.
    """

    instance: str
    environment: str
    version: int
    instances: tuple[InstanceMessage, ...]
