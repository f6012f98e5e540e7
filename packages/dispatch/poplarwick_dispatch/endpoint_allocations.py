"""Tracks the requests and resources allocated at one endpoint."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_dispatch import allocations
from poplarwick_dispatch import capacity
from poplarwick_dispatch import cold_start_limiter
from poplarwick_dispatch import endpoint_health
from poplarwick_dispatch import prefixes
from poplarwick_ownership import tenure as tenures

PREFILL_BUDGET_S = 0.5
MEDIUM_PREFILL_BUDGET_S = 1.0
LONG_MEMORY_SHARE = 0.75
MAX_LONG_PREFILLS = 1

_SHORT = capacity.LengthClass.SHORT
_MEDIUM = capacity.LengthClass.MEDIUM
_LONG = capacity.LengthClass.LONG


class EndpointAllocations:
    """Allocates the batch slots and memory of an endpoint during one tenure.

    Attributes:
        config: Endpoint section of the configuration document.
        id: Endpoint id.
        tenure: Tenure under which grants are issued.
        warm_capacity: Capacity of the endpoint once it is warm.
        in_service: Whether operators let the endpoint receive new requests.
        is_ready: Whether the running streams of the engine are known.
        is_suspect: Whether the monitor must read the engine state at the next
            poll, even if no allocation is due.
        cold_start_limiter: Limits requests during a cold start.
        health: Counts failures and ejects the endpoint.
        prefixes: Prompt prefixes in the engine's cache.
        allocations: Current allocations by grant.
        memory_tokens: Allocated KV-cache memory.
        prompt_tokens: Prompt tokens of all allocations.
    """

    def __init__(
        self,
        config: document.Endpoint,
        tenure: tenures.Tenure,
        warm_capacity: capacity.Capacity,
        now_s: Callable[[], float] = clock.now_s,
    ) -> None:
        self.config = config
        self.id = ids.EndpointId(config.id)
        self.tenure = tenure
        self.warm_capacity = warm_capacity
        self.in_service = True
        self.is_ready = False
        self.is_suspect = False
        self.cold_start_limiter = cold_start_limiter.ColdStartLimiter(
            warm_capacity.cold_start
        )
        self.health = endpoint_health.EndpointHealth(now_s)
        self.prefixes = prefixes.PrefixView()
        self.allocations: dict[ids.GrantId, allocations.Allocation] = {}
        self.memory_tokens = 0
        self.prompt_tokens = 0
        self._long_memory_tokens = 0
        self._prefill_s = [0.0, 0.0, 0.0]
        self._prefill_counts = [0, 0, 0]

    @property
    def free_tokens(self) -> int:
        """KV-cache memory that is not allocated, in tokens."""
        return self.warm_capacity.memory_tokens - self.memory_tokens

    @property
    def has_long_prefill(self) -> bool:
        """Whether the prefill of a long prompt is in progress."""
        return self._prefill_counts[_LONG] > 0

    def estimate_wait_s(self, length_class: capacity.LengthClass) -> float:
        """Returns the pending prefill time of this class and shorter ones."""
        return sum(self._prefill_s[: length_class + 1])

    def can_admit(
        self, cost: capacity.Cost, *, is_over_share: bool = False
    ) -> bool:
        """Returns whether a request fits all resource budgets.

        Args:
            cost: Estimated cost of the request.
            is_over_share: Whether the organisation of the request is over its
                fair share, so that the request may use only spare prefill
                time.
        """
        if len(self.allocations) >= self.warm_capacity.max_batch:
            return False
        if not self.cold_start_limiter.can_admit(
            len(self.allocations), self.prompt_tokens, cost.prompt_tokens
        ):
            return False
        if self.warm_capacity.is_service:
            return True
        return self._has_memory(cost) and self._has_prefill_time(
            cost, is_over_share
        )

    def add(self, allocation: allocations.Allocation) -> None:
        """Allocates a batch slot, memory and prefill time."""
        cost = allocation.cost
        self.allocations[allocation.grant] = allocation
        self.memory_tokens += cost.memory_tokens
        self.prompt_tokens += cost.prompt_tokens
        if cost.length_class is _LONG:
            self._long_memory_tokens += cost.memory_tokens
        if allocation.state is allocations.AllocationState.GRANTED:
            self._prefill_s[cost.length_class] += cost.prefill_s
            self._prefill_counts[cost.length_class] += 1

    def end_prefill(
        self,
        allocation: allocations.Allocation,
        state: allocations.AllocationState,
    ) -> None:
        """Releases the prefill time of an allocation and sets its new state."""
        if allocation.state is allocations.AllocationState.GRANTED:
            length_class = allocation.cost.length_class
            self._prefill_counts[length_class] -= 1
            self._prefill_s[length_class] -= allocation.cost.prefill_s
            if self._prefill_counts[length_class] == 0:
                self._prefill_s[length_class] = 0.0
        allocation.state = state

    def remove(self, allocation: allocations.Allocation) -> None:
        """Releases all resources of an allocation."""
        del self.allocations[allocation.grant]
        cost = allocation.cost
        self.end_prefill(allocation, allocations.AllocationState.CLOSING)
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
        return (
            long_tokens <= self.warm_capacity.memory_tokens * LONG_MEMORY_SHARE
        )

    def _has_prefill_time(
        self, cost: capacity.Cost, is_over_share: bool
    ) -> bool:
        match cost.length_class:
            case capacity.LengthClass.LONG:
                return self._prefill_counts[_LONG] < MAX_LONG_PREFILLS
            case capacity.LengthClass.MEDIUM:
                budget_s = MEDIUM_PREFILL_BUDGET_S
            case _:
                budget_s = PREFILL_BUDGET_S
        if is_over_share:
            return self.estimate_wait_s(_MEDIUM) < PREFILL_BUDGET_S
        # Shorter prompts alone never block a longer one.
        if self._prefill_counts[cost.length_class] == 0:
            return True
        allocated_s = self.estimate_wait_s(cost.length_class)
        return allocated_s + cost.prefill_s <= budget_s
