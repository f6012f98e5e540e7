"""Replies of a shard's owner to claim requests."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_outcomes.claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The claim is stored; this attempt may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The call ran and was answered.

    Attributes:
        answer: Answer to the call.
    """

    answer: records.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDropped:
    """The call ran; its answer is no longer stored.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run; its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The call is still running."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used for a call with different content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The key is older than the retention period; the call may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The claim was not granted; this attempt must not run the call.

    Attributes:
        retry_after_s: Seconds to wait before a retry.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """This instance does not own the shard.

    Attributes:
        is_claimed: Whether another attempt held the claim while this instance
            still owned the shard.
        may_be_stored: Whether the claim may have been stored nevertheless.
    """

    is_claimed: bool = False
    may_be_stored: bool = False


ClaimReply = (
    Granted
    | Answered
    | AnswerDropped
    | Lost
    | Running
    | Conflict
    | Expired
    | Unavailable
    | NotOwner
)


class ChangeReply(enum.Enum):
    """Result of storing a resolution or release.

    Attributes:
        STORED: The change is stored, or no change was needed.
        UNAVAILABLE: The change is not stored yet; retry.
        NOT_OWNER: This instance does not own the shard.
    """

    STORED = "stored"
    UNAVAILABLE = "unavailable"
    NOT_OWNER = "not-owner"
