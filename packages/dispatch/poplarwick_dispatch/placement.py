"""Chooses the endpoint of a request among those of one owner."""

from __future__ import annotations

import math
from collections.abc import Callable

from poplarwick_core import ids
from poplarwick_dispatch import books
from poplarwick_dispatch import capacity
from poplarwick_dispatch import health
from poplarwick_dispatch import queue

LONG_HORIZON_S = 15.0
INTERFERENCE_S = 0.05
HOLD_AFTER_S = 10.0
HOLD_BEFORE_S = 30.0

_LONG = capacity.LengthClass.LONG


class Placement:
    """Places requests so that short ones hardly meet long ones.

    Long prompts go to a part of the endpoints that grows with their work.
    A long prompt that waits for memory gets an endpoint held for it.

    Attributes:
        books: Accounts of the endpoints.

    Args:
        now_s: Monotonic clock.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.books: dict[ids.EndpointId, books.EndpointBook] = {}
        self._now_s = now_s
        self._held_for: queue.Waiter | None = None
        self._held: ids.EndpointId | None = None

    @property
    def open_books(self) -> list[books.EndpointBook]:
        """Accounts of the endpoints that receive new work.

        Ejected endpoints are left out unless they are too many: then the
        fault is likely elsewhere, and the rest could not carry the load.
        """
        usable = [b for b in self.books.values() if b.in_service and b.is_ready]
        healthy = [book for book in usable if not book.health.is_ejected]
        ejected = len(usable) - len(healthy)
        if ejected > len(usable) * health.MAX_EJECTED_SHARE:
            return usable
        return healthy

    def choose(
        self,
        waiter: queue.Waiter,
        long_work_s: float,
        *,
        is_ahead: bool = False,
    ) -> books.EndpointBook | None:
        """Returns the endpoint where the first token comes soonest.

        Args:
            waiter: The request.
            long_work_s: Engine time of the long prompts that wait.
            is_ahead: Whether its organisation has had more than its share, so
                that the request gets only time that nobody else waits for.

        Returns:
            None if no endpoint has room for the request.
        """
        allowed = self.open_books
        if waiter.cost.length_class is _LONG:
            allowed.sort(key=lambda book: book.id)
            allowed = allowed[: self.count_long_endpoints(long_work_s)]
        excluded = waiter.request.excluded_endpoints
        candidates = [
            book
            for book in allowed
            if book.id not in excluded
            and book.has_room(waiter.cost, is_ahead=is_ahead)
            and self._leaves_held_memory(book, waiter)
            and book.tenure.is_valid()
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda book: _score(book, waiter))

    def count_long_endpoints(self, waiting_s: float) -> int:
        """Returns how many endpoints may prefill long prompts now.

        The number grows with the prefill time of the long prompts at hand, so
        that each of these endpoints works on them for `LONG_HORIZON_S`.

        Args:
            waiting_s: Engine time of the long prompts that wait.
        """
        running_s = sum(
            book.estimate_wait_s(_LONG)
            for book in self.books.values()
            if book.has_long_prefill
        )
        return max(1, math.ceil((waiting_s + running_s) / LONG_HORIZON_S))

    def hold_memory(self, waiter: queue.Waiter | None) -> None:
        """Holds an endpoint for a long prompt that has waited long.

        Args:
            waiter: The most urgent long prompt that found no room, or None to
                let the held endpoint go.
        """
        if waiter is None or not self._must_hold(waiter):
            self._held = None
            self._held_for = None
            return
        if self._held_for is waiter and self._held in self.books:
            return
        excluded = waiter.request.excluded_endpoints
        usable = [b for b in self.open_books if b.id not in excluded]
        if usable:
            self._held = max(usable, key=lambda book: book.free_tokens).id
            self._held_for = waiter

    def _must_hold(self, waiter: queue.Waiter) -> bool:
        now_s = self._now_s()
        if waiter.latest_start_s - now_s < HOLD_BEFORE_S:
            return True
        waited_s = now_s - waiter.arrived_at_s
        return waited_s > HOLD_AFTER_S and len(self.open_books) > 1

    def _leaves_held_memory(
        self, book: books.EndpointBook, waiter: queue.Waiter
    ) -> bool:
        if self._held_for is None or book.id != self._held:
            return True
        if waiter is self._held_for:
            return True
        held_tokens = self._held_for.cost.memory_tokens
        return waiter.cost.memory_tokens + held_tokens <= book.free_tokens


def _score(book: books.EndpointBook, waiter: queue.Waiter) -> tuple[float, int]:
    """Returns the expected time to first token, then the load.

    A cached prefix counts for the prefill that it saves, so that affinity
    yields as soon as the wait behind it costs more.
    """
    cost = waiter.cost
    first_s = book.estimate_wait_s(cost.length_class)
    if book.has_long_prefill and cost.length_class is not _LONG:
        first_s += INTERFERENCE_S
    if cost.prefill_s > 0:
        cached = book.prefixes.estimate_cached_tokens(
            waiter.request.prefix_digests
        )
        saved = min(cached / cost.prompt_tokens, 1.0)
        first_s -= saved * cost.prefill_s
    return (first_s, len(book.bookings))
