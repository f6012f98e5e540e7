"""Crashes of endpoints and the requests whose answers they cut off."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import messages

SIMULTANEOUS_S = 0.1
"""Crashes within this time count once: a failure domain that loses power takes
its engines with it in an instant."""


class Scope(NamedTuple):
    """Endpoints that a request affects alike.

    Attributes:
        service: Service of the endpoints.
        software_version: Version of their software.
    """

    service: ids.ServiceId
    software_version: str


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
    """

    parts: tuple[ids.PromptPartId, ...]
    fingerprint: ids.RequestFingerprint | None
    written_s: float | None
    sent_at_s: float


@dataclasses.dataclass(slots=True)
class Crash:
    """An endpoint whose answers were cut off.

    Attributes:
        scope: Endpoints that it is alike.
        endpoint: The endpoint.
        at_s: Monotonic time of the first cut.
        confirmed_at_s: Monotonic time at which it was found to have ended.
        cuts: Requests whose answers were cut off.
    """

    scope: Scope
    endpoint: ids.EndpointId
    at_s: float
    confirmed_at_s: float | None = None
    cuts: list[Cut] = dataclasses.field(default_factory=list)

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint was found to have ended."""
        return self.confirmed_at_s is not None

    def involves(self, parts: frozenset[ids.PromptPartId]) -> bool:
        """Returns whether a suspect has all of these parts."""
        return any(parts.issubset(s) for s in self.find_suspects())

    def involves_request(self, fingerprint: ids.RequestFingerprint) -> bool:
        """Returns whether a copy of a request may have caused the crash."""
        return any(
            cut.fingerprint == fingerprint
            for cut in self.find_suspected_requests()
        )

    def find_suspects(self) -> list[tuple[ids.PromptPartId, ...]]:
        """Returns the parts of each request that may have caused the crash."""
        begun = [
            cut.parts
            for cut in self.cuts
            if cut.written_s is not None
            and cut.written_s <= messages.ANSWER_START_S
        ]
        return begun or [c.parts for c in self.cuts if c.written_s is None]

    def find_suspected_requests(self) -> list[Cut]:
        """Returns the requests that had no answer yet, or hardly any.

        One without a head is among them although the answer to another one had
        just begun: the end of the endpoint may have overtaken its head.
        """
        return [
            cut
            for cut in self.cuts
            if cut.fingerprint is not None
            and (
                cut.written_s is None
                or cut.written_s <= messages.ANSWER_START_S
            )
        ]
