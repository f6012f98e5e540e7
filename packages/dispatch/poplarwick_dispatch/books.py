"""Exact account of what one endpoint carries."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import bookings
from poplarwick_dispatch import capacity
from poplarwick_dispatch import health
from poplarwick_dispatch import prefixes
from poplarwick_dispatch import window
from poplarwick_ownership import tenure as tenures

PREFILL_BUDGET_S = 0.5
MEDIUM_PREFILL_BUDGET_S = 1.0
LONG_MEMORY_SHARE = 0.75
LONG_PREFILLS = 1

_SHORT = capacity.LengthClass.SHORT
_MEDIUM = capacity.LengthClass.MEDIUM
_LONG = capacity.LengthClass.LONG


class EndpointBook:
    """Books places at one endpoint during one tenure.

    Attributes:
        endpoint: The endpoint as the document describes it.
        tenure: Tenure under which places are given.
        limits: What the warm endpoint carries.
        in_service: Whether operators let it receive new work.
        is_ready: Whether its running streams are known.
        is_suspect: Whether its exact state must be read soon.
        window: What it carries during a cold start.
        health: Its failures.
        prefixes: Prompt prefixes that it is known to have cached.
        bookings: Places held now.
        memory_tokens: Memory booked.
        prompt_tokens: Prompt tokens of all places held.
    """

    def __init__(
        self,
        endpoint: document.Endpoint,
        tenure: tenures.Tenure,
        limits: capacity.Capacity,
        now_s: Callable[[], float] = clock.now_s,
    ) -> None:
        self.endpoint = endpoint
        self.id = ids.EndpointId(endpoint.id)
        self.tenure = tenure
        self.limits = limits
        self.in_service = True
        self.is_ready = False
        self.is_suspect = False
        self.window = window.ColdStartWindow(limits.cold_start)
        self.health = health.Health(now_s)
        self.prefixes = prefixes.PrefixView()
        self.bookings: dict[ids.GrantId, bookings.Booking] = {}
        self.memory_tokens = 0
        self.prompt_tokens = 0
        self._long_memory_tokens = 0
        self._prefill_s = [0.0, 0.0, 0.0]
        self._prefills = [0, 0, 0]

    @property
    def free_tokens(self) -> int:
        """Memory that is not booked."""
        return self.limits.memory_tokens - self.memory_tokens

    @property
    def has_long_prefill(self) -> bool:
        """Whether the prefill of a long prompt is going on."""
        return self._prefills[_LONG] > 0

    def estimate_wait_s(self, length_class: capacity.LengthClass) -> float:
        """Returns the prefill time booked in this class and shorter ones."""
        return sum(self._prefill_s[: length_class + 1])

    def has_room(self, cost: capacity.Cost, *, is_ahead: bool = False) -> bool:
        """Returns whether a request fits in all budgets.

        Args:
            cost: Need of the request.
            is_ahead: Whether it may use only prefill time that is left over.
        """
        if len(self.bookings) >= self.limits.max_batch:
            return False
        if not self.window.has_room(
            len(self.bookings), self.prompt_tokens, cost.prompt_tokens
        ):
            return False
        if self.limits.is_service:
            return True
        return self._has_memory(cost) and self._has_prefill_time(cost, is_ahead)

    def add(self, booking: bookings.Booking) -> None:
        """Books a place."""
        cost = booking.cost
        self.bookings[booking.grant] = booking
        self.memory_tokens += cost.memory_tokens
        self.prompt_tokens += cost.prompt_tokens
        if cost.length_class is _LONG:
            self._long_memory_tokens += cost.memory_tokens
        if booking.state is bookings.BookingState.GRANTED:
            self._prefill_s[cost.length_class] += cost.prefill_s
            self._prefills[cost.length_class] += 1

    def end_prefill(
        self, booking: bookings.Booking, state: bookings.BookingState
    ) -> None:
        """Moves a place on from its prefill and frees the prefill time."""
        if booking.state is bookings.BookingState.GRANTED:
            length_class = booking.cost.length_class
            self._prefills[length_class] -= 1
            self._prefill_s[length_class] -= booking.cost.prefill_s
            if self._prefills[length_class] == 0:
                self._prefill_s[length_class] = 0.0
        booking.state = state

    def remove(self, booking: bookings.Booking) -> None:
        """Frees a place and all that it holds."""
        del self.bookings[booking.grant]
        cost = booking.cost
        self.end_prefill(booking, bookings.BookingState.CLOSING)
        self.memory_tokens -= cost.memory_tokens
        self.prompt_tokens -= cost.prompt_tokens
        if cost.length_class is _LONG:
            self._long_memory_tokens -= cost.memory_tokens

    def _has_memory(self, cost: capacity.Cost) -> bool:
        if cost.memory_tokens > self.free_tokens:
            return False
        if cost.length_class is not _LONG or self._long_memory_tokens == 0:
            return True
        long_tokens = self._long_memory_tokens + cost.memory_tokens
        return long_tokens <= self.limits.memory_tokens * LONG_MEMORY_SHARE

    def _has_prefill_time(self, cost: capacity.Cost, is_ahead: bool) -> bool:
        match cost.length_class:
            case capacity.LengthClass.LONG:
                return self._prefills[_LONG] < LONG_PREFILLS
            case capacity.LengthClass.MEDIUM:
                budget_s = MEDIUM_PREFILL_BUDGET_S
            case _:
                budget_s = PREFILL_BUDGET_S
        if is_ahead:
            return self.estimate_wait_s(_MEDIUM) < PREFILL_BUDGET_S
        # Shorter prompts alone never keep a longer one out.
        if self._prefills[cost.length_class] == 0:
            return True
        booked_s = self.estimate_wait_s(cost.length_class)
        return booked_s + cost.prefill_s <= budget_s
