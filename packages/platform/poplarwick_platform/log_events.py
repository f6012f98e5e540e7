"""Log events of the store's mirror."""

from __future__ import annotations

from poplarwick_core import logs


class StoreHistoryGone(logs.Event, frozen=True, kw_only=True):
    """The store compacted its history; all keys are read again.

    Attributes:
        reason: Error reported by the store.
    """

    reason: str


class StoreReached(logs.Event, frozen=True, kw_only=True):
    """The store is reachable.

    Attributes:
        revision: Newest revision known to the mirror.
    """

    revision: int


class StoreLost(logs.Event, frozen=True, kw_only=True):
    """The store is unreachable; the mirrored state stays in use.

    Attributes:
        reason: Error of the last call.
        revision: Newest revision known to the mirror.
    """

    level = "WARNING"

    reason: str
    revision: int
