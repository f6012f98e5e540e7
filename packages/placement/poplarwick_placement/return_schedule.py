"""Schedules when refused callers are to return.

Load pattern: callers that are refused together and would return together. Each
one gets a time of its own, at which capacity is expected and after which the
next one's begins. A caller that returns at its time is recognised and goes
ahead of new callers. Promises are lost with their placer; their callers are
then treated as new.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import Any

from poplarwick_core import ids
from poplarwick_placement import arrival_rates
from poplarwick_placement import messages

MAX_PROMISES = 4_096
"""Most promises that are kept; about one second of refusals of the largest
deployment times the longest time that callers wait."""

EARLY_SHARE = 0.25
"""Share of the stated time by which a caller may return early."""

LATE_SHARE = 0.5
"""Share of the stated time by which a caller may return late."""

TOLERANCE_S = 0.25
"""Added on either side: two ways over the network and one scheduling round."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Promise:
    """A time at which a caller was told to return.

    Attributes:
        opens_at_s: Monotonic time from which a return counts.
        closes_at_s: Monotonic time until which it counts.
    """

    opens_at_s: float
    closes_at_s: float


class ReturnSchedule:
    """Promised times by request, and those that were kept."""

    def __init__(self) -> None:
        self._promises: collections.OrderedDict[
            tuple[ids.ServiceId, ids.RequestFingerprint], _Promise
        ] = collections.OrderedDict()
        self._returned: collections.OrderedDict[ids.RequestId, float] = (
            collections.OrderedDict()
        )
        self._hopeless: collections.OrderedDict[
            tuple[ids.ServiceId, ids.RequestFingerprint], float
        ] = collections.OrderedDict()
        self._booked_until_s: dict[tuple[ids.ServiceId, int], float] = {}

    def __len__(self) -> int:
        """Returns the number of promises that are open."""
        return len(self._promises)

    def book(
        self,
        request: messages.PlacementRequest,
        earliest_s: float,
        latest_s: float,
        share_s: float,
        now_s: float,
    ) -> float | None:
        """Books the next free time for the return of a caller.

        Requests of about the same size share their times.

        Args:
            request: The refused request.
            earliest_s: Monotonic time before which no capacity is expected.
            latest_s: Latest monotonic time for which the caller waits.
            share_s: Time after which the next caller may return.
            now_s: Monotonic time.

        Returns:
            The monotonic time; None if there is none in time.
        """
        if request.fingerprint is None:
            return None
        lane = (request.service, arrival_rates.get_size(request))
        booked_until_s = self._booked_until_s.get(lane, now_s)
        due_s = max(earliest_s, booked_until_s)
        key = (request.service, request.fingerprint)
        if due_s > latest_s:
            self._hopeless.pop(key, None)
            self._hopeless[key] = request.deadline_at_s
            while len(self._hopeless) > MAX_PROMISES:
                self._hopeless.popitem(last=False)
            return None
        self._hopeless.pop(key, None)
        self._booked_until_s[lane] = due_s + share_s
        wait_s = due_s - now_s
        self._promises.pop(key, None)
        self._promises[key] = _Promise(
            due_s - EARLY_SHARE * wait_s - TOLERANCE_S,
            due_s + LATE_SHARE * wait_s + TOLERANCE_S,
        )
        while len(self._promises) > MAX_PROMISES:
            self._promises.popitem(last=False)
        return due_s

    def record_submission(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request returns at the time that it was told."""
        self._expire(now_s)
        if request.fingerprint is None:
            return False
        key = (request.service, request.fingerprint)
        promise = self._promises.get(key)
        if promise is None or now_s < promise.opens_at_s:
            return False
        del self._promises[key]
        if now_s > promise.closes_at_s:
            return False
        self._returned[request.request_id] = request.deadline_at_s
        while len(self._returned) > MAX_PROMISES:
            self._returned.popitem(last=False)
        return True

    def has_returned(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request has returned at its time."""
        deadline_at_s = self._returned.get(request.request_id)
        return deadline_at_s is not None and now_s <= deadline_at_s

    def was_hopeless(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether the caller was refused without a time of its own."""
        if request.fingerprint is None:
            return False
        key = (request.service, request.fingerprint)
        return now_s <= self._hopeless.get(key, -math.inf)

    def forget(self, request: messages.PlacementRequest) -> None:
        """Forgets that a request has returned."""
        self._returned.pop(request.request_id, None)

    def _expire(self, now_s: float) -> None:
        """Forgets the oldest entries whose time is over."""
        promises = self._promises
        while promises and next(iter(promises.values())).closes_at_s < now_s:
            promises.popitem(last=False)
        for entries in (self._returned, self._hopeless):
            _expire_oldest(entries, now_s)


def _expire_oldest(
    entries: collections.OrderedDict[Any, float], now_s: float
) -> None:
    while entries and next(iter(entries.values())) < now_s:
        entries.popitem(last=False)
