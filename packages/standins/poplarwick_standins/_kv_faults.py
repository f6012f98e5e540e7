"""Faults of the key-value stand-in and the counts of its calls."""

from __future__ import annotations

import collections
import enum
import random
from typing import Annotated

import msgspec

from poplarwick_core import clock

WINDOW_S = 1.0


class CallKind(enum.Enum):
    """Kinds of calls that the service counts."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force; an empty object means none.

    Attributes:
        outage: Every call and every watch is cut off without an answer.
        delay_s: Time added to each call.
        lost_writes: Number of coming writes whose answer is lost after they
            took effect.
        lost_write_probability: Share of writes whose answer is lost.
        cut_off: Values of the header `x-poplarwick-instance` whose calls are
            cut off without effect.
        seed: Seed of the random choices.
        reads_per_s: Calls per second above which reads are refused; 0 means
            no limit.
        writes_per_s: As `reads_per_s`, for writes.
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
    """Counts since the start.

    Attributes:
        reads: Reads answered.
        writes: Writes, lease calls included.
        watches: Watches opened.
        open_watches: Watches waiting now.
        refused: Calls refused above the budget.
        lost: Writes whose answer was dropped after they took effect.
        peak_reads_per_s: Most reads in one second.
        peak_writes_per_s: Most writes in one second.
        by_path: Calls by path.
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
    """Decides what happens to each call."""

    def __init__(self, faults: Faults) -> None:
        self.statistics = Statistics()
        self._recent: dict[CallKind, collections.deque[float]] = {
            kind: collections.deque() for kind in CallKind
        }
        self.replace(faults)

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    def replace(self, faults: Faults) -> None:
        """Sets the faults in force from now on."""
        self._faults = faults
        self._random = random.Random(faults.seed)
        self._lost_left = faults.lost_writes

    def admit(self, kind: CallKind, path: str) -> bool:
        """Counts a call; returns False if the budget refuses it."""
        recent = self._recent[kind]
        now_s = clock.now_s()
        while recent and recent[0] <= now_s - WINDOW_S:
            recent.popleft()
        limit = self._find_limit(kind)
        if limit and len(recent) >= limit * WINDOW_S:
            self.statistics.refused += 1
            return False
        recent.append(now_s)
        self._count(kind, path, len(recent))
        return True

    def takes_answer(self, kind: CallKind) -> bool:
        """Returns whether the answer to a call that took effect is lost."""
        if kind is not CallKind.WRITE:
            return False
        is_lost = False
        if self._lost_left:
            self._lost_left -= 1
            is_lost = True
        elif self._faults.lost_write_probability:
            is_lost = self._random.random() < (
                self._faults.lost_write_probability
            )
        self.statistics.lost += is_lost
        return is_lost

    def _find_limit(self, kind: CallKind) -> float:
        if kind is CallKind.WRITE:
            return self._faults.writes_per_s
        return self._faults.reads_per_s

    def _count(self, kind: CallKind, path: str, in_window: int) -> None:
        counts = self.statistics
        counts.by_path[path] = counts.by_path.get(path, 0) + 1
        match kind:
            case CallKind.READ:
                counts.reads += 1
                counts.peak_reads_per_s = max(
                    counts.peak_reads_per_s, in_window
                )
            case CallKind.WRITE:
                counts.writes += 1
                counts.peak_writes_per_s = max(
                    counts.peak_writes_per_s, in_window
                )
            case CallKind.WATCH:
                counts.watches += 1
