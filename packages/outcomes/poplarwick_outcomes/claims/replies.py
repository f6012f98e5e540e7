"""What the owner of a shard answers to requests about claims."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_outcomes.claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The claim is stored; this attempt may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The call ran.

    Attributes:
        answer: Its answer.
    """

    answer: records.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDropped:
    """The call ran; its answer is no longer kept.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run; its end is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The call is still running."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key was used for a call with other content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The key is older than the retention; it may have run long ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No claim was granted; this attempt must not run the call.

    Attributes:
        retry_after_s: Seconds after which a repeat makes sense.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """This instance does not own the shard.

    Attributes:
        is_claimed: Whether another attempt held the claim when it did.
        is_lost: Whether the claim may be stored all the same.
    """

    is_claimed: bool = False
    is_lost: bool = False


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
    """Whether a resolution or release was stored.

    Attributes:
        STORED: It is stored, or there was nothing to change.
        UNAVAILABLE: It is not stored yet; ask again.
        NOT_OWNER: This instance does not own the shard.
    """

    STORED = "stored"
    UNAVAILABLE = "unavailable"
    NOT_OWNER = "not-owner"
