"""Finds requests that crash every endpoint that begins to run them.

Load pattern: copies of one request, each with another id, arrive at any
instance again and again, also several at once, and each ends an endpoint. Sound
requests run beside them on the same endpoints, are cut off with them and are
sent again as well. Other sound requests are sent alike many times a minute
while endpoints end for other reasons.

Unlike a part of a prompt, a request is the same each time: one answer to it
shows that it is sound, and crashes count only since then.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_core import ids
from poplarwick_placement import crash_records

CULPRIT_CRASHES = 3
"""Crashes without an answer in between after which a request is blamed."""

AMBIGUOUS_CRASHES = 5
"""The same for requests that were involved in equally many crashes of the same
endpoints. They are placed apart from each other, which tells them apart unless
the service has too few endpoints."""

MAX_ANSWERED = 4_096
"""Requests whose answers are remembered: those that a crash speaks against."""

Accused = tuple[crash_records.Scope, ids.RequestFingerprint]


class RequestEvidence:
    """Weighs crashes against the requests that may have caused them."""

    def __init__(self) -> None:
        self._answered_at_s: collections.OrderedDict[Accused, float] = (
            collections.OrderedDict()
        )
        self._blamed: dict[
            crash_records.Scope, set[ids.RequestFingerprint]
        ] = {}

    def record_answer(
        self,
        scope: crash_records.Scope,
        fingerprint: ids.RequestFingerprint,
        now_s: float,
    ) -> None:
        """Records that a request which a crash speaks against was answered."""
        self._answered_at_s.pop((scope, fingerprint), None)
        self._answered_at_s[scope, fingerprint] = now_s
        while len(self._answered_at_s) > MAX_ANSWERED:
            self._answered_at_s.popitem(last=False)

    def forgive(
        self, service: ids.ServiceId, fingerprint: ids.RequestFingerprint
    ) -> None:
        """Blames a request no more until there is new evidence."""
        for scope, blamed in self._blamed.items():
            if scope.service == service:
                blamed.discard(fingerprint)

    def find_blamed(
        self, crash: crash_records.Crash
    ) -> set[ids.RequestFingerprint]:
        """Returns the blamed requests that explain a crash."""
        blamed = self._blamed.get(crash.scope)
        if not blamed:
            return set()
        return {
            cut.fingerprint
            for cut in crash.find_suspected_requests()
            if cut.fingerprint in blamed
        }

    def find_accused(
        self, crashes: Iterable[crash_records.Crash]
    ) -> frozenset[tuple[ids.ServiceId, ids.RequestFingerprint]]:
        """Returns the requests that any crash speaks against, with services.

        Args:
            crashes: Crashes of any scope, also those not confirmed yet.
        """
        return frozenset(
            (crash.scope.service, fingerprint)
            for crash in crashes
            for fingerprint in self._find_suspects(crash)
        )

    def score(
        self, crashes: Iterable[crash_records.Crash]
    ) -> dict[ids.RequestFingerprint, int]:
        """Returns the crashes of each request since it was last answered.

        Crashes at the same moment count once, unless a copy was sent after the
        one before: then no failure domain took both endpoints with it.

        Args:
            crashes: Confirmed crashes of one scope.
        """
        spans: dict[ids.RequestFingerprint, list[crash_records.Span]] = {}
        for crash in crashes:
            for fingerprint, span in self._find_suspects(crash).items():
                spans.setdefault(fingerprint, []).append(span)
        return {f: crash_records.count_crashes(s) for f, s in spans.items()}

    def find_culprits(
        self,
        scope: crash_records.Scope,
        crashes: list[crash_records.Crash],
        is_distinguished: Callable[[ids.RequestFingerprint], bool],
    ) -> list[ids.RequestFingerprint]:
        """Blames requests for crashes and returns those newly blamed.

        Args:
            scope: Scope of the crashes.
            crashes: Confirmed crashes.
            is_distinguished: Returns whether other requests fare better.
        """
        blamed = self._blamed.setdefault(scope, set())
        found: list[ids.RequestFingerprint] = []
        scores = self.score(crashes)
        for crash in crashes:
            if self.find_blamed(crash):
                continue
            suspects = {f: scores.get(f, 0) for f in self._find_suspects(crash)}
            highest = max(suspects.values(), default=0)
            culprits = [f for f, score in suspects.items() if score == highest]
            needed = (
                CULPRIT_CRASHES if len(culprits) == 1 else AMBIGUOUS_CRASHES
            )
            if highest < needed or not all(map(is_distinguished, culprits)):
                continue
            blamed.update(culprits)
            found.extend(culprits)
            # What they explain does not speak against others any more.
            scores = self.score(crashes)
        return found

    def _find_suspects(
        self, crash: crash_records.Crash
    ) -> dict[ids.RequestFingerprint, crash_records.Span]:
        """Returns the requests that a crash speaks against.

        The values are when their last copies can have caused it. A crash that a
        blamed request explains speaks against no other.
        """
        explaining = self.find_blamed(crash)
        suspects: dict[ids.RequestFingerprint, crash_records.Span] = {}
        for cut in crash.find_suspected_requests():
            fingerprint = cut.fingerprint
            if fingerprint is None or (
                explaining and fingerprint not in explaining
            ):
                continue
            answered_at_s = self._answered_at_s.get((crash.scope, fingerprint))
            if answered_at_s is None or crash.at_s > answered_at_s:
                span = crash.calculate_span(cut)
                suspects[fingerprint] = max(
                    span, suspects.get(fingerprint, span)
                )
        return suspects
