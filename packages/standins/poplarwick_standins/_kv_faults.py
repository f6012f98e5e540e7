"""Injected faults and call statistics of the key-value stand-in."""

from __future__ import annotations

import collections
import enum
import random
from typing import Annotated

import msgspec

from poplarwick_core import clock

WINDOW_S = 1.0


class CallKind(enum.Enum):
    """Kinds of calls, which are counted separately."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults; an empty object means none.

    Attributes:
        outage: Whether the connections of all calls and watches are closed
            without a response.
        delay_s: Additional duration of each call.
        lost_writes: Number of upcoming writes that take effect but get no
            response.
        lost_write_probability: Probability that a write takes effect but gets
            no response.
        cut_off: Values of the header `x-poplarwick-instance` whose connections
            are closed without effect.
        seed: Seed of the random number generator.
        reads_per_s: Rate limit for reads; reads above it are refused. 0 means
            no limit. Applies to watches, too, which are counted separately.
        writes_per_s: Rate limit for writes, like `reads_per_s`.
    """

    outage: bool = False
    delay_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.0
    lost_writes: Annotated[int, msgspec.Meta(ge=0)] = 0
    lost_write_probability: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    cut_off: tuple[str, ...] = ()
    seed: int = 0
    reads_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    writes_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Statistics(msgspec.Struct):
    """Counts of calls since the start of the process.

    Attributes:
        reads: Admitted reads.
        writes: Admitted writes, including lease calls.
        watches: Watches opened.
        open_watches: Watches currently open.
        refused: Calls refused by a rate limit.
        lost: Writes that took effect but got no response.
        peak_reads_per_s: Maximum number of reads within one second.
        peak_writes_per_s: Maximum number of writes within one second.
        by_path: Number of admitted calls by path.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    open_watches: int = 0
    refused: int = 0
    lost: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0
    by_path: dict[str, int] = msgspec.field(default_factory=dict)


class FaultState:
    """Applies rate limits and faults to calls, and counts the calls.

    Args:
        faults: Faults to inject at first.
    """

    def __init__(self, faults: Faults) -> None:
        self.statistics = Statistics()
        self._recent_calls: dict[CallKind, collections.deque[float]] = {
            kind: collections.deque() for kind in CallKind
        }
        self.replace(faults)

    @property
    def faults(self) -> Faults:
        """Faults that are injected."""
        return self._faults

    def replace(self, faults: Faults) -> None:
        """Replaces the injected faults and restarts their random sequence."""
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._remaining_lost_writes = faults.lost_writes

    def admit(self, kind: CallKind, path: str) -> bool:
        """Counts a call.

        Returns:
            Whether the rate limit admits it.
        """
        recent_calls = self._recent_calls[kind]
        now_s = clock.now_s()
        while recent_calls and recent_calls[0] <= now_s - WINDOW_S:
            recent_calls.popleft()
        limit = self._get_rate_limit(kind)
        if limit and len(recent_calls) >= limit * WINDOW_S:
            self.statistics.refused += 1
            return False
        recent_calls.append(now_s)
        self._count(kind, path, len(recent_calls))
        return True

    def drops_response(self, kind: CallKind) -> bool:
        """Returns whether to drop the response to a call that took effect."""
        if kind is not CallKind.WRITE:
            return False
        is_lost = False
        if self._remaining_lost_writes:
            self._remaining_lost_writes -= 1
            is_lost = True
        elif self._faults.lost_write_probability:
            is_lost = self._rng.random() < (self._faults.lost_write_probability)
        self.statistics.lost += is_lost
        return is_lost

    def _get_rate_limit(self, kind: CallKind) -> float:
        if kind is CallKind.WRITE:
            return self._faults.writes_per_s
        return self._faults.reads_per_s

    def _count(self, kind: CallKind, path: str, in_window: int) -> None:
        statistics = self.statistics
        statistics.by_path[path] = statistics.by_path.get(path, 0) + 1
        match kind:
            case CallKind.READ:
                statistics.reads += 1
                statistics.peak_reads_per_s = max(
                    statistics.peak_reads_per_s, in_window
                )
            case CallKind.WRITE:
                statistics.writes += 1
                statistics.peak_writes_per_s = max(
                    statistics.peak_writes_per_s, in_window
                )
            case CallKind.WATCH:
                statistics.watches += 1
