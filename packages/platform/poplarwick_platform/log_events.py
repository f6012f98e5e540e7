"""Events of the store's mirror."""

from __future__ import annotations

from poplarwick_core import logs


class StoreHistoryGone(logs.Event, frozen=True, kw_only=True):
    """The store dropped its history; all keys are read again.

    Attributes:
        reason: What the store said.
    """

    reason: str


class StoreReached(logs.Event, frozen=True, kw_only=True):
    """The store answers.

    Attributes:
        revision: Revision known so far.
    """

    revision: int


class StoreLost(logs.Event, frozen=True, kw_only=True):
    """The store does not answer; what is known stays in use.

    Attributes:
        reason: What the last call met.
        revision: Revision known so far.
    """

    level = "WARNING"

    reason: str
    revision: int
