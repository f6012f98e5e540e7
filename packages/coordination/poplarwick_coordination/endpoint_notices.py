"""What endpoints have asked of this instance in their answers.

Load pattern: a rolling release under load, where endpoints announce that they
leave before the store does, endpoints that turn requests away and name the time
after which they want the next one, and endpoints in need that name the rate of
requests that they take. Requests for them go elsewhere at once, those that wait
for a placement too.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import types
from poplarwick_coordination import log_events
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_core import logs

MAX_PAUSE_S = 60.0
"""Longest pause that an endpoint can ask for; four times the longest deadline
that the users specify. A longer one counts as a mistake of the endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an endpoint says about itself in an answer.

    Attributes:
        is_leaving: Whether it accepts no new requests until it ends.
        pause_s: Time for which it wants nothing from this instance; None if
            it asks for no pause.
        limit_per_s: Requests a second that it takes from all instances
            together; None if it names no limit.
        is_limit_unreadable: Whether it names a limit that cannot be read.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    is_limit_unreadable: bool = False


class EndpointNotices:
    """Keeps the endpoints that this instance must not send requests to.

    A leaving endpoint is closed in the catalogue, until it has started again.
    A pause binds this instance only.

    Args:
        catalogue_: Routing configuration, endpoints and members.
        report_leaving: Tells the other instances of a leaving endpoint.
        report_limit: Tells them the rate of requests that an endpoint takes;
            None for no limit.
    """

    def __init__(
        self,
        catalogue_: catalogue.Catalogue,
        report_leaving: Callable[[types.EndpointStart], None],
        report_limit: Callable[[types.EndpointStart, float | None], None],
    ) -> None:
        self._catalogue = catalogue_
        self._report_leaving = report_leaving
        self._report_limit = report_limit
        self._paused_until_s: dict[ids.EndpointId, float] = {}

    def record(self, endpoint: ids.EndpointId, notice: Notice) -> None:
        """Records what an endpoint has said in an answer to a request."""
        self._record_notice(endpoint, notice)
        start = self._catalogue.find_start(endpoint)
        if (
            start is not None
            and notice.limit_per_s is None
            and not notice.is_limit_unreadable
            and self._catalogue.rate_limits.record_answer_without(start)
        ):
            self._report_limit(start, None)

    def _record_notice(self, endpoint: ids.EndpointId, notice: Notice) -> None:
        if notice.pause_s is not None:
            self._record_pause(endpoint, notice.pause_s)
        start = self._catalogue.find_start(endpoint)
        if start is None:
            return
        if (
            notice.limit_per_s is not None
            and self._catalogue.rate_limits.record(start, notice.limit_per_s)
        ):
            self._report_limit(start, notice.limit_per_s)
        if notice.is_leaving and self._catalogue.record_leaving(start):
            self._report_leaving(start)

    def _record_pause(self, endpoint: ids.EndpointId, asked_s: float) -> None:
        pause_s = min(max(asked_s, 0.0), MAX_PAUSE_S)
        self._paused_until_s[endpoint] = clock.now_s() + pause_s
        logs.log(log_events.EndpointPaused(endpoint=endpoint, pause_s=pause_s))

    def record_from_address(self, address: str, notice: Notice) -> None:
        """Records what the endpoint at an address has said in a report.

        A report without a limit does not lift one: endpoints have to name it in
        the answers to requests only.
        """
        if notice == Notice():
            return
        for tracked in list(self._catalogue.endpoints.values()):
            if tracked.endpoint.address == address:
                self._record_notice(tracked.endpoint.id, notice)

    def is_paused(self, address: str) -> bool:
        """Returns whether the endpoint at an address wants nothing now."""
        paused = self._find_paused()
        return any(
            tracked.endpoint.address == address
            for endpoint in paused
            if (tracked := self._catalogue.endpoints.get(endpoint))
        )

    def find_blocked(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that get no new request from here now."""
        return self._find_paused() | self._catalogue.leaving

    def calculate_opening_s(self, service: ids.ServiceId) -> float | None:
        """Returns the time until the first pause of a service's endpoint ends.

        None if none of them asks for a pause.
        """
        now_s = clock.now_s()
        ends_s = [
            self._paused_until_s[endpoint]
            for endpoint in self._find_paused()
            if (tracked := self._catalogue.endpoints.get(endpoint))
            and tracked.endpoint.service == service
        ]
        return min(ends_s) - now_s if ends_s else None

    def _find_paused(self) -> frozenset[ids.EndpointId]:
        now_s = clock.now_s()
        for endpoint in [
            e for e, until_s in self._paused_until_s.items() if until_s <= now_s
        ]:
            del self._paused_until_s[endpoint]
        return frozenset(self._paused_until_s)
