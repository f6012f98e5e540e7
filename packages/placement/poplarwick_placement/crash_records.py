"""Crashes of endpoints and the requests whose answers they cut off."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import messages

SIMULTANEOUS_S = 0.1
"""Crashes within this time count once: a failure domain that loses power takes
its engines with it in an instant."""

MAX_SIMULTANEOUS = 2
"""Crashes in different failure domains that count at the same moment."""


class Scope(NamedTuple):
    """Endpoints that a request affects alike.

    Attributes:
        service: Service of the endpoints.
        software_version: Version of their software.
    """

    service: ids.ServiceId
    software_version: str


class Span(NamedTuple):
    """When a crash can have happened, and where.

    Attributes:
        from_s: Earliest monotonic time.
        to_s: Latest monotonic time.
        domain: Failure domain of the endpoint.
    """

    from_s: float
    to_s: float
    domain: ids.DomainId


def count_crashes(spans: Iterable[Span]) -> int:
    """Returns how many crashes have causes of their own at least.

    Crashes whose spans overlap may have one cause. In one failure domain that
    is its loss, and they count once; in several they count twice, as the whole
    fleet may be lost.
    """
    crashes, last_s = 0, float("-inf")
    domains: set[ids.DomainId] = set()
    for span in sorted(spans, key=lambda span: span.to_s):
        if span.from_s > last_s:
            domains = set()
            last_s = span.to_s
        if span.domain not in domains and len(domains) < MAX_SIMULTANEOUS:
            crashes += 1
        domains.add(span.domain)
    return crashes


def get_scope(endpoint: types.Endpoint) -> Scope:
    """Returns the scope of an endpoint."""
    return Scope(endpoint.service, endpoint.software_version)


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request whose answer was cut off.

    Attributes:
        parts: Parts of its prompt that other requests may share.
        fingerprint: What all copies of the request have in common.
        written_s: Time from the head of the answer to its last event; None
            without a head.
        sent_at_s: Monotonic time at which the request was placed.
        silent_since_s: Monotonic time since which the endpoint has been silent;
            None if the connection ended.
    """

    parts: tuple[ids.PromptPartId, ...]
    fingerprint: ids.RequestFingerprint | None
    written_s: float | None
    sent_at_s: float
    silent_since_s: float | None = None

    @property
    def is_recognisable(self) -> bool:
        """Whether it has anything that a crash can speak against."""
        return bool(self.parts) or self.fingerprint is not None

    @property
    def had_begun(self) -> bool:
        """Whether the head of its answer had arrived."""
        return self.written_s is not None

    @property
    def is_suspect(self) -> bool:
        """Whether it may have caused the crash.

        Answers without a head are among them although others had just begun:
        the end of the endpoint may have overtaken the head, or have come before
        it.
        """
        if self.written_s is None:
            return True
        if self.silent_since_s is not None:
            # What was written is known by the last sign of life only.
            return self.written_s <= messages.UNCUT_ANSWER_S
        return self.written_s <= messages.ANSWER_START_S


@dataclasses.dataclass(slots=True)
class Crash:
    """An endpoint whose answers were cut off.

    Attributes:
        scope: Endpoints that it is alike.
        endpoint: The endpoint.
        domain: Its failure domain.
        at_s: Monotonic time of the first cut.
        confirmed_at_s: Monotonic time at which it was found to have ended.
        cuts: Requests whose answers were cut off.
    """

    scope: Scope
    endpoint: ids.EndpointId
    domain: ids.DomainId
    at_s: float
    confirmed_at_s: float | None = None
    cuts: list[Cut] = dataclasses.field(default_factory=list)

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint was found to have ended."""
        return self.confirmed_at_s is not None

    @property
    def is_silent(self) -> bool:
        """Whether nothing but silence speaks for the crash."""
        return all(cut.silent_since_s is not None for cut in self.cuts)

    def calculate_span(self, cut: Cut) -> Span:
        """Returns when a request can have caused the crash."""
        if cut.silent_since_s is not None:
            return Span(cut.silent_since_s, self.at_s, self.domain)
        return Span(
            max(cut.sent_at_s, self.at_s - SIMULTANEOUS_S),
            self.at_s,
            self.domain,
        )

    def involves(self, parts: frozenset[ids.PromptPartId]) -> bool:
        """Returns whether a suspect has all of these parts."""
        return any(parts.issubset(cut.parts) for cut in self.find_suspects())

    def involves_request(self, fingerprint: ids.RequestFingerprint) -> bool:
        """Returns whether a copy of a request may have caused the crash."""
        return any(
            cut.fingerprint == fingerprint
            for cut in self.find_suspected_requests()
        )

    def find_suspects(self) -> list[Cut]:
        """Returns the requests that may have caused the crash."""
        return [cut for cut in self.cuts if cut.is_suspect]

    def find_suspected_requests(self) -> list[Cut]:
        """Returns the suspects whose copies can be recognised."""
        return [cut for cut in self.find_suspects() if cut.fingerprint]
