"""Requests that wait for a place."""

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
class Waiter:
    """One request that waits.

    Attributes:
        request: What the entry asked for.
        cost: Estimated need.
        organisation: Organisation that asks.
        arrived_at_s: Time of arrival.
        ends_at_s: Deadline of the request.
        latest_start_s: Time after which it cannot end before its deadline.
        reply: Set once the request is granted or refused.
    """

    request: grant_pb2.AcquireRequest
    cost: capacity.Cost
    organisation: ids.OrganisationId
    arrived_at_s: float
    ends_at_s: float
    latest_start_s: float
    reply: asyncio.Future[grant_pb2.AcquireReply]

    @property
    def urgency_s(self) -> float:
        """Time by which it is due: its slack, bounded by ageing."""
        aged_s = self.arrived_at_s + AGEING_S[self.cost.length_class]
        return min(self.latest_start_s, aged_s)


class ClassQueue:
    """Waiting requests of one length class, by organisation and urgency.

    Attributes:
        work_s: Engine time of all that waits.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self._heaps: dict[
            ids.OrganisationId, list[tuple[float, int, Waiter]]
        ] = {}
        self._waiting: set[Waiter] = set()
        self._work_s: dict[ids.OrganisationId, float] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(tuple(self._waiting))

    @property
    def organisations(self) -> tuple[ids.OrganisationId, ...]:
        """Organisations with waiting requests."""
        return tuple(o for o in tuple(self._heaps) if self.find_first(o))

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        heap = self._heaps.setdefault(waiter.organisation, [])
        entry = (waiter.urgency_s, next(self._numbers), waiter)
        heapq.heappush(heap, entry)
        self._waiting.add(waiter)
        self.work_s += waiter.cost.engine_s
        own_s = self._work_s.get(waiter.organisation, 0.0)
        self._work_s[waiter.organisation] = own_s + waiter.cost.engine_s

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request; returns whether it was waiting."""
        if waiter not in self._waiting:
            return False
        self._waiting.remove(waiter)
        self.work_s -= waiter.cost.engine_s
        self._work_s[waiter.organisation] -= waiter.cost.engine_s
        if not self._waiting:
            self.work_s = 0.0
            self._work_s.clear()
            self._heaps.clear()
        return True

    def find_first(self, organisation: ids.OrganisationId) -> Waiter | None:
        """Returns the most urgent request of an organisation."""
        heap = self._heaps.get(organisation)
        while heap:
            waiter = heap[0][2]
            if waiter in self._waiting:
                return waiter
            heapq.heappop(heap)
        self._heaps.pop(organisation, None)
        self._work_s.pop(organisation, None)
        return None

    def find_most_urgent(self) -> Waiter | None:
        """Returns the most urgent request of all organisations."""
        firsts = (self.find_first(o) for o in tuple(self._heaps))
        waiting = [waiter for waiter in firsts if waiter is not None]
        return min(waiting, key=lambda w: w.urgency_s, default=None)

    def find_last(self, organisation: ids.OrganisationId) -> Waiter | None:
        """Returns the least urgent request of an organisation."""
        heap = self._heaps.get(organisation, [])
        entries = [entry for entry in heap if entry[2] in self._waiting]
        return max(entries)[2] if entries else None

    def measure_work_s(self, organisation: ids.OrganisationId) -> float:
        """Returns the engine time that an organisation waits for."""
        return self._work_s.get(organisation, 0.0)
