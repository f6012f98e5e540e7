"""All endpoints of one target that this instance owns, and their queue."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterator

from poplarwick_core import ids
from poplarwick_dispatch import bookings
from poplarwick_dispatch import books
from poplarwick_dispatch import capacity
from poplarwick_dispatch import fairness
from poplarwick_dispatch import pace
from poplarwick_dispatch import placement
from poplarwick_dispatch import queue
from poplarwick_dispatch import refusals
from poplarwick_peers.wire import grant_pb2

GRANT_TTL_S = 2.0
KEEP_S = 10.0
END_MARGIN_S = 5.0
LEAD_S = 1.0
LAST_HOP = 3
FULL_QUEUE_S = 1.0
QUEUE_BOUND_S = {
    capacity.LengthClass.SHORT: 2.0,
    capacity.LengthClass.MEDIUM: 15.0,
    capacity.LengthClass.LONG: 600.0,
}
MAX_PRIORITY = 24
PRIORITY_STEP = 2
PRIORITY_BASE_S = 0.05

_LONG = capacity.LengthClass.LONG


class Pool:
    """Orders the waiting requests of one target and gives them places.

    Attributes:
        target: The model or plain service.
        limits: What one warm endpoint carries.
        placement: Chooses among the endpoints.
        books: Accounts of the endpoints owned by this instance.
        queues: Waiting requests by length class.
        counters: Service received by each organisation.
        pace: How long work takes, relative to the estimate.

    Args:
        target: The model or plain service.
        limits: What one warm endpoint carries.
        grants: Books by grant, shared by all pools of the instance.
        now_s: Monotonic clock.
    """

    def __init__(
        self,
        target: capacity.Target,
        limits: capacity.Capacity,
        grants: dict[ids.GrantId, books.EndpointBook],
        now_s: Callable[[], float],
    ) -> None:
        self.target = target
        self.limits = limits
        self.placement = placement.Placement(now_s)
        self.books = self.placement.books
        self.queues = {c: queue.ClassQueue() for c in capacity.LengthClass}
        self.counters = fairness.ServiceCounters()
        self.pace = pace.Pace()
        self._smallest = limits.estimate(1, 1)
        self._grants = grants
        self._now_s = now_s

    @property
    def has_service(self) -> bool:
        """Whether any endpoint receives new work."""
        return any(book.in_service for book in self.books.values())

    @property
    def waiters(self) -> Iterator[queue.Waiter]:
        """All waiting requests."""
        for class_queue in self.queues.values():
            yield from class_queue

    def admit(self, waiter: queue.Waiter) -> None:
        """Grants a request, lets it wait, or refuses it."""
        if waiter.latest_start_s < self._now_s():
            self._refuse_late(waiter)
            return
        if not self._has_waiters and self._try_grant(waiter):
            return
        class_queue = self.queues[waiter.cost.length_class]
        wait_s = self.estimate_wait_s(waiter)
        if not self.limits.is_service and waiter.request.hops < LAST_HOP:
            # Another owner may have room now; it costs one exchange to ask.
            self._refuse_full(waiter, wait_s)
            return
        if self._now_s() + wait_s > waiter.latest_start_s:
            self._refuse_full(waiter, wait_s)
            return
        waiting = self._list_waiting()
        if waiter.organisation not in waiting:
            self.counters.activate(waiter.organisation, waiting)
        class_queue.add(waiter)
        self._shed(class_queue, waiter.cost.length_class)
        self.pump()

    def leave(self, waiter: queue.Waiter) -> bool:
        """Takes a request out of the queue; returns whether it waited."""
        return self.queues[waiter.cost.length_class].remove(waiter)

    def expire(self, waiter: queue.Waiter) -> None:
        """Refuses a waiting request that can no longer end in time."""
        if self.leave(waiter):
            self._refuse_late(waiter)

    def refuse_all(self, reason: grant_pb2.RefusalReason, detail: str) -> None:
        """Refuses all that waits, so that it moves elsewhere."""
        for waiter in tuple(self.waiters):
            self.leave(waiter)
            _reply(waiter, refusals.make_refusal(reason, detail))

    def move_waiting(self) -> None:
        """Refuses what waits if no warm endpoint is left."""
        if not any(book.window.is_open for book in self.placement.open_books):
            self.refuse_all(
                grant_pb2.REFUSAL_NO_ROOM, "endpoints are in a cold start"
            )

    def pump(self) -> None:
        """Grants whatever fits, the least served organisation first."""
        if not self._has_waiters:
            return
        while self._grant_next():
            pass
        self.placement.hold_memory(self.queues[_LONG].find_most_urgent())

    def estimate_wait_s(self, waiter: queue.Waiter) -> float:
        """Returns the time that a request would wait in its fair turn."""
        class_queue = self.queues[waiter.cost.length_class]
        if len(class_queue) == 0:
            return 0.0
        organisations = {*class_queue.organisations, waiter.organisation}
        weights = sum(self.counters.find_weight(o) for o in organisations)
        own_weight = self.counters.find_weight(waiter.organisation)
        own_s = class_queue.measure_work_s(waiter.organisation)
        turn_s = (own_s + waiter.cost.engine_s) * weights / own_weight
        work_s = min(class_queue.work_s, turn_s)
        endpoints = len(self.placement.open_books)
        if waiter.cost.length_class is _LONG:
            usable = self.placement.count_long_endpoints(class_queue.work_s)
            endpoints = min(endpoints, usable)
        return work_s / max(endpoints, 1)

    def note_complete(
        self, booking: bookings.Booking, output_tokens: int
    ) -> None:
        """Learns from a whole answer how long work takes."""
        self.pace.note(
            self._now_s() - booking.granted_at_s,
            booking.cost.prefill_s + self.limits.estimate_decode(output_tokens),
        )

    def make_room(self) -> grant_pb2.Room:
        """Returns the hint about free capacity that rides on replies."""
        open_books = self.placement.open_books
        if not self.has_service:
            # Nothing waits here, but only because nothing can run here.
            return grant_pb2.Room(
                model=self.target.model or "",
                service=self.target.service or "",
                is_absent=True,
            )
        waiting_s = sum(
            class_queue.work_s
            for length_class, class_queue in self.queues.items()
            if length_class is not _LONG
        )
        waiting_s += sum(
            book.estimate_wait_s(capacity.LengthClass.MEDIUM)
            for book in open_books
        )
        if not any(book.has_room(self._smallest) for book in open_books):
            waiting_s += FULL_QUEUE_S * len(open_books)
        return grant_pb2.Room(
            model=self.target.model or "",
            service=self.target.service or "",
            queue_s=waiting_s / max(len(open_books), 1),
            free_tokens=max((b.free_tokens for b in open_books), default=0),
        )

    @property
    def _has_waiters(self) -> bool:
        return any(len(q) > 0 for q in self.queues.values())

    def _grant_next(self) -> bool:
        least = self._find_least_served()
        for organisation in self.counters.order(self._list_waiting()):
            lead_s = self.counters.read(organisation) - least
            for class_queue in self.queues.values():
                waiter = class_queue.find_first(organisation)
                if waiter is None:
                    continue
                if self._try_grant(waiter, is_ahead=lead_s > LEAD_S):
                    class_queue.remove(waiter)
                    return True
        return False

    def _list_waiting(self) -> tuple[ids.OrganisationId, ...]:
        found = dict.fromkeys(
            organisation
            for class_queue in self.queues.values()
            for organisation in class_queue.organisations
        )
        return tuple(found)

    def _find_least_served(self) -> float:
        """Returns the least service of those that wait for prefill time.

        Long prompts wait for a place of their own and hold up nobody else.
        """
        organisations = {
            organisation
            for length_class, class_queue in self.queues.items()
            if length_class is not _LONG
            for organisation in class_queue.organisations
        }
        levels = [self.counters.read(o) for o in organisations]
        return min(levels, default=math.inf)

    def _try_grant(
        self, waiter: queue.Waiter, *, is_ahead: bool = False
    ) -> bool:
        book = self.placement.choose(
            waiter, self.queues[_LONG].work_s, is_ahead=is_ahead
        )
        if book is None:
            return False
        booking = self._make_booking(book, waiter)
        self.book(book, booking)
        self.counters.charge(waiter.organisation, waiter.cost.engine_s)
        _reply(waiter, self._make_grant(book, booking, waiter))
        return True

    def _make_booking(
        self, book: books.EndpointBook, waiter: queue.Waiter
    ) -> bookings.Booking:
        now_s = self._now_s()
        grant = ids.make_grant_id()
        return bookings.Booking(
            grant=grant,
            stream=bookings.make_stream(
                grant, ids.InstanceId(waiter.request.entry_instance)
            ),
            endpoint=book.id,
            organisation=waiter.organisation,
            entry=ids.InstanceId(waiter.request.entry_instance),
            cost=waiter.cost,
            granted_at_s=now_s,
            expires_at_s=now_s + GRANT_TTL_S,
            ends_at_s=waiter.ends_at_s + END_MARGIN_S,
            wait_s=book.estimate_wait_s(waiter.cost.length_class),
        )

    def book(self, book: books.EndpointBook, booking: bookings.Booking) -> None:
        """Takes a place at an endpoint."""
        book.add(booking)
        self._grants[booking.grant] = book

    def release(
        self, book: books.EndpointBook, booking: bookings.Booking
    ) -> None:
        """Frees a place; the caller pumps afterwards."""
        self._grants.pop(booking.grant, None)
        book.remove(booking)

    def _make_grant(
        self,
        book: books.EndpointBook,
        booking: bookings.Booking,
        waiter: queue.Waiter,
    ) -> grant_pb2.AcquireReply:
        grant = grant_pb2.Grant(
            grant_id=booking.grant,
            endpoint=book.id,
            address=book.endpoint.address,
            stream_id=booking.stream,
            epoch=book.tenure.epoch,
            expires_s=GRANT_TTL_S,
            queued_s=booking.granted_at_s - waiter.arrived_at_s,
            priority=_choose_priority(waiter),
        )
        return grant_pb2.AcquireReply(grant=grant)

    def _shed(
        self,
        class_queue: queue.ClassQueue,
        length_class: capacity.LengthClass,
    ) -> None:
        bound_s = QUEUE_BOUND_S[length_class] * max(len(self.books), 1)
        while class_queue.work_s > bound_s and len(class_queue) > 1:
            over = max(
                class_queue.organisations,
                key=lambda organisation: (
                    class_queue.measure_work_s(organisation)
                    / self.counters.find_weight(organisation)
                ),
            )
            victim = class_queue.find_last(over)
            if victim is None:
                return
            class_queue.remove(victim)
            self._refuse_full(victim, self.estimate_wait_s(victim))

    def _refuse_full(self, waiter: queue.Waiter, wait_s: float) -> None:
        reply = refusals.make_refusal(
            grant_pb2.REFUSAL_NO_ROOM, "the queue is full", wait_s
        )
        _reply(waiter, reply)

    def _refuse_late(self, waiter: queue.Waiter) -> None:
        needed_s = waiter.ends_at_s - waiter.latest_start_s
        reply = refusals.make_refusal(
            grant_pb2.REFUSAL_DEADLINE,
            f"needs about {needed_s:.1f} s, more than is left",
            self.estimate_wait_s(waiter),
        )
        _reply(waiter, reply)


def _choose_priority(waiter: queue.Waiter) -> int:
    """Returns a priority that falls with each doubling of the prefill."""
    doublings = math.log2(max(waiter.cost.prefill_s / PRIORITY_BASE_S, 1))
    steps = round(doublings) * PRIORITY_STEP
    return max(MAX_PRIORITY - steps, 0) + waiter.request.priority


def _reply(waiter: queue.Waiter, reply: grant_pb2.AcquireReply) -> None:
    if not waiter.reply.done():
        waiter.reply.set_result(reply)
