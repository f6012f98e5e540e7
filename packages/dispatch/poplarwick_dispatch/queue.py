"""Queue of requests that wait for a grant."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from poplarwick_core import ids
from poplarwick_dispatch import capacity
from poplarwick_peers.wire import grant_pb2

AGEING_S = {
    capacity.LengthClass.SHORT: 5.0,
    capacity.LengthClass.MEDIUM: 30.0,
    capacity.LengthClass.LONG: 300.0,
}


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """One acquire request that is granted, queued or refused.

    All times are on the monotonic clock.

    Attributes:
        request: Acquire request of the entry instance.
        cost: Estimated cost.
        organisation: Organisation of the request.
        arrived_at_s: Time of arrival.
        deadline_s: Deadline of the request.
        latest_start_s: Time after which the request cannot complete before
            its deadline.
        reply: Set once the request is granted or refused.
    """

    request: grant_pb2.AcquireRequest
    cost: capacity.Cost
    organisation: ids.OrganisationId
    arrived_at_s: float
    deadline_s: float
    latest_start_s: float
    reply: asyncio.Future[grant_pb2.AcquireReply]

    @property
    def due_at_s(self) -> float:
        """Sort key: the latest start, capped by ageing to avoid starvation."""
        aged_s = self.arrived_at_s + AGEING_S[self.cost.length_class]
        return min(self.latest_start_s, aged_s)


class ClassQueue:
    """Queued requests of one length class, by organisation and due time.

    Attributes:
        backlog_s: Total engine time of the queued requests.
    """

    def __init__(self) -> None:
        self.backlog_s = 0.0
        self._heaps: dict[
            ids.OrganisationId, list[tuple[float, int, QueuedRequest]]
        ] = {}
        self._queued: set[QueuedRequest] = set()
        self._backlog_s: dict[ids.OrganisationId, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self._queued))

    @property
    def organisations(self) -> tuple[ids.OrganisationId, ...]:
        """Organisations with queued requests."""
        return tuple(o for o in tuple(self._heaps) if self.find_first(o))

    def add(self, queued: QueuedRequest) -> None:
        """Adds a request."""
        heap = self._heaps.setdefault(queued.organisation, [])
        entry = (queued.due_at_s, next(self._sequence), queued)
        heapq.heappush(heap, entry)
        self._queued.add(queued)
        self.backlog_s += queued.cost.engine_s
        organisation_backlog_s = self._backlog_s.get(queued.organisation, 0.0)
        self._backlog_s[queued.organisation] = (
            organisation_backlog_s + queued.cost.engine_s
        )

    def remove(self, queued: QueuedRequest) -> bool:
        """Removes a request; returns whether it was queued."""
        if queued not in self._queued:
            return False
        self._queued.remove(queued)
        self.backlog_s -= queued.cost.engine_s
        self._backlog_s[queued.organisation] -= queued.cost.engine_s
        if not self._queued:
            self.backlog_s = 0.0
            self._backlog_s.clear()
            self._heaps.clear()
        return True

    def find_first(
        self, organisation: ids.OrganisationId
    ) -> QueuedRequest | None:
        """Returns the most urgent request of an organisation."""
        heap = self._heaps.get(organisation)
        while heap:
            queued = heap[0][2]
            if queued in self._queued:
                return queued
            heapq.heappop(heap)
        self._heaps.pop(organisation, None)
        self._backlog_s.pop(organisation, None)
        return None

    def find_most_urgent(self) -> QueuedRequest | None:
        """Returns the most urgent request of all organisations."""
        firsts = (self.find_first(o) for o in tuple(self._heaps))
        most_urgent = [queued for queued in firsts if queued is not None]
        return min(
            most_urgent, key=lambda queued: queued.due_at_s, default=None
        )

    def find_last(
        self, organisation: ids.OrganisationId
    ) -> QueuedRequest | None:
        """Returns the least urgent request of an organisation."""
        heap = self._heaps.get(organisation, [])
        entries = [entry for entry in heap if entry[2] in self._queued]
        return max(entries)[2] if entries else None

    def get_backlog_s(self, organisation: ids.OrganisationId) -> float:
        """Returns the engine time of an organisation's queued requests."""
        return self._backlog_s.get(organisation, 0.0)
