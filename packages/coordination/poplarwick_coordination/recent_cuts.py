"""Answers that endpoints have cut off lately, as crash evidence for placers.

Load pattern: a request crashes each endpoint that it reaches, its copies arrive
at several instances, and the placer ends between two crashes. Each instance
keeps the cuts that it has reported and reports them to the next placer. Until
there is one, it does not send a request that may have caused a crash again.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import crash_records
from poplarwick_placement import messages

PROTOCOL = 1
"""Version of the messages from which on a placer knows cuts."""

RETENTION_S = 10.0
"""Time for which a cut is kept; placers change within a few seconds."""

MAX_CUTS = 256
"""Cuts that are kept, the latest ones; as many as a placer weighs crashes."""


class RecentCut(NamedTuple):
    """An answer that was cut off by an endpoint that was not leaving.

    Attributes:
        number: Number of the request at the instance.
        request: The request.
        start: Start of the endpoint.
        software_version: Version of the endpoint's software.
        written_s: Time from the head of the answer to its last event; None
            without a head.
        at_s: Monotonic time of the cut.
        sent_at_s: Monotonic time at which the request was placed.
    """

    number: int
    request: messages.PlacementRequest
    start: types.EndpointStart
    software_version: str
    written_s: float | None
    at_s: float
    sent_at_s: float

    @property
    def had_just_begun(self) -> bool:
        """Whether the request may have crashed the endpoint."""
        return (
            self.written_s is None or self.written_s <= messages.ANSWER_START_S
        )


class RecentCuts:
    """The cuts that one instance has seen within the retention period."""

    def __init__(self) -> None:
        self._cuts: collections.deque[RecentCut] = collections.deque(
            maxlen=MAX_CUTS
        )

    def record(self, cut: RecentCut) -> None:
        """Keeps a cut."""
        self._cuts.append(cut)

    def record_answer(self, request: messages.PlacementRequest) -> None:
        """Drops what a complete answer to a request disproves."""
        if request.fingerprint is not None:
            kept = [
                cut
                for cut in self._cuts
                if cut.request.fingerprint != request.fingerprint
            ]
            self._cuts.clear()
            self._cuts.extend(kept)

    def iter_recent(self, now_s: float) -> Iterator[RecentCut]:
        """Iterates over the cuts within the retention period."""
        while self._cuts and now_s - self._cuts[0].at_s > RETENTION_S:
            self._cuts.popleft()
        return iter(tuple(self._cuts))

    def is_suspected(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a copy of a request may have crashed an endpoint.

        A failure domain that is lost cuts answers of several endpoints at the
        same moment; that speaks against no request.
        """
        if request.fingerprint is None:
            return False
        cuts = tuple(self.iter_recent(now_s))
        return any(
            cut.request.fingerprint == request.fingerprint
            and cut.had_just_begun
            and not any(
                other.start != cut.start
                and other.request.fingerprint != request.fingerprint
                and abs(other.at_s - cut.at_s) <= crash_records.SIMULTANEOUS_S
                for other in cuts
            )
            for cut in cuts
        )


class WeighedCuts:
    """Recognises cuts that a placer has weighed already."""

    def __init__(self) -> None:
        self._weighed_at_s: dict[
            tuple[ids.InstanceId, int, ids.EndpointId], float
        ] = {}

    def record(
        self,
        instance: ids.InstanceId,
        number: int,
        endpoint: ids.EndpointId,
        now_s: float,
    ) -> bool:
        """Records a cut that an instance reports.

        Returns:
            Whether it has not been weighed before.
        """
        while self._weighed_at_s:
            oldest = next(iter(self._weighed_at_s))
            if now_s - self._weighed_at_s[oldest] <= 2 * RETENTION_S:
                break
            del self._weighed_at_s[oldest]
        key = (instance, number, endpoint)
        if key in self._weighed_at_s:
            return False
        self._weighed_at_s[key] = now_s
        return True
