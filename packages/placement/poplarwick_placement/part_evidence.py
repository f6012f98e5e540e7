"""Weighs crashes of endpoints against the parts of prompts.

Load pattern: one part of a prompt ends each engine that begins to write an
answer on it, before the head, after it or behind some events. Beside it run
sound requests, of which some wait without a head as well and others have just
begun; several requests with the part crash several engines at once.

The part is in every crash and in no answer. Sound parts are in some crashes by
chance, but each answer on them clears them.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from poplarwick_core import ids
from poplarwick_placement import crash_records

MAX_CREDIT = 2
"""Complete answers that count in favour of a part, at most. The platform allows
five crashes by a part, also by one that was sound before."""

MAX_RECORDED_PARTS = 4_096
"""Parts whose complete answers are remembered, the latest ones."""


class Accusation(NamedTuple):
    """A request that may have caused a crash.

    Attributes:
        crash: The crash.
        cut: The request.
        parts: Parts of its prompt that the crash speaks against.
        is_request_blamed: Whether the request is blamed as a whole.
    """

    crash: crash_records.Crash
    cut: crash_records.Cut
    parts: frozenset[ids.PromptPartId]
    is_request_blamed: bool = False

    @property
    def span(self) -> crash_records.Span:
        """When the request can have caused the crash."""
        return self.crash.calculate_span(self.cut)


class Score(NamedTuple):
    """What speaks against a part; the highest score is blamed first.

    Attributes:
        crashes: Crashes at different moments, less complete answers.
        begun: Moments at which an answer on the part had just begun. An engine
            crashes on a part when it begins to write, so that this tells two
            parts apart that are in equally many crashes.
    """

    crashes: int
    begun: int


NO_SCORE = Score(0, 0)

Scores = dict[ids.PromptPartId, Score]


@dataclasses.dataclass(slots=True)
class _SoundRecord:
    """Complete answers on a part and the time of the last sign of soundness."""

    credit: int = 0
    last_at_s: float = 0.0


class PartEvidence:
    """Remembers the answers on parts and scores crashes against them."""

    def __init__(self) -> None:
        self._sound: collections.OrderedDict[
            tuple[crash_records.Scope, ids.PromptPartId], _SoundRecord
        ] = collections.OrderedDict()

    @property
    def recorded_count(self) -> int:
        """Number of parts whose answers are remembered."""
        return len(self._sound)

    def record_answer(
        self,
        scope: crash_records.Scope,
        parts: Iterable[ids.PromptPartId],
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Records an answer that shows that parts are sound."""
        for part in parts:
            record = self._sound.pop((scope, part), None) or _SoundRecord()
            if is_complete:
                record.credit = min(record.credit + 1, MAX_CREDIT)
            record.last_at_s = now_s
            self._sound[scope, part] = record
        while len(self._sound) > MAX_RECORDED_PARTS:
            self._sound.popitem(last=False)

    def score(
        self, scope: crash_records.Scope, accusations: Iterable[Accusation]
    ) -> Scores:
        """Returns the scores of the parts in the accusations of one scope."""
        counted: dict[ids.PromptPartId, list[Accusation]] = {}
        for accusation in accusations:
            for part in accusation.parts:
                record = self._sound.get((scope, part))
                if record is None or accusation.crash.at_s > record.last_at_s:
                    counted.setdefault(part, []).append(accusation)
        return {
            part: self._make_score(scope, part, against)
            for part, against in counted.items()
        }

    def _make_score(
        self,
        scope: crash_records.Scope,
        part: ids.PromptPartId,
        accusations: list[Accusation],
    ) -> Score:
        record = self._sound.get((scope, part))
        credit = 0 if record is None else record.credit
        crashes = _count_crashes(accusations)
        begun = crash_records.count_crashes(
            a.span for a in accusations if a.cut.had_begun
        )
        return Score(crashes - credit, begun)


def _count_crashes(accusations: list[Accusation]) -> int:
    """Returns the crashes that count against a part.

    That one request crashes endpoints again and again says little about what
    it shares with others: a blamed request counts once, or as often as other
    requests with the part crash endpoints as well.
    """
    total = crash_records.count_crashes(a.span for a in accusations)
    by_request: dict[str | None, list[crash_records.Span]] = {}
    for accusation in accusations:
        if accusation.is_request_blamed:
            spans = by_request.setdefault(accusation.cut.fingerprint, [])
            spans.append(accusation.span)
    most = max(map(crash_records.count_crashes, by_request.values()), default=0)
    others = total - most
    return others + min(most, max(others, 1))


def find_leaders(
    accusations: Iterable[Accusation], scores: Scores
) -> tuple[Score, set[frozenset[ids.PromptPartId]]]:
    """Returns the parts that a crash speaks against most, and their score.

    Parts of one request with equally many crashes cannot be told apart and go
    together. Several sets come from several requests.

    Args:
        accusations: What the crash speaks against.
        scores: Scores of all parts.
    """
    highest = NO_SCORE
    leaders: set[frozenset[ids.PromptPartId]] = set()
    for accusation in accusations:
        score = max(
            (scores.get(part, NO_SCORE) for part in accusation.parts),
            default=NO_SCORE,
        )
        if score < highest or score.crashes <= 0:
            continue
        if score > highest:
            highest, leaders = score, set()
        leaders.add(
            frozenset(
                part
                for part in accusation.parts
                if scores.get(part, NO_SCORE).crashes == score.crashes
            )
        )
    return highest, leaders
