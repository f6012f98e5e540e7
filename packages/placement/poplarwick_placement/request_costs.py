"""Estimates the output of requests and the duration of plain calls.

Load pattern: requests that look alike cost very different amounts of work. The
callers' hints are right at the median and often far off, and some callers'
hints are always wrong. What requests of a group turned out to cost, relative to
their hints, is recorded, and later requests of the group are estimated from it.
A group with few samples falls back to the one that encloses it, and without any
the hint stands.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator

from poplarwick_placement import booking_level
from poplarwick_placement import messages
from poplarwick_placement import recent_quantiles
from poplarwick_placement import service_pool

MIN_SAMPLES = 8
"""Samples of a group from which on it is used: an upper quantile of fewer is
their maximum."""

MAX_GROUPS = 1_500
"""Groups that are kept, the ones with the latest samples: one for each of 1,300
organisations, and the enclosing ones. A group takes up to 3.1 KB."""

EXPECTED_QUANTILE = 0.5
"""Quantile that is expected. A mean follows single outliers, of which the
distribution has many."""

LONGEST_QUANTILE = 0.99
"""Quantile of all outputs that bounds what the ratios of other callers give."""

OUTPUT_UNIT = 1
"""Resolution of outputs in tokens; 8 to 131,071 are told apart."""

RATIO_UNIT = 1 / 1024
"""Resolution of the ratio of output to hint; 1/128 to 128 are told apart."""

DURATION_UNIT_S = 1 / 4096
"""Resolution of durations; 2 ms to 32 s are told apart."""

GROWTH_RECOMPUTED = 1.1
"""Growth of a group after which its quantiles are calculated again."""

MAX_CACHE_AGE_S = 1.0
"""Time after which they are calculated again in any case."""

REVISION_PERIOD_S = 0.25
"""Interval between comparisons of running requests with their estimates; a few
iterations."""

OVERRUN_FACTOR = 1.25
"""Expected and reserved output of a request that has exceeded its reservation,
as a multiple of its output so far."""


@dataclasses.dataclass(slots=True)
class _Group:
    """Recent costs of requests that look alike.

    Attributes:
        values: The costs.
        computed_at_s: Monotonic time at which the quantiles were calculated.
        computed_count: Number of samples at that time.
        level: Upper quantile that was calculated.
        expected: Expected cost.
        booked: Cost at the upper quantile.
    """

    values: recent_quantiles.RecentQuantiles
    computed_at_s: float = -MAX_CACHE_AGE_S
    computed_count: int = 0
    level: float = 0.0
    expected: float = 0.0
    booked: float = 0.0

    def refresh(self, level: float, now_s: float) -> int:
        """Calculates the quantiles if needed; returns the number of samples."""
        count = self.values.count(now_s)
        if count >= MIN_SAMPLES and (
            count > GROWTH_RECOMPUTED * self.computed_count
            or now_s >= self.computed_at_s + MAX_CACHE_AGE_S
            or level != self.level
        ):
            self.computed_at_s, self.computed_count = now_s, count
            self.level = level
            self.expected, self.booked = self.values.calculate(
                (EXPECTED_QUANTILE, level), now_s
            )
        return count


class RequestCosts:
    """Learns what the answers to earlier requests have cost.

    Args:
        levels: Quantiles at which memory is reserved.
    """

    def __init__(self, levels: booking_level.BookingLevels) -> None:
        self._levels = levels
        self._revised_at_s = -REVISION_PERIOD_S
        self._groups: collections.OrderedDict[Hashable, _Group] = (
            collections.OrderedDict()
        )

    @property
    def group_count(self) -> int:
        """Number of groups that are kept."""
        return len(self._groups)

    def estimate(
        self, request: messages.PlacementRequest, now_s: float
    ) -> messages.PlacementRequest:
        """Returns the request with its expected cost and its reservation."""
        if not request.output_tokens:
            return self._estimate_duration(request, now_s)
        hint_tokens = request.hint_tokens or request.output_tokens
        level = self._levels.get(request.service, now_s)
        for name, is_own in _iter_groups(request, hint_tokens):
            group = self._groups.get(name)
            if group is None:
                continue
            count = group.refresh(level, now_s)
            if count >= MIN_SAMPLES:
                limit = request.output_limit_tokens
                if not is_own:
                    limit = self._limit_shared(request, hint_tokens, now_s)
                expected = _apply(group.expected, hint_tokens, limit)
                booked = _apply(group.booked, hint_tokens, limit)
                return dataclasses.replace(
                    request,
                    hint_tokens=hint_tokens,
                    output_tokens=expected,
                    booked_output_tokens=max(booked, expected),
                    cost_samples=count,
                )
        return dataclasses.replace(
            request, hint_tokens=hint_tokens, cost_samples=0
        )

    def revise(
        self, states: Iterable[service_pool.EndpointState], now_s: float
    ) -> None:
        """Corrects the estimates of running requests by their output.

        Args:
            states: Endpoints that run them.
            now_s: Monotonic time.
        """
        if now_s < self._revised_at_s + REVISION_PERIOD_S:
            return
        self._revised_at_s = now_s
        for load in (state.load for state in states):
            for key, allocation in load.primary_allocations.items():
                revised = _revise(
                    allocation.request,
                    load.estimate_written_tokens(allocation, now_s),
                )
                if revised is not allocation.request:
                    load.revise(key, revised)

    def record_end(
        self,
        request: messages.PlacementRequest,
        answer: messages.AnswerEnd,
        output_tokens: int,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Learns from a complete answer.

        Args:
            request: The request as it was estimated.
            answer: How the answer ended.
            output_tokens: Length of the whole output; 0 if it is no stream.
            duration_s: Time from the placement to the end.
            now_s: Monotonic time.
        """
        if not answer.is_complete:
            return
        hint_tokens = request.hint_tokens
        if hint_tokens and output_tokens:
            ratio = output_tokens / hint_tokens
            for name, _ in _iter_groups(request, hint_tokens):
                self._record(name, ratio, RATIO_UNIT, now_s)
            for name in _iter_service_groups("output", request):
                self._record(name, output_tokens, OUTPUT_UNIT, now_s)
        elif not hint_tokens and not output_tokens:
            for name in _iter_service_groups("duration", request):
                self._record(name, duration_s, DURATION_UNIT_S, now_s)

    def _limit_shared(
        self,
        request: messages.PlacementRequest,
        hint_tokens: int,
        now_s: float,
    ) -> int:
        """Returns the most output to expect by the ratios of other callers.

        Where the hints of some are too low, the common ratio times a hint that
        is too high would be more than any request writes, and could be more
        than an engine holds.
        """
        longest = 0.0
        for name in _iter_service_groups("output", request):
            group = self._groups.get(name)
            if (
                group is not None
                and group.refresh(LONGEST_QUANTILE, now_s) >= MIN_SAMPLES
            ):
                longest = group.booked
                break
        limit = max(round(longest), hint_tokens)
        return min(limit, request.output_limit_tokens or limit)

    def _estimate_duration(
        self, request: messages.PlacementRequest, now_s: float
    ) -> messages.PlacementRequest:
        for name in _iter_service_groups("duration", request):
            group = self._groups.get(name)
            if group is None:
                continue
            count = group.refresh(EXPECTED_QUANTILE, now_s)
            if count >= MIN_SAMPLES:
                return dataclasses.replace(
                    request,
                    expected_duration_s=group.expected,
                    cost_samples=count,
                )
        return dataclasses.replace(request, cost_samples=0)

    def _record(
        self, name: Hashable, value: float, unit: float, now_s: float
    ) -> None:
        group = self._groups.get(name)
        if group is None:
            if len(self._groups) >= MAX_GROUPS:
                self._groups.popitem(last=False)
            group = self._groups[name] = _Group(
                recent_quantiles.RecentQuantiles(unit, now_s)
            )
        else:
            self._groups.move_to_end(name)
        group.values.record(value, now_s)


def _iter_groups(
    request: messages.PlacementRequest, hint_tokens: int
) -> Iterator[tuple[Hashable, bool]]:
    """Yields the groups of a request, the closest one first.

    Lengths of prompts are told apart by a factor of two, hints by one of four.
    A caller that sends wrong hints is in groups of its own.

    Yields:
        The group, and whether it is that of the organisation alone.
    """
    service, route = request.service, request.route
    organisation = request.organisation
    prompt = request.prompt_tokens.bit_length()
    hint = hint_tokens.bit_length() // 2
    if organisation:
        yield (service, route, organisation, prompt, hint), True
        yield (service, route, organisation), True
    yield (service, route, prompt, hint), False
    yield (service, route), False
    yield (service,), False


def _iter_service_groups(
    quantity: str, request: messages.PlacementRequest
) -> Iterator[Hashable]:
    yield (quantity, request.service, request.route)
    yield (quantity, request.service)


def _revise(
    request: messages.PlacementRequest, written_tokens: int
) -> messages.PlacementRequest:
    """Returns a request with more output if it has exceeded its estimate."""
    booked = request.booked_output_tokens or request.output_tokens
    if written_tokens <= booked:
        return request
    longer = _apply(OVERRUN_FACTOR, written_tokens, request.output_limit_tokens)
    if longer <= booked:
        return request
    return dataclasses.replace(
        request,
        output_tokens=max(request.output_tokens, longer),
        booked_output_tokens=longer,
    )


def _apply(factor: float, tokens: int, limit_tokens: int) -> int:
    """Returns a multiple of a number of tokens, up to the caller's limit."""
    product = max(round(factor * tokens), 1)
    return min(product, limit_tokens) if limit_tokens else product
