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


class StoreRestored(logs.Event, frozen=True, kw_only=True):
    """The store was restored from a copy; a new era of revisions has begun.

    Attributes:
        era: Era that has begun.
        revision: Revision of the first read in it.
        previous_era: Era that has ended.
        previous_revision: Newest revision that was known of it.
        carried: Keys that the copy lacks; they are kept until their owners
            have had the time to write them again.
        withheld: Keys that the copy has although they were removed; they are
            not used before they are written again.
    """

    level = "WARNING"

    era: int
    revision: int
    previous_era: int
    previous_revision: int
    carried: int
    withheld: int


class StoreStateDropped(logs.Event, frozen=True, kw_only=True):
    """State of another era of the store arrived and is not used.

    Attributes:
        era: Era of the state.
        revision: Revision of the state.
        known_era: Era that the mirror has reached.
    """

    era: int
    revision: int
    known_era: int


class StoreEraUnreadable(logs.Event, frozen=True, kw_only=True):
    """An answer of the store names no era; the last known one is assumed.

    Logged once until an answer names an era again.

    Attributes:
        text: Text of the header; None if it is missing.
        assumed: Era that is assumed.
    """

    level = "WARNING"

    text: str | None
    assumed: int


class ChangesNotHandled(logs.Event, frozen=True, kw_only=True):
    """A part of this instance failed on changes of the store.

    Attributes:
        keys: The first of the changed keys.
        reason: The error.
    """

    level = "ERROR"

    keys: str
    reason: str


class StoreValueUnreadable(logs.Event, frozen=True, kw_only=True):
    """A value in the store is not encoded as agreed; it counts as empty.

    Attributes:
        key: Key of the value.
        revision: Revision of the key.
    """

    level = "WARNING"

    key: str
    revision: int
