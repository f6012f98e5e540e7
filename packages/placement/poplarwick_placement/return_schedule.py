"""Schedules when refused callers are to return, and recognises their return.

Load pattern: callers that are refused together and would return together. Each
one gets a time of its own, at which capacity is expected and after which the
next one's begins. A caller that returns at its time goes ahead of new callers.
One that was told a time for which no capacity is kept goes behind them, as if
it had waited. What callers were told is lost with their placer; they are then
treated as new.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

from poplarwick_core import ids
from poplarwick_placement import arrival_rates
from poplarwick_placement import messages

MAX_REQUESTS = 4_096
"""Most requests whose return is awaited, and most that have returned; more than
are refused in the longest time for which callers wait, at 1,000 a second."""

MAX_COPIES = 16
"""Most returns that are awaited of the copies of one request."""

EARLY_SHARE = 0.25
"""Share of the stated time by which a caller may return early."""

LATE_SHARE = 0.5
"""Share of the stated time by which a caller may return late."""

TOLERANCE_S = 0.25
"""Added on either side: two ways over the network and one scheduling round."""


class Return(enum.Enum):
    """How a request that was refused before has returned.

    Attributes:
        AS_PROMISED: At the time at which capacity is kept for it.
        UNPROMISED: At a time for which no capacity is kept.
    """

    AS_PROMISED = "as_promised"
    UNPROMISED = "unpromised"


@dataclasses.dataclass(frozen=True, slots=True)
class _Appointment:
    """A time at which a caller was told to return.

    Attributes:
        opens_at_s: Monotonic time from which a return counts.
        closes_at_s: Monotonic time until which it counts.
        kind: How a request counts that returns then.
    """

    opens_at_s: float
    closes_at_s: float
    kind: Return


_Copies = tuple[ids.ServiceId, ids.RequestFingerprint]


class ReturnSchedule:
    """Times that callers were told, and the requests that have returned."""

    def __init__(self) -> None:
        self._awaited: collections.OrderedDict[_Copies, list[_Appointment]] = (
            collections.OrderedDict()
        )
        self._returned: collections.OrderedDict[
            ids.RequestId, tuple[Return, float]
        ] = collections.OrderedDict()
        self._booked_until_s: dict[tuple[ids.ServiceId, int], float] = {}

    def __len__(self) -> int:
        """Returns the number of requests whose return is awaited."""
        return len(self._awaited)

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
        due_s = max(earliest_s, self._booked_until_s.get(lane, now_s))
        if due_s > latest_s:
            return None
        self._booked_until_s[lane] = due_s + share_s
        self._await(request, due_s, Return.AS_PROMISED, now_s)
        return due_s

    def await_unpromised(
        self, request: messages.PlacementRequest, due_s: float, now_s: float
    ) -> None:
        """Records a time that a caller was told without a promise."""
        self._await(request, due_s, Return.UNPROMISED, now_s)

    def record_submission(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request returns at the time that it was told.

        One return counts for each time that was told.
        """
        self._expire(now_s)
        if request.fingerprint is None:
            return False
        copies = (request.service, request.fingerprint)
        for appointment in self._awaited.get(copies, ()):
            if appointment.opens_at_s <= now_s <= appointment.closes_at_s:
                break
        else:
            return False
        self._awaited[copies].remove(appointment)
        if not self._awaited[copies]:
            del self._awaited[copies]
        self._returned[request.request_id] = (
            appointment.kind,
            request.deadline_at_s,
        )
        while len(self._returned) > MAX_REQUESTS:
            self._returned.popitem(last=False)
        return True

    def find_return(
        self, request: messages.PlacementRequest, now_s: float
    ) -> Return | None:
        """Returns how a request has returned; None if it counts as new."""
        found = self._returned.get(request.request_id)
        if found is None or now_s > found[1]:
            return None
        return found[0]

    def forget(self, request: messages.PlacementRequest) -> None:
        """Forgets that a request has returned."""
        self._returned.pop(request.request_id, None)

    def _await(
        self,
        request: messages.PlacementRequest,
        due_s: float,
        kind: Return,
        now_s: float,
    ) -> None:
        if request.fingerprint is None:
            return
        wait_s = due_s - now_s
        appointment = _Appointment(
            due_s - EARLY_SHARE * wait_s - TOLERANCE_S,
            due_s + LATE_SHARE * wait_s + TOLERANCE_S,
            kind,
        )
        copies = (request.service, request.fingerprint)
        appointments = self._awaited.pop(copies, [])
        self._awaited[copies] = [*appointments, appointment][-MAX_COPIES:]
        while len(self._awaited) > MAX_REQUESTS:
            self._awaited.popitem(last=False)

    def _expire(self, now_s: float) -> None:
        """Forgets the oldest entries whose time is over."""
        while self._awaited:
            appointments = next(iter(self._awaited.values()))
            if appointments[-1].closes_at_s >= now_s:
                break
            self._awaited.popitem(last=False)
        while self._returned:
            _, until_s = next(iter(self._returned.values()))
            if until_s >= now_s:
                break
            self._returned.popitem(last=False)
