"""Prefix cache of the stand-in engine and its late, gapped events."""

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
MAX_KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the cache.

    Attributes:
        seq: Number of the event.
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
        tokens: Tokens that it adds to the prefix before it.
    """

    digest: int
    tokens: int


class PrefixCache:
    """Keeps the least recently used prefixes within its memory.

    Args:
        settings: Settings of the engine.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self._settings = settings
        self._kept: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MAX_KEPT_EVENTS)
        )
        self._next_seq = 1

    def find_cached_tokens(self, prefixes: list[Prefix]) -> int:
        """Returns how many tokens of a prompt need no prefill."""
        found = 0
        for prefix in prefixes:
            if prefix.digest not in self._kept:
                break
            self._kept.move_to_end(prefix.digest)
            found += prefix.tokens
        return found

    def store(self, prefixes: list[Prefix]) -> None:
        """Keeps the prefixes of a prompt whose prefill has ended."""
        for prefix in prefixes:
            if prefix.digest not in self._kept:
                self._note("stored", prefix.digest)
            self._kept[prefix.digest] = prefix.tokens
            self._kept.move_to_end(prefix.digest)
        while sum(self._kept.values()) > self._settings.cache_tokens:
            digest, _ = self._kept.popitem(last=False)
            self._note("evicted", digest)

    def clear(self) -> None:
        """Forgets everything, as a restart does."""
        self._kept.clear()
        self._note("cleared", 0)

    async def read_events(self, after: int, wait_s: float) -> list[CacheEvent]:
        """Waits for events after a number that are old enough to be seen."""
        until_s = time.monotonic() + wait_s
        while True:
            found = self._find_visible(after)
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return found
            await asyncio.sleep(min(left_s, self._lag_s or left_s))

    @property
    def _lag_s(self) -> float:
        return self._settings.cache_event_lag_s / self._settings.time_scale

    def _find_visible(self, after: int) -> list[CacheEvent]:
        newest_s = time.monotonic() - self._lag_s
        return [
            event
            for at_s, event in self._events
            if event.seq > after and at_s <= newest_s
        ]

    def _note(self, op: str, digest: int) -> None:
        seq = self._next_seq
        self._next_seq += 1
        gap = self._settings.cache_event_gap
        if gap and seq % gap == 0:
            return
        event = CacheEvent(seq, op, digest)
        self._events.append((time.monotonic(), event))


def make_prefixes(model: str, prompt: bytes) -> list[Prefix]:
    """Returns the growing prefixes of a prompt that the cache keeps.

    Args:
        model: Name of the model.
        prompt: JSON form of the prompt or the messages, as received.
    """
    digest = xxhash.xxh3_64(model.encode())
    found = []
    start, end = 0, FIRST_PREFIX_BYTES
    while end <= len(prompt):
        digest.update(prompt[start:end])
        size = (end - start) // completions.BYTES_PER_TOKEN
        found.append(Prefix(digest.intdigest(), size))
        start, end = end, end * PREFIX_GROWTH
    return found
