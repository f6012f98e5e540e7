"""Changes to an environment's document and their outcomes."""

from __future__ import annotations

import dataclasses

import result

from poplarwick_configuration import check
from poplarwick_configuration import drain_marks
from poplarwick_configuration import record


@dataclasses.dataclass(frozen=True, slots=True)
class NewText:
    """Replaces the text of the document.

    Attributes:
        text: New text of the document, comments included.
        expected_version: Version that the change is based on; None means the
            newest version at the first attempt.
        action: Operation that creates the version.
        detail: Human-readable description of the change.
    """

    text: str
    expected_version: int | None = None
    action: record.Action = record.Action.PUSH
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Takes a target out of service.

    Attributes:
        target: Target to take out of service.
        is_forced: Whether the change may leave a model or service without an
            endpoint in service.
    """

    target: drain_marks.Target
    is_forced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PutIn:
    """Puts a target back into service."""

    target: drain_marks.Target


Change = NewText | TakeOut | PutIn


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is stored.

    Attributes:
        version: Version that contains the change.
        was_stored_before: Whether the change was already stored before the
            call.
    """

    version: int
    was_stored_before: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """Refusal: the document is invalid; nothing was stored."""

    problems: tuple[check.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Refusal: the base version is not the newest; nothing was stored.

    Attributes:
        expected_version: Version that the change was based on.
        head: Record of the newest version, or None if there is no version.
    """

    expected_version: int
    head: record.VersionRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownTarget:
    """Refusal: the document has no such target; nothing was stored."""

    target: drain_marks.Target


@dataclasses.dataclass(frozen=True, slots=True)
class NotOut:
    """Refusal: the target has no drain mark.

    The document itself may still declare the target out of service.
    """

    target: drain_marks.Target


@dataclasses.dataclass(frozen=True, slots=True)
class LeavesIdle:
    """Refusal: models or services would have no endpoint in service."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """Refusal: the key-value service is unavailable; nothing was stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The outcome is unknown; the change may have been stored.

    Retrying with the same change id determines the outcome.
    """

    change_id: str
    reason: str


Refusal = (
    Invalid
    | Superseded
    | UnknownTarget
    | NotOut
    | LeavesIdle
    | NotStored
    | Unresolved
)
ChangeResult = result.Result[Accepted, Refusal]
