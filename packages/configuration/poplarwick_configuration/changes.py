"""Changes of an environment's document and what becomes of them."""

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
        text: The document as written.
        expected_version: Version that the change is based on; None means the
            newest one when the change is first tried.
        action: How the version comes to be.
        detail: What the operator asked for, in words.
    """

    text: str
    expected_version: int | None = None
    action: record.Action = record.Action.PUSH
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Takes a target out of service.

    Attributes:
        target: What is taken out.
        is_forced: Whether a model or service may be left without endpoint.
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
        version: Version that holds the change.
        was_stored_before: Whether the change was stored before the call.
    """

    version: int
    was_stored_before: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """Refusal: the document has problems; nothing was stored."""

    problems: tuple[check.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Refusal: another change came first; nothing was stored.

    Attributes:
        expected_version: Version that the change was based on.
        head: Record of the version in its place, or None if there is none.
    """

    expected_version: int
    head: record.VersionRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownTarget:
    """Refusal: the document has no such target; nothing was stored."""

    target: drain_marks.Target


@dataclasses.dataclass(frozen=True, slots=True)
class NotOut:
    """Refusal: operators have not taken the target out of service.

    The document itself may still say that it is not in service.
    """

    target: drain_marks.Target


@dataclasses.dataclass(frozen=True, slots=True)
class LeavesIdle:
    """Refusal: models or services would be left without an endpoint."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """Refusal: the service could not be reached; nothing was stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The answer was lost for good; the change may have been stored.

    Making the change again under the same change id tells.
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
