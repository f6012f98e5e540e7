"""View of the prompt prefixes in an engine's cache."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from poplarwick_endpoints import messages

FIRST_PREFIX_TOKENS = 1_024
PREFIX_GROWTH = 4
MAX_DIGESTS = 4_096


class PrefixView:
    """Prefixes that are known to be cached.

    The view is built from events that arrive late and may have gaps. A lost
    event may have been an eviction, so a gap clears the view. A prefix that is
    not in the view counts as not cached.

    Attributes:
        last_seq: Sequence number of the last event applied.
    """

    def __init__(self) -> None:
        self.last_seq = 0
        self._restart_id = ""
        self._digests: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def clear(self) -> None:
        """Removes all prefixes from the view."""
        self._digests.clear()

    def apply(self, update: messages.CacheEvents) -> None:
        """Applies events in sequence order; skips those already applied."""
        if update.restart_id != self._restart_id:
            self._restart_id = update.restart_id
            self.clear()
        for event in update.events:
            if event.seq <= self.last_seq:
                continue
            if event.seq != self.last_seq + 1:
                self.clear()
            self.last_seq = event.seq
            self._apply_event(event)

    def estimate_cached_tokens(self, digests: Iterable[int]) -> int:
        """Returns how many tokens of a prompt are known to be cached.

        Args:
            digests: Digests of its prefixes, shortest first.
        """
        tokens = 0
        size = FIRST_PREFIX_TOKENS
        for digest in digests:
            if digest not in self._digests:
                break
            tokens = size
            size *= PREFIX_GROWTH
        return tokens

    def _apply_event(self, event: messages.CacheEvent) -> None:
        digest = event.digest
        match event.op:
            case messages.CacheOperation.STORED if isinstance(digest, int):
                self._digests[digest] = None
                self._digests.move_to_end(digest)
                if len(self._digests) > MAX_DIGESTS:
                    self._digests.popitem(last=False)
            case messages.CacheOperation.EVICTED if isinstance(digest, int):
                self._digests.pop(digest, None)
            case _:
                self.clear()
