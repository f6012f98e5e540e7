"""Finds what callers send that crashes endpoints: requests, parts of prompts.

Load pattern: one part of a prompt ends every engine that begins to write an
answer on it. Requests with the part arrive at all instances, share their other
parts with sound requests, and run beside sound requests on the same engines.
Engines also crash for other reasons: alone, one after the other, or a whole
failure domain at once.

A crash speaks against the requests that had no answer yet, or one that had just
begun. An answer that is complete, or has been written for a time, speaks for
the parts of its request. An answer that is cut off by an engine that is alive
or leaving is no crash. `part_evidence` weighs what crashes say of parts of
prompts, `request_evidence` what they say of single requests.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import crash_records
from poplarwick_placement import messages
from poplarwick_placement import part_evidence
from poplarwick_placement import request_evidence
from poplarwick_placement import silent_ends

CULPRIT_CRASHES = 3
"""Crashes, less complete answers, after which a part is blamed."""

AMBIGUOUS_CRASHES = 5
"""The same while parts of different requests have the highest score."""

SUSPECT_CRASHES = 2
"""Crashes after which requests with a part are not sent a second time."""

RETRACTION_S = 1.5
"""Time for which a report retracts a crash. Later another engine may have been
given the address."""

MESSAGE_DELAY_S = 0.3
"""Time after a cut within which instances may still tell of earlier progress of
the endpoint."""

MAX_CRASHES = 256
"""Crashes that are remembered."""

MAX_CONTRASTS = 16
"""Latest sound answers of a service that are remembered with all their parts,
to tell a part that crashes engines from a service of which all engines do."""

MAX_LISTED_ANSWERS = 2
"""Sound answers of a service that one instance tells a new placer: one of them
is to another request than any that is accused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """A request, or parts of prompts, blamed for crashes.

    Attributes:
        service: Service whose endpoints crashed.
        software_version: Version of their software.
        parts: Parts that the requests had in common in as many crashes; none
            if one request is blamed.
        endpoints: Endpoints that crashed, the first crash first.
        fingerprint: The request that is blamed; None if it is parts.
    """

    service: ids.ServiceId
    software_version: str
    parts: frozenset[ids.PromptPartId]
    endpoints: tuple[ids.EndpointId, ...]
    fingerprint: ids.RequestFingerprint | None = None


class ConfirmedCrash(NamedTuple):
    """An endpoint that cut answers off and was found to have ended.

    Attributes:
        endpoint: The endpoint.
        cuts: Number of answers that it cut off.
        suspects: Number of requests that may have caused it.
        headless: Number of answers cut off before their heads.
        parts: Parts of the suspects' prompts, the most suspected first.
    """

    endpoint: ids.EndpointId
    cuts: int
    suspects: int
    headless: int
    parts: tuple[ids.PromptPartId, ...]


class RetractionCause(enum.Enum):
    """What showed that an endpoint has not crashed."""

    REPORT = "report"
    PROGRESS = "progress"


class RetractedCrash(NamedTuple):
    """An endpoint that cut answers off and was found to live.

    Attributes:
        endpoint: The endpoint.
        cause: What showed it.
        was_confirmed: Whether it had been found to have ended.
    """

    endpoint: ids.EndpointId
    cause: RetractionCause
    was_confirmed: bool


class SoundAnswer(NamedTuple):
    """An answer that shows which request does not crash endpoints.

    Attributes:
        at_s: Monotonic time.
        parts: Shared parts of the prompt.
        fingerprint: What all copies of the request have in common.
    """

    at_s: float
    parts: frozenset[ids.PromptPartId]
    fingerprint: ids.RequestFingerprint | None


class CrashEvidence:
    """Weighs crashes of endpoints against complete answers.

    Args:
        on_confirmed: Called with each crash once it is confirmed.
        on_retracted: Called with each crash that turns out to be none.
    """

    def __init__(
        self,
        on_confirmed: Callable[[ConfirmedCrash], None] = lambda crash: None,
        on_retracted: Callable[[RetractedCrash], None] = lambda crash: None,
    ) -> None:
        self._on_confirmed = on_confirmed
        self._on_retracted = on_retracted
        self._crashes: dict[types.EndpointStart, crash_records.Crash] = {}
        self._parts = part_evidence.PartEvidence()
        self._culprits: dict[
            crash_records.Scope, set[frozenset[ids.PromptPartId]]
        ] = {}
        self._contrasts: dict[
            crash_records.Scope, collections.deque[SoundAnswer]
        ] = {}
        self._requests = request_evidence.RequestEvidence()
        self._accused: (
            frozenset[tuple[ids.ServiceId, ids.RequestFingerprint]] | None
        ) = None
        self._scores: dict[crash_records.Scope, part_evidence.Scores] = {}
        self._has_new_crash = False

    def record_cut(
        self,
        endpoint: types.Endpoint,
        request: messages.PlacementRequest,
        written_s: float | None,
        now_s: float,
        sent_at_s: float = 0.0,
    ) -> None:
        """Records that an answer was cut off.

        Args:
            endpoint: Endpoint of the request.
            request: The request.
            written_s: Time from the head of the answer to its last event; None
                without a head.
            now_s: Monotonic time.
            sent_at_s: Monotonic time at which the request was placed.
        """
        cut = crash_records.Cut(
            request.shared_parts, request.fingerprint, written_s, sent_at_s
        )
        if not cut.is_suspect and cut.is_recognisable:
            self.record_writing(endpoint, request, now_s)
        self._add_cut(endpoint, cut, now_s)

    def record_silence(
        self,
        endpoint: types.Endpoint,
        requests: Iterable[silent_ends.SilentRequest],
        now_s: float,
    ) -> None:
        """Records that an engine answers neither requests nor reports."""
        for silent in requests:
            self._add_cut(
                endpoint,
                crash_records.Cut(
                    silent.request.shared_parts,
                    silent.request.fingerprint,
                    silent.written_s,
                    silent.silent_since_s,
                    silent.silent_since_s,
                ),
                now_s,
            )
        self.record_unanswered(endpoint, now_s)

    def _add_cut(
        self, endpoint: types.Endpoint, cut: crash_records.Cut, now_s: float
    ) -> None:
        if not cut.is_recognisable:
            return
        start = endpoint.start
        crash = self._crashes.get(start)
        if crash is None:
            crash = crash_records.Crash(
                crash_records.get_scope(endpoint),
                endpoint.id,
                endpoint.domain,
                now_s,
            )
            self._crashes[start] = crash
            while len(self._crashes) > MAX_CRASHES:
                del self._crashes[next(iter(self._crashes))]
        crash.cuts.append(cut)
        self._invalidate(has_new_crash=crash.is_confirmed)

    def record_complete(
        self,
        endpoint: types.Endpoint,
        request: messages.PlacementRequest,
        now_s: float,
    ) -> None:
        """Records a complete answer to a request."""
        self._record_sound(endpoint, request, now_s, is_complete=True)

    def record_writing(
        self,
        endpoint: types.Endpoint,
        request: messages.PlacementRequest,
        now_s: float,
    ) -> None:
        """Records an answer that has been written for a time."""
        self._record_sound(endpoint, request, now_s, is_complete=False)

    def _record_sound(
        self,
        endpoint: types.Endpoint,
        request: messages.PlacementRequest,
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        scope = crash_records.get_scope(endpoint)
        self._contrasts.setdefault(
            scope, collections.deque(maxlen=MAX_CONTRASTS)
        ).append(
            SoundAnswer(
                now_s, frozenset(request.shared_parts), request.fingerprint
            )
        )
        if request.fingerprint is not None and self.is_accused(request):
            self._requests.record_answer(scope, request.fingerprint, now_s)
            self._accused = None
        self._parts.record_answer(
            scope, request.shared_parts, now_s, is_complete=is_complete
        )
        self._scores.pop(scope, None)

    def list_sound_answers(
        self,
    ) -> list[tuple[crash_records.Scope, SoundAnswer]]:
        """Returns the latest sound answers to different requests.

        Few of each service suffice to tell one request from the others.
        """
        return [
            (scope, answer)
            for scope, contrasts in self._contrasts.items()
            for answer in _choose_different(contrasts)
        ]

    def adopt_sound_answer(
        self, scope: crash_records.Scope, answer: SoundAnswer
    ) -> None:
        """Takes over that an instance has seen a request answered before.

        Blame needs other requests that fare better. Evidence that knows only
        crashes could not blame a request that is all that comes. The credit of
        parts of prompts is not taken over.
        """
        known = self._contrasts.get(scope, ())
        if answer in known:
            return
        self._contrasts[scope] = collections.deque(
            sorted((*known, answer), key=lambda c: c.at_s),
            maxlen=MAX_CONTRASTS,
        )

    def record_progress(self, endpoint: types.Endpoint, now_s: float) -> None:
        """Records that an endpoint has made progress on a request."""
        crash = self._crashes.get(endpoint.start)
        if crash is not None and now_s - crash.at_s > MESSAGE_DELAY_S:
            self._retract(endpoint, RetractionCause.PROGRESS)

    def record_report(
        self, endpoint: types.Endpoint, *, answered: bool, now_s: float
    ) -> None:
        """Records whether an endpoint has returned a report."""
        crash = self._crashes.get(endpoint.start)
        if crash is None:
            return
        if not answered:
            self.record_unanswered(endpoint, now_s)
        elif (
            crash.confirmed_at_s is None
            or crash.is_silent
            or now_s - crash.confirmed_at_s <= RETRACTION_S
        ):
            self._retract(endpoint, RetractionCause.REPORT)

    def record_unanswered(self, endpoint: types.Endpoint, now_s: float) -> None:
        """Records that an endpoint cannot be reached."""
        crash = self._crashes.get(endpoint.start)
        if crash is not None and not crash.is_confirmed:
            self._confirm(crash, now_s)

    def record_gone(self, endpoint: types.Endpoint) -> None:
        """Records that an endpoint has ended or has started again."""
        crash = self._crashes.get(endpoint.start)
        if crash is not None:
            self._confirm(crash, float("-inf"))

    def _confirm(self, crash: crash_records.Crash, now_s: float) -> None:
        was_confirmed = crash.is_confirmed
        crash.confirmed_at_s = now_s
        self._invalidate(has_new_crash=True)
        if not was_confirmed:
            self._on_confirmed(self._describe(crash))

    def _describe(self, crash: crash_records.Crash) -> ConfirmedCrash:
        suspects = crash.find_suspects()
        scores = self._score(crash.scope)
        parts = set().union(*(cut.parts for cut in suspects))
        return ConfirmedCrash(
            crash.endpoint,
            len(crash.cuts),
            len(suspects),
            sum(not cut.had_begun for cut in crash.cuts),
            tuple(
                sorted(
                    parts,
                    key=lambda part: (
                        scores.get(part, part_evidence.NO_SCORE),
                        part,
                    ),
                    reverse=True,
                )
            ),
        )

    def is_unconfirmed(self, endpoint: types.Endpoint) -> bool:
        """Returns whether it is open if an endpoint has crashed."""
        crash = self._crashes.get(endpoint.start)
        return crash is not None and not crash.is_confirmed

    def is_accused(self, request: messages.PlacementRequest) -> bool:
        """Returns whether any crash speaks against a request.

        Unlike a suspected one, a first attempt counts too, and so do crashes
        that are not confirmed yet.
        """
        if not self._crashes or request.fingerprint is None:
            return False
        if self._accused is None:
            self._accused = self._requests.find_accused(self._crashes.values())
        return (request.service, request.fingerprint) in self._accused

    def is_suspected(self, request: messages.PlacementRequest) -> bool:
        """Returns whether a request that was cut off crashes endpoints.

        Parts that are blamed together with others are not suspected alone.
        """
        if not request.was_cut_off or not self._crashes:
            return False
        for scope in self._find_scopes():
            if scope.service != request.service:
                continue
            if request.fingerprint is not None and self.is_accused(request):
                copies = self._requests.score(self._list_unexplained(scope))
                if copies.get(request.fingerprint, 0) >= SUSPECT_CRASHES:
                    return True
            if self._is_part_suspected(scope, request):
                return True
        return False

    def _is_part_suspected(
        self, scope: crash_records.Scope, request: messages.PlacementRequest
    ) -> bool:
        """Returns whether two crashes speak most against a part of a request.

        What merely ran on the same endpoints is tried again.
        """
        blamed = set().union(*self._culprits.get(scope, ()))
        parts = set(request.shared_parts) - blamed
        scores = self._score(scope)
        if not any(
            scores.get(part, part_evidence.NO_SCORE).crashes >= SUSPECT_CRASHES
            for part in parts
        ):
            return False
        for crash in self._list_confirmed(scope):
            score, leaders = part_evidence.find_leaders(
                self._accuse(crash), scores
            )
            if score.crashes >= SUSPECT_CRASHES and any(
                not parts.isdisjoint(leader) for leader in leaders
            ):
                return True
        return False

    @property
    def has_new_crash(self) -> bool:
        """Whether a crash was confirmed since culprits were last searched."""
        return self._has_new_crash

    def find_culprits(self) -> list[Culprit]:
        """Returns what is blamed and was not before."""
        self._has_new_crash = False
        return [
            culprit
            for scope in self._find_scopes()
            for culprit in self._find_culprits_in(scope)
        ]

    def forgive(
        self,
        service: ids.ServiceId,
        parts: frozenset[ids.PromptPartId],
        fingerprint: ids.RequestFingerprint | None = None,
    ) -> None:
        """Drops the evidence against what is served again."""
        if fingerprint is not None:
            self._requests.forgive(service, fingerprint)
        for scope, blamed in self._culprits.items():
            if scope.service == service:
                blamed.discard(parts)
        for start, crash in list(self._crashes.items()):
            if crash.scope.service == service and (
                crash.involves(parts)
                if fingerprint is None
                else crash.involves_request(fingerprint)
            ):
                del self._crashes[start]
        self._invalidate()

    def _retract(
        self, endpoint: types.Endpoint, cause: RetractionCause
    ) -> None:
        crash = self._crashes.pop(endpoint.start)
        self._invalidate()
        self._on_retracted(
            RetractedCrash(endpoint.id, cause, crash.is_confirmed)
        )

    def _invalidate(self, *, has_new_crash: bool = False) -> None:
        self._scores.clear()
        self._accused = None
        self._has_new_crash = self._has_new_crash or has_new_crash

    def _find_scopes(self) -> set[crash_records.Scope]:
        return {crash.scope for crash in self._crashes.values()}

    def _find_culprits_in(self, scope: crash_records.Scope) -> list[Culprit]:
        found = self._find_request_culprits(scope)
        blamed = self._culprits.setdefault(scope, set())
        for crash in self._list_confirmed(scope):
            if any(crash.involves(parts) for parts in blamed):
                continue
            for parts in self._find_guilty_parts(crash):
                blamed.add(parts)
                self._scores.pop(scope, None)
                found.append(
                    Culprit(
                        scope.service,
                        scope.software_version,
                        parts,
                        tuple(
                            confirmed.endpoint
                            for confirmed in self._list_confirmed(scope)
                            if confirmed.involves(parts)
                        ),
                    )
                )
        return found

    def _find_guilty_parts(
        self, crash: crash_records.Crash
    ) -> list[frozenset[ids.PromptPartId]]:
        """Returns the sets of parts to blame for a crash, if any."""
        score, leaders = part_evidence.find_leaders(
            self._accuse(crash), self._score(crash.scope)
        )
        if score.crashes < CULPRIT_CRASHES:
            return []
        guilty = [
            parts
            for parts in sorted(leaders, key=sorted)
            if self._is_distinguished(crash.scope, parts)
        ]
        if not guilty:
            # The next sound answer may tell them from the service.
            self._has_new_crash = True
        if len(guilty) > 1 and score.crashes < AMBIGUOUS_CRASHES:
            return []
        return guilty

    def _find_request_culprits(
        self, scope: crash_records.Scope
    ) -> list[Culprit]:
        crashes = self._list_unexplained(scope)

        def is_distinguished(fingerprint: ids.RequestFingerprint) -> bool:
            if self._is_request_distinguished(scope, fingerprint):
                return True
            self._has_new_crash = True
            return False

        culprits = self._requests.find_culprits(
            scope, crashes, is_distinguished
        )
        if culprits:
            self._invalidate()
        return [
            Culprit(
                scope.service,
                scope.software_version,
                frozenset(),
                tuple(
                    crash.endpoint
                    for crash in crashes
                    if crash.involves_request(fingerprint)
                ),
                fingerprint,
            )
            for fingerprint in culprits
        ]

    def _is_distinguished(
        self, scope: crash_records.Scope, parts: frozenset[ids.PromptPartId]
    ) -> bool:
        """Returns whether requests without these parts fare better.

        Otherwise the engines themselves are the likelier cause. Where crashes
        are so frequent that nothing is answered, the parts must be involved in
        at least half of them, and not in all requests.
        """
        crashes = self._list_confirmed(scope)
        involved = [crash for crash in crashes if crash.involves(parts)]
        since_s = min(crash.at_s for crash in involved)
        if any(
            contrast.at_s >= since_s and not parts.issubset(contrast.parts)
            for contrast in self._contrasts.get(scope, ())
        ):
            return True
        recent = [crash for crash in crashes if crash.at_s >= since_s]
        return 2 * len(involved) >= len(recent) and any(
            not parts.issubset(cut.parts)
            for crash in recent
            for cut in crash.cuts
        )

    def _is_request_distinguished(
        self, scope: crash_records.Scope, fingerprint: ids.RequestFingerprint
    ) -> bool:
        """Returns whether other requests fare better than a request.

        As for parts, but where the request is all that comes, it is enough that
        such endpoints have answered another one before.
        """
        crashes = self._list_confirmed(scope)
        involved = [c for c in crashes if c.involves_request(fingerprint)]
        since_s = min(crash.at_s for crash in involved)
        others = [
            contrast
            for contrast in self._contrasts.get(scope, ())
            if contrast.fingerprint != fingerprint
        ]
        if any(contrast.at_s >= since_s for contrast in others):
            return True
        recent = [crash for crash in crashes if crash.at_s >= since_s]
        return 2 * len(involved) >= len(recent) and (
            bool(others)
            or any(
                cut.fingerprint != fingerprint
                for crash in recent
                for cut in crash.cuts
            )
        )

    def _list_unexplained(
        self, scope: crash_records.Scope
    ) -> list[crash_records.Crash]:
        """Returns the confirmed crashes that no blamed parts explain."""
        blamed = self._culprits.get(scope, ())
        return [
            crash
            for crash in self._list_confirmed(scope)
            if not any(crash.involves(parts) for parts in blamed)
        ]

    def _list_confirmed(
        self, scope: crash_records.Scope
    ) -> list[crash_records.Crash]:
        return [
            crash
            for crash in self._crashes.values()
            if crash.scope == scope and crash.is_confirmed
        ]

    def _score(self, scope: crash_records.Scope) -> part_evidence.Scores:
        scores = self._scores.get(scope)
        if scores is None:
            scores = self._scores[scope] = self._parts.score(
                scope,
                itertools.chain.from_iterable(
                    map(self._accuse, self._list_confirmed(scope))
                ),
            )
        return scores

    def _accuse(
        self, crash: crash_records.Crash
    ) -> list[part_evidence.Accusation]:
        """Returns what a crash speaks against.

        A crash that known culprits explain speaks against no other parts, and
        one that blamed requests explain only against theirs.
        """
        suspects = crash.find_suspects()
        explaining = [
            culprit
            for culprit in self._culprits.get(crash.scope, ())
            if crash.involves(culprit)
        ]
        if explaining:
            return [
                part_evidence.Accusation(crash, cut, culprit)
                for culprit in explaining
                for cut in suspects
                if culprit.issubset(cut.parts)
            ]
        requests = self._requests.find_blamed(crash)
        return [
            part_evidence.Accusation(
                crash, cut, frozenset(cut.parts), bool(requests)
            )
            for cut in suspects
            if not requests or cut.fingerprint in requests
        ]


def _choose_different(answers: Iterable[SoundAnswer]) -> list[SoundAnswer]:
    """Returns the latest answers to requests that are not copies."""
    latest = {answer.fingerprint or answer.parts: answer for answer in answers}
    return list(latest.values())[-MAX_LISTED_ANSWERS:]
