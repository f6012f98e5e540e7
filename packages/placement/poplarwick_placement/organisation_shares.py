"""Compares what organisations use with their shares.

Load pattern: one organisation sends ten times its share, and the others at the
same priority get less than without it. Organisations that are active share a
service equally. What one uses is the engine time and memory of its requests:
what they hold now, or the average over ten seconds if that is more. One that
starts to send too much is thus noticed at once, and one that has stopped is
forgiven within ten seconds.

The result only orders the queue, so an idle share is available to others at
once, and an organisation that is alone is never held back.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Hashable
from typing import NamedTuple

from poplarwick_core import ids
from poplarwick_placement import messages

DECAY_S = 10.0
"""Time constant of the average usage."""

ACTIVE_S = DECAY_S
"""Time for which an organisation counts as active after its last request."""

MAX_ORGANISATIONS = 1_300
"""Organisations of a service that are accounted for; those that have been idle
for longest are dropped first."""

SLOT_TOKENS = 32_000
"""Memory that counts as held with a slot: an engine with six slots is full
either way. Plain calls hold nothing else."""

TOLERATED_FACTOR = 1.25
"""Multiple of its share up to which an organisation does not exceed it:
arrivals vary, and within their shares requests go by latest start."""

LEVELS_PER_DOUBLING = 2
"""Steps of the excess for each doubling of the usage. Small differences between
organisations that exceed their shares do not change the order either."""

LARGER_SIZES = 2
"""Doublings in size up to which larger requests of an organisation count
against a request. Long prompts then do not hold back its short ones."""


WAIT_S = 0.1
"""Time for which a request counts as waiting after it was tried; several rounds
of decisions."""


class _Held(NamedTuple):
    """A request that runs.

    Attributes:
        account: Account of its organisation.
        size: Its size class.
        tokens: Memory that it holds.
    """

    account: _Account
    size: int
    tokens: int


@dataclasses.dataclass(slots=True)
class _Average:
    """Average of a quantity that changes in steps, with exponential decay.

    Attributes:
        current: Value of the quantity since `at_s`.
        mean: Average at `at_s`.
        at_s: Monotonic time of the last step.
    """

    current: float = 0.0
    mean: float = 0.0
    at_s: float = 0.0

    def calculate_mean(self, now_s: float) -> float:
        """Returns the average at a time."""
        decay = math.exp(min(self.at_s - now_s, 0.0) / DECAY_S)
        return self.current + (self.mean - self.current) * decay

    def add(self, change: float, impulse: float, now_s: float) -> None:
        """Changes the quantity.

        Args:
            change: Change of the quantity, in tokens.
            impulse: Tokens times seconds that are used at this moment.
            now_s: Monotonic time.
        """
        self.mean = self.calculate_mean(now_s) + impulse / DECAY_S
        self.current += change
        self.at_s = now_s


@dataclasses.dataclass(slots=True)
class _Account:
    """What one organisation uses of a service.

    Attributes:
        usage: Memory that its requests hold, by size class.
        running_count: Requests that run.
        used_at_s: Monotonic time of its last start or end of a request.
        held_back: Times that a request waited for other organisations.
    """

    usage: dict[int, _Average] = dataclasses.field(default_factory=dict)
    running_count: int = 0
    used_at_s: float = 0.0
    held_back: int = 0

    def calculate_usage(self, largest: int, now_s: float) -> float:
        """Returns the usage by requests up to a size class, in tokens."""
        current = mean = 0.0
        for size, average in self.usage.items():
            if size <= largest:
                current += average.current
                mean += average.calculate_mean(now_s)
        return max(current, mean)


@dataclasses.dataclass(slots=True)
class _Service:
    """Usage of one service.

    Attributes:
        total: Usage of all organisations.
        accounts: Active organisations, the one used last at the end.
        waits: Monotonic time at which a request within its share has waited
            last, by priority.
    """

    total: _Average = dataclasses.field(default_factory=_Average)
    accounts: collections.OrderedDict[ids.OrganisationId, _Account] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    waits: dict[int, float] = dataclasses.field(default_factory=dict)

    def calculate_share(self, now_s: float) -> float:
        """Returns the share of each active organisation, in tokens."""
        usage = max(self.total.current, self.total.calculate_mean(now_s))
        return usage / max(len(self.accounts), 1)


class OrganisationUsage(NamedTuple):
    """What an organisation uses of a service.

    Attributes:
        service: The service.
        organisation: The organisation.
        factor: Its usage as a multiple of its share.
        held_back: Times that a request of it waited for others.
    """

    service: ids.ServiceId
    organisation: ids.OrganisationId
    factor: float
    held_back: int


class OrganisationShares:
    """Usage and shares of the organisations at each service.

    Requests without an organisation count as those of one.
    """

    def __init__(self) -> None:
        self._services: dict[ids.ServiceId, _Service] = {}
        self._running: dict[Hashable, tuple[ids.ServiceId, _Held]] = {}
        self._cached_at_s = -math.inf
        self._cached: dict[
            tuple[ids.ServiceId, ids.OrganisationId, int], float
        ] = {}

    def record_start(
        self, key: Hashable, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Counts a request that has been placed.

        The prefill counts at once. An engine prefills about as many tokens in
        a second as its memory holds, so both count alike.
        """
        self.record_end(key, now_s)
        service = self._services.setdefault(request.service, _Service())
        account = service.accounts.get(request.organisation)
        if account is None:
            account = service.accounts[request.organisation] = _Account()
        held = _Held(
            account,
            _classify_size(request),
            max(request.memory_tokens, SLOT_TOKENS),
        )
        account.running_count += 1
        account.used_at_s = now_s
        service.accounts.move_to_end(request.organisation)
        prefill = float(request.prompt_tokens)
        average = account.usage.setdefault(held.size, _Average(at_s=now_s))
        average.add(held.tokens, prefill, now_s)
        service.total.add(held.tokens, prefill, now_s)
        self._running[key] = (request.service, held)
        _drop_inactive(service, now_s)
        self._cached.clear()

    def record_end(self, key: Hashable, now_s: float) -> None:
        """Counts the end of a request; unknown keys have no effect."""
        found = self._running.pop(key, None)
        if found is None:
            return
        service_id, held = found
        held.account.running_count -= 1
        held.account.used_at_s = now_s
        held.account.usage[held.size].add(-held.tokens, 0.0, now_s)
        self._services[service_id].total.add(-held.tokens, 0.0, now_s)
        self._cached.clear()

    def calculate_excess(
        self, request: messages.PlacementRequest, now_s: float
    ) -> float:
        """Returns by how much the organisation of a request exceeds its share.

        The excess grows in steps with the logarithm of the usage; 0 if it does
        not exceed the share.
        """
        if now_s != self._cached_at_s:
            self._cached.clear()
            self._cached_at_s = now_s
        size = _classify_size(request)
        cache_key = (request.service, request.organisation, size)
        excess = self._cached.get(cache_key)
        if excess is None:
            excess = self._cached[cache_key] = self._calculate_excess(
                request, size, now_s
            )
        return excess

    def record_wait(
        self, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Records that a request waits for other requests to end."""
        if self.calculate_excess(request, now_s) > 0:
            return
        waits = self._services.setdefault(request.service, _Service()).waits
        waits[request.priority] = now_s

    def must_wait(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request waits for others to get their share.

        Without this, the requests of an organisation that exceeds its share
        would take each slot that becomes free, and a long prompt of another
        one, which needs several engines together, would wait in vain.
        """
        service = self._services.get(request.service)
        if service is None or not service.waits:
            return False
        must_wait = self.calculate_excess(request, now_s) > 0 and any(
            priority <= request.priority and now_s - at_s <= WAIT_S
            for priority, at_s in service.waits.items()
        )
        if must_wait:
            service.accounts[request.organisation].held_back += 1
        return must_wait

    def list_largest(self, count: int, now_s: float) -> list[OrganisationUsage]:
        """Returns the organisations that exceed their shares most.

        Args:
            count: Number of organisations to return at most.
            now_s: Monotonic time.
        """
        found = [
            OrganisationUsage(
                service_id,
                organisation,
                account.calculate_usage(_MAX_SIZE, now_s) / share,
                account.held_back,
            )
            for service_id, service in self._services.items()
            if (share := service.calculate_share(now_s)) > 0
            for organisation, account in service.accounts.items()
        ]
        found.sort(key=lambda usage: -usage.factor)
        return found[:count]

    def _calculate_excess(
        self, request: messages.PlacementRequest, size: int, now_s: float
    ) -> float:
        service = self._services.get(request.service)
        if service is None or len(service.accounts) < 2:
            return 0.0
        account = service.accounts.get(request.organisation)
        if account is None:
            return 0.0
        usage = account.calculate_usage(size + LARGER_SIZES, now_s)
        tolerated = TOLERATED_FACTOR * service.calculate_share(now_s)
        if usage <= tolerated or tolerated <= 0:
            return 0.0
        return 1.0 + math.floor(
            LEVELS_PER_DOUBLING * math.log2(usage / tolerated)
        )


_MAX_SIZE = 64
"""Size class above all others."""


def _classify_size(request: messages.PlacementRequest) -> int:
    """Returns the size class of a request: doublings of its memory."""
    return min(request.memory_tokens.bit_length(), _MAX_SIZE)


def _drop_inactive(service: _Service, now_s: float) -> None:
    """Drops organisations that are not active, and the oldest beyond a bound.

    A request of a dropped organisation that still runs counts to its end in
    the total only.
    """
    accounts = service.accounts
    while accounts:
        organisation, oldest = next(iter(accounts.items()))
        if len(accounts) <= MAX_ORGANISATIONS:
            if now_s - oldest.used_at_s <= ACTIVE_S:
                return
            if oldest.running_count:
                # Its requests take long; it is active.
                oldest.used_at_s = now_s
                accounts.move_to_end(organisation)
                continue
        del accounts[organisation]
