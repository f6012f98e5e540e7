"""Prefix cache of the stand-in engine.

The events that announce its changes are delayed and may have gaps.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time

import msgspec
import xxhash

from poplarwick_standins import completions
from poplarwick_standins import engine_settings

FIRST_PREFIX_BYTES = 4_096
PREFIX_GROWTH = 4
MAX_RETAINED_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache.

    Attributes:
        seq: Sequence number.
        op: `stored`, `evicted` or `cleared`.
        digest: Digest of the prefix; 0 for `cleared`.
    """

    seq: int
    op: str
    digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """A prefix of a prompt.

    Attributes:
        digest: Digest of the model's name and the prefix.
        tokens: Tokens in addition to the next shorter prefix.
    """

    digest: int
    tokens: int


class PrefixCache:
    """Caches prefixes; evicts the least recently used ones when full.

    Args:
        settings: Settings of the engine.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self._settings = settings
        self._cached: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MAX_RETAINED_EVENTS)
        )
        self._next_seq = 1

    def find_cached_tokens(self, prefixes: list[Prefix]) -> int:
        """Returns how many tokens of a prompt are cached.

        Args:
            prefixes: Prefixes of the prompt, shortest first.
        """
        cached_tokens = 0
        for prefix in prefixes:
            if prefix.digest not in self._cached:
                break
            self._cached.move_to_end(prefix.digest)
            cached_tokens += prefix.tokens
        return cached_tokens

    def store(self, prefixes: list[Prefix]) -> None:
        """Caches the prefixes of a prompt whose prefill is complete."""
        for prefix in prefixes:
            if prefix.digest not in self._cached:
                self._record_event("stored", prefix.digest)
            self._cached[prefix.digest] = prefix.tokens
            self._cached.move_to_end(prefix.digest)
        while sum(self._cached.values()) > self._settings.cache_tokens:
            digest, _ = self._cached.popitem(last=False)
            self._record_event("evicted", digest)

    def clear(self) -> None:
        """Removes everything, as a restart does."""
        self._cached.clear()
        self._record_event("cleared", 0)

    async def read_events(self, after: int, wait_s: float) -> list[CacheEvent]:
        """Returns the visible events after a sequence number.

        Events become visible after the configured delay.

        Args:
            after: Sequence number; 0 for all events.
            wait_s: Maximum time to wait for an event.
        """
        until_s = time.monotonic() + wait_s
        while True:
            found = self._find_visible(after)
            remaining_s = until_s - time.monotonic()
            if found or remaining_s <= 0:
                return found
            await asyncio.sleep(min(remaining_s, self._lag_s or remaining_s))

    @property
    def _lag_s(self) -> float:
        return self._settings.cache_event_lag_s / self._settings.time_scale

    def _find_visible(self, after: int) -> list[CacheEvent]:
        visible_until_s = time.monotonic() - self._lag_s
        return [
            event
            for at_s, event in self._events
            if event.seq > after and at_s <= visible_until_s
        ]

    def _record_event(self, op: str, digest: int) -> None:
        seq = self._next_seq
        self._next_seq += 1
        gap = self._settings.cache_event_gap
        if gap and seq % gap == 0:
            return
        event = CacheEvent(seq, op, digest)
        self._events.append((time.monotonic(), event))


def make_prefixes(model: str, prompt: bytes) -> list[Prefix]:
    """Returns the prefixes of a prompt at which it is cached, shortest first.

    The first one has `FIRST_PREFIX_BYTES`, and each next one is
    `PREFIX_GROWTH` times as long.

    Args:
        model: Name of the model.
        prompt: Prompt or messages as received, in JSON.
    """
    digest = xxhash.xxh3_64(model.encode())
    prefixes = []
    start, end = 0, FIRST_PREFIX_BYTES
    while end <= len(prompt):
        digest.update(prompt[start:end])
        size = (end - start) // completions.BYTES_PER_TOKEN
        prefixes.append(Prefix(digest.intdigest(), size))
        start, end = end, end * PREFIX_GROWTH
    return prefixes
