"""Known load of an endpoint and its effect on further requests."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math
from collections.abc import Hashable
from typing import NamedTuple

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import engine_report
from poplarwick_placement import inherited_load
from poplarwick_placement import memory_peak
from poplarwick_placement import messages

LONG_PREFILL_S = 0.1
"""Prefill time above which a prompt counts as long; about the time that the
pause limit of a short request leaves beside two iterations."""

LATE_LOSS = 0.75
"""Share of its weight that a request loses by being late: the users'
requirements count a late answer as a quarter of one on time."""

ALLOCATABLE_MEMORY_SHARE = 0.98
"""Share of an engine's memory that may be allocated; the rest covers rounding
to the engine's memory blocks."""


RESPONSE_TIME_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of a plain service's
response time."""

MIN_REMAINING_PREFILL_S = 0.04
"""Lower bound for the remaining prefill time of a request without a first
event; about one iteration."""

PREFILL_MARGIN_S = 0.04
"""Time by which a prefill may end later than calculated: the hop to the engine
and most of the iteration in progress on arrival. An engine runs its newest
part before all other prefills, so a part that arrives too early delays the
rest of the previous one by its whole duration."""

OVERRUN_SHARE = 0.5
"""Expected rest of a plain call that takes longer than expected, as a share of
its time so far."""

ROUNDING_S = 1e-6
"""Margin above the rounding of sums of times; far below an iteration."""

PREFILL_OVERDUE_S = 1.5
"""Time past its expected end after which a prefill is no longer counted;
engines abort work that depends on a lost engine after this time."""


@dataclasses.dataclass(slots=True)
class Allocation:
    """Resources of an endpoint that are allocated to one request.

    Attributes:
        request: The request.
        prefill_s: Time for which the endpoint prefills for the request.
        full_prefill_s: Time in which one engine would prefill the whole prompt.
        memory_tokens: Memory allocated on this endpoint.
        allocated_at_s: Monotonic time of the allocation.
        prefill_due_at_s: Monotonic time of the expected end of the prefill.
        first_event_at_s: Monotonic time of the first event; None before it.
        prefilled_before_s: Prefills that the endpoint had run by then.
        is_late: Whether a stall already makes the request late.
        late_loss: Weight lost if the request becomes late.
    """

    request: messages.PlacementRequest
    prefill_s: float
    full_prefill_s: float
    memory_tokens: int
    allocated_at_s: float
    prefill_due_at_s: float
    first_event_at_s: float | None = None
    prefilled_before_s: float = 0.0
    is_late: bool = False
    late_loss: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.late_loss = self.request.weight * LATE_LOSS

    def may_be_prefilling(self, now_s: float) -> bool:
        """Returns whether the first event may still be outstanding."""
        return now_s < self.prefill_due_at_s + PREFILL_OVERDUE_S


class ExpectedEnd(NamedTuple):
    """When an allocation is expected to be released.

    Attributes:
        begins_at_s: Monotonic time of the first event.
        decode_s: Time from the first event to the end without prefills.
        prefill_s: Time for which one engine prefills the whole prompt.
        slots: Slots that are released.
        memory_tokens: Memory that is released.
    """

    begins_at_s: float
    decode_s: float
    prefill_s: float
    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class LoadView:
    """Snapshot of an endpoint's load with the values that placement uses.

    Attributes:
        load: The load.
        running_count: Requests that run on the endpoint.
        context_tokens: Sum of the prompt lengths of these requests.
        free_slots: Slots that no known request holds.
        free_memory_tokens: Memory that no known request holds, now or later.
        reservations: Memory of the requests whose outputs are estimated.
        shared_tokens: Memory that these requests and further ones share.
        free_now_tokens: The part of it that is free now.
        has_short: Whether a request with a short prompt runs.
        backlog_s: Time until the allocated prefills end.
        residual_s: Expected time until the iteration in progress ends.
        slack_s: Longest prefill that stalls no running request beyond its
            limit.
        speed: What decides the time of a prefill; the same for engines with
            the same profile and slowdown.
        full_stall_s: Prefill above which the weight lost by its stall is the
            same.
        full_stall_loss: That weight.
    """

    load: EndpointLoad
    running_count: int
    context_tokens: int
    free_slots: int
    free_memory_tokens: int
    reservations: tuple[memory_peak.Reservation, ...]
    shared_tokens: int
    free_now_tokens: int
    has_short: bool
    backlog_s: float
    residual_s: float
    slack_s: float
    speed: tuple[int, float]
    full_stall_s: float
    full_stall_loss: float

    def estimate_first_event_s(
        self, request: messages.PlacementRequest, prefill_s: float
    ) -> float:
        """Returns the expected time to the first event of a request."""
        iteration_s = 0.0
        if self.load.profile is not None:
            iteration_s = (
                self.load.slowdown
                * engine_model.calculate_iteration_s(
                    self.load.profile,
                    self.running_count + 1,
                    self.context_tokens + request.prompt_tokens,
                )
            )
        return self.residual_s + self.backlog_s + prefill_s + iteration_s

    def calculate_missing_tokens(
        self, request: messages.PlacementRequest
    ) -> int:
        """Returns the memory that a request lacks here; 0 or less if it fits.

        A request whose output is estimated also fits if others have released
        enough by the time at which it needs the memory.
        """
        missing = request.memory_tokens - max(self.free_memory_tokens, 0)
        booked = request.booked_output_tokens
        if missing <= 0 or booked is None or not self.reservations:
            return missing
        if request.prompt_tokens > self.free_now_tokens:
            return missing
        return (
            0
            if memory_peak.fits(
                self.reservations,
                request.prompt_tokens,
                booked,
                self.shared_tokens,
            )
            else missing
        )

    def calculate_stall_loss(self, prefill_s: float, now_s: float) -> float:
        """Returns the weight lost by the stall that a prefill causes."""
        if prefill_s <= self.slack_s:
            return 0.0
        if prefill_s > self.full_stall_s:
            return self.full_stall_loss
        return self.load.calculate_stall_loss(prefill_s, now_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Summary:
    """Values that change only with allocations, profile or slowdown.

    Attributes:
        iteration_s: Time of an iteration without prefill.
        context_tokens: Sum of the prompt lengths of the running requests.
        free_memory_tokens: Memory that no known request holds.
        has_short: Whether a request with a short prompt runs.
        pause_limits_s: Pause limits of the decoding requests that are on time,
            the shortest first.
        stall_losses: Weights lost by a stall that is longer than so many of
            these limits.
        awaiting_prefill: Requests without a first event.
    """

    iteration_s: float
    context_tokens: int
    free_memory_tokens: int
    has_short: bool
    pause_limits_s: tuple[float, ...]
    stall_losses: tuple[float, ...]
    awaiting_prefill: tuple[Allocation, ...]


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """Allocations on one endpoint and the estimates derived from them.

    Attributes:
        endpoint: The endpoint.
        profile: Profile of the engine; None for a plain service.
        primary_allocations: Requests that run on this endpoint.
        helper_allocations: Requests for which this endpoint prefills a part.
        inherited: Load that belongs to no known request.
        prefill_until_s: Monotonic time at which the allocated prefills are
            expected to end.
        slowdown: Slowdown factor; 1 is the speed of the profile.
        reported_slowdown: The same as the endpoint reports it.
        measured_slowdown: The same as measured; 1 unless it is slow.
        prefill_total_s: Prefills allocated so far, at the profile's speed.
        response_time_s: Moving average of a plain service's response time.
        failure_share: Moving average of the share of failed answers.
        steady_view: Snapshot that holds until the load changes; None while
            prefills run, or before it is needed.
    """

    endpoint: types.Endpoint
    profile: types.EngineProfile | None
    primary_allocations: dict[Hashable, Allocation] = dataclasses.field(
        default_factory=dict
    )
    helper_allocations: dict[Hashable, Allocation] = dataclasses.field(
        default_factory=dict
    )
    inherited: inherited_load.InheritedLoad = dataclasses.field(
        default_factory=inherited_load.InheritedLoad
    )
    prefill_until_s: float = 0.0
    slowdown: float = 1.0
    reported_slowdown: float = 1.0
    measured_slowdown: float = 1.0
    prefill_total_s: float = 0.0
    response_time_s: float = 0.05
    failure_share: float = 0.0
    _summary: _Summary | None = None
    steady_view: LoadView | None = None
    _expected_ends: tuple[ExpectedEnd, ...] | None = None

    @property
    def slots(self) -> int:
        """Number of requests that the endpoint runs concurrently."""
        return self.profile.slots if self.profile else self.endpoint.slots

    @property
    def free_slots(self) -> int:
        """Slots that no known request holds."""
        known = len(self.primary_allocations)
        return self.slots - known - self.inherited.requests

    @property
    def free_memory_tokens(self) -> int:
        """Engine memory that no known request holds."""
        return self._summarise().free_memory_tokens

    @property
    def allocatable_tokens(self) -> int:
        """Engine memory that may be allocated; 0 for a plain service."""
        if self.profile is None:
            return 0
        return int(self.profile.memory_tokens * ALLOCATABLE_MEMORY_SHARE)

    @property
    def is_slow(self) -> bool:
        """Whether the endpoint does measurably less work than its peers."""
        return self.measured_slowdown > 1

    def calculate_iteration_s(self) -> float:
        """Returns the time of an iteration without prefill."""
        return self._summarise().iteration_s

    @property
    def is_used(self) -> bool:
        """Whether the endpoint runs a request or prefills a part of one."""
        return bool(
            self.primary_allocations
            or self.helper_allocations
            or not self.inherited.is_empty
        )

    @property
    def running_count(self) -> int:
        """Number of requests that run on the endpoint."""
        return len(self.primary_allocations)

    def set_endpoint(
        self, endpoint: types.Endpoint, profile: types.EngineProfile | None
    ) -> None:
        """Sets the endpoint's entry and the profile of its engine."""
        if endpoint is not self.endpoint or profile != self.profile:
            self.endpoint = endpoint
            self.profile = profile
            self._forget_derived_values()

    def set_slowdown(self, slowdown: float) -> None:
        """Sets the reported slowdown; 1 is the speed of the profile."""
        self.reported_slowdown = slowdown
        self._combine_slowdowns()

    def set_measured_slowdown(self, slowdown: float) -> bool:
        """Sets the measured slowdown; returns whether it has changed."""
        if slowdown == self.measured_slowdown:
            return False
        self.measured_slowdown = slowdown
        self._combine_slowdowns()
        return True

    def _combine_slowdowns(self) -> None:
        slowdown = max(self.reported_slowdown, self.measured_slowdown)
        if slowdown != self.slowdown:
            self.slowdown = slowdown
            self._forget_derived_values()

    def calculate_writing_s(
        self, allocation: Allocation, events: int, now_s: float
    ) -> float:
        """Returns the expected time from the first to the last event by now.

        At the speed of the profile, with the present number of requests and
        the prefills of others in the meantime.

        Args:
            allocation: An allocation of a request that has begun.
            events: Number of events so far.
            now_s: Monotonic time.
        """
        iterations_s = (events - 1) * self.calculate_iteration_s()
        return iterations_s / self.slowdown + self._calculate_stalls_s(
            allocation, now_s
        )

    def estimate_written_tokens(
        self, allocation: Allocation, now_s: float
    ) -> int:
        """Returns the expected length of the output of a request so far."""
        if self.profile is None or allocation.first_event_at_s is None:
            return 0
        writing_s = now_s - allocation.first_event_at_s
        writing_s -= self.slowdown * self._calculate_stalls_s(allocation, now_s)
        iterations = max(writing_s, 0.0) / self.calculate_iteration_s()
        return (1 + int(iterations)) * self.profile.stride

    def estimate_work_s(self, duration_s: float, now_s: float) -> float:
        """Returns the time until a plain service has done a further call.

        Args:
            duration_s: Expected duration of the call.
            now_s: Monotonic time.
        """
        work_s = duration_s
        for allocation in self.primary_allocations.values():
            expected_s = allocation.request.expected_duration_s or duration_s
            elapsed_s = now_s - allocation.allocated_at_s
            work_s += max(expected_s - elapsed_s, OVERRUN_SHARE * elapsed_s)
        return self.slowdown * work_s

    def revise(self, key: Hashable, request: messages.PlacementRequest) -> None:
        """Replaces the estimate of a request that runs here."""
        allocation = self.primary_allocations[key]
        allocation.memory_tokens += (
            request.memory_tokens - allocation.request.memory_tokens
        )
        allocation.request = request
        self._forget_derived_values()

    def calculate_reserved_tokens(self, now_s: float) -> int:
        """Returns the most engine memory that known requests hold from now."""
        return (
            self.allocatable_tokens - self.make_view(now_s).free_memory_tokens
        )

    def _make_reservations(
        self, now_s: float
    ) -> tuple[memory_peak.Reservation, ...]:
        """Returns the memory of the requests whose outputs are estimated.

        The longest rest comes first.
        """
        reservations = [
            memory_peak.make_reservation(
                allocation.memory_tokens,
                allocation.request.booked_output_tokens,
                self.estimate_written_tokens(allocation, now_s),
            )
            for allocation in self.primary_allocations.values()
            if allocation.request.booked_output_tokens is not None
        ]
        return tuple(sorted(reservations, reverse=True))

    def _calculate_stalls_s(
        self, allocation: Allocation, now_s: float
    ) -> float:
        """Returns the prefills of others since a first event.

        At the profile's speed. What is still to be prefilled is known only by
        the slowdown of the moment, so the difference may come out below 0.
        """
        prefilled_s = self._calculate_prefilled_s(now_s)
        return max(prefilled_s - allocation.prefilled_before_s, 0.0)

    def _calculate_prefilled_s(self, now_s: float) -> float:
        backlog_s = max(self.prefill_until_s - now_s, 0.0)
        return max(self.prefill_total_s - backlog_s / self.slowdown, 0.0)

    def calculate_prefill_s(self, prompt_tokens: int, engines: int) -> float:
        """Returns the time to prefill one of several parts of a prompt here."""
        if self.profile is None:
            return 0.0
        return self.slowdown * engine_model.calculate_prefill_s(
            self.profile, prompt_tokens, engines
        )

    def calculate_backlog_s(self, now_s: float) -> float:
        """Returns the time until the allocated prefills end.

        Parts for other engines run before an engine's own prefills. An engine
        whose own request has no first event is therefore still busy, whatever
        the estimate says.
        """
        estimated_s = max(self.prefill_until_s - now_s, 0.0)
        for allocation in self._summarise().awaiting_prefill:
            if allocation.may_be_prefilling(now_s):
                return max(estimated_s, MIN_REMAINING_PREFILL_S)
        return estimated_s

    def calculate_slack_s(self, now_s: float) -> float:
        """Returns the longest prefill that stalls no request past its limit."""
        summary = self._summarise()
        limit_s = (
            summary.pause_limits_s[0] if summary.pause_limits_s else math.inf
        )
        for allocation in summary.awaiting_prefill:
            remaining_s = allocation.request.on_time_at_s - now_s
            if remaining_s > 0 and not allocation.is_late:
                limit_s = min(limit_s, remaining_s)
        return limit_s - summary.iteration_s

    def make_view(self, now_s: float) -> LoadView:
        """Returns a snapshot of the load at one moment.

        Without prefills the load does not depend on the time, so its snapshot
        is reused until the load changes.
        """
        if self.steady_view is not None:
            return self.steady_view
        summary = self._summarise()
        view = self._calculate_view(summary, now_s)
        if not summary.awaiting_prefill and self.prefill_until_s <= now_s:
            self.steady_view = view
        return view

    def _calculate_view(self, summary: _Summary, now_s: float) -> LoadView:
        reservations = self._make_reservations(now_s)
        present_tokens = sum(r.present_tokens for r in reservations)
        rest_tokens = sum(r.rest_tokens for r in reservations)
        peak_tokens = memory_peak.calculate_peak(reservations)
        full_stall_s, full_stall_loss = self._calculate_full_stall(
            summary, now_s
        )
        shared_tokens = (
            summary.free_memory_tokens + present_tokens + rest_tokens
        )
        return LoadView(
            load=self,
            running_count=len(self.primary_allocations),
            context_tokens=summary.context_tokens,
            free_slots=self.free_slots,
            free_memory_tokens=shared_tokens - peak_tokens,
            reservations=reservations,
            shared_tokens=shared_tokens,
            free_now_tokens=shared_tokens - present_tokens,
            has_short=summary.has_short,
            backlog_s=self.calculate_backlog_s(now_s),
            residual_s=summary.iteration_s / 2
            if self.primary_allocations
            else 0.0,
            slack_s=self.calculate_slack_s(now_s),
            speed=(id(self.profile), self.slowdown),
            full_stall_s=full_stall_s,
            full_stall_loss=full_stall_loss,
        )

    def _calculate_full_stall(
        self, summary: _Summary, now_s: float
    ) -> tuple[float, float]:
        """Returns the prefill that stalls all requests past their limits.

        With the weight that is lost by any longer one.
        """
        limits_s = [*summary.pause_limits_s[-1:]]
        loss = summary.stall_losses[-1]
        on_time = [
            allocation
            for allocation in summary.awaiting_prefill
            if not allocation.is_late
            and allocation.request.on_time_at_s > now_s
        ]
        if on_time:
            limits_s += [a.request.on_time_at_s - now_s for a in on_time]
            loss += sum(allocation.late_loss for allocation in on_time)
        if not limits_s:
            return 0.0, loss
        return max(limits_s) - summary.iteration_s + ROUNDING_S, loss

    def calculate_stall_loss(self, prefill_s: float, now_s: float) -> float:
        """Returns the weight lost by the stall that a prefill causes."""
        if not self.primary_allocations:
            return 0.0
        summary = self._summarise()
        pause_s = summary.iteration_s + prefill_s
        exceeded_count = bisect.bisect_left(summary.pause_limits_s, pause_s)
        loss = summary.stall_losses[exceeded_count]
        if not summary.awaiting_prefill:
            return loss
        return loss + sum(
            allocation.late_loss
            for allocation in summary.awaiting_prefill
            if _is_newly_late(allocation, pause_s, prefill_s, now_s)
        )

    def allocate_primary(
        self,
        key: Hashable,
        request: messages.PlacementRequest,
        prefill_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        """Allocates resources to a request that runs on this endpoint."""
        self._allocate(
            self.primary_allocations,
            key,
            request,
            prefill_s,
            memory_tokens,
            now_s,
        )

    def allocate_helper(
        self,
        key: Hashable,
        request: messages.PlacementRequest,
        prefill_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        """Allocates resources to a part prefilled for another engine."""
        self._allocate(
            self.helper_allocations,
            key,
            request,
            prefill_s,
            memory_tokens,
            now_s,
        )

    def record_response_time(self, key: Hashable, now_s: float) -> None:
        """Updates the response time of a plain service."""
        allocation = self.primary_allocations.get(key)
        if allocation is not None and self.profile is None:
            duration_s = now_s - allocation.allocated_at_s
            self.response_time_s += RESPONSE_TIME_WEIGHT * (
                duration_s - self.response_time_s
            )

    def has_written_for(
        self, key: Hashable, time_s: float, now_s: float
    ) -> bool:
        """Returns whether a request had its first event a time ago."""
        primary = self.primary_allocations.get(key)
        return (
            primary is not None
            and primary.first_event_at_s is not None
            and now_s - primary.first_event_at_s > time_s
        )

    def record_first_event(self, key: Hashable, now_s: float) -> None:
        """Records a request's first event: its prefill has ended."""
        self._forget_derived_values()
        primary = self.primary_allocations.get(key)
        if primary is not None:
            primary.first_event_at_s = now_s
            primary.prefilled_before_s = self._calculate_prefilled_s(now_s)
        helper = self.helper_allocations.get(key)
        if helper is not None and helper.memory_tokens == 0:
            del self.helper_allocations[key]
        if (
            all(a.first_event_at_s for a in self.primary_allocations.values())
            and not self.helper_allocations
        ):
            self._end_prefills(now_s)

    def release(self, key: Hashable, now_s: float) -> None:
        """Releases the resources of a request that has ended."""
        self._forget_derived_values()
        for allocations, requests in (
            (self.primary_allocations, 1),
            (self.helper_allocations, 0),
        ):
            released = allocations.pop(key, None)
            if released is not None:
                self.inherited.record_release(
                    requests, released.memory_tokens, now_s
                )
        if not self.primary_allocations and not self.helper_allocations:
            self._end_prefills(now_s)

    def record_work(
        self,
        work: engine_report.EngineWork,
        now_s: float,
        *,
        may_grow: bool,
    ) -> bool:
        """Records what the engine reports; returns if that changes the load.

        Args:
            work: What the engine reports.
            now_s: Monotonic time.
            may_grow: Whether it may run requests that are not known.
        """
        allocations = (
            *self.primary_allocations.values(),
            *self.helper_allocations.values(),
        )
        known = engine_report.EngineWork(
            len(self.primary_allocations),
            sum(allocation.memory_tokens for allocation in allocations),
        )
        if not self.inherited.record_work(
            work, known, now_s, may_grow=may_grow
        ):
            return False
        self._forget_derived_values()
        return True

    def record_adoption(self, memory_tokens: int) -> None:
        """Records that an instance reports a request that it runs here."""
        if self.inherited.record_adoption(memory_tokens):
            self._forget_derived_values()

    def _end_prefills(self, now_s: float) -> None:
        backlog_s = max(self.prefill_until_s - now_s, 0.0)
        self.prefill_total_s -= backlog_s / self.slowdown
        self.prefill_until_s = now_s

    def expect_ends(self) -> tuple[ExpectedEnd, ...]:
        """Returns when the allocations are expected to be released."""
        if self._expected_ends is None:
            iteration_s = self.calculate_iteration_s()
            self._expected_ends = (
                tuple(
                    self._expect_end(allocation, slots, iteration_s)
                    for allocations, slots in (
                        (self.primary_allocations, 1),
                        (self.helper_allocations, 0),
                    )
                    for allocation in allocations.values()
                )
                + self._expect_inherited_ends()
            )
        return self._expected_ends

    def _expect_inherited_ends(self) -> tuple[ExpectedEnd, ...]:
        if self.inherited.is_empty:
            return ()
        return (
            ExpectedEnd(
                self.inherited.reported_at_s,
                inherited_load.EXPECTED_REST_S,
                0.0,
                self.inherited.requests,
                self.inherited.memory_tokens,
            ),
        )

    def _expect_end(
        self, allocation: Allocation, slots: int, iteration_s: float
    ) -> ExpectedEnd:
        if self.profile is None:
            return ExpectedEnd(
                allocation.allocated_at_s, self.response_time_s, 0.0, slots, 0
            )
        begins_at_s = allocation.first_event_at_s
        if begins_at_s is None:
            begins_at_s = allocation.prefill_due_at_s + iteration_s
        return ExpectedEnd(
            begins_at_s,
            engine_model.calculate_slot_s(
                self.profile, allocation.request.output_tokens, iteration_s
            ),
            allocation.full_prefill_s if slots else 0.0,
            slots,
            allocation.memory_tokens,
        )

    def _forget_derived_values(self) -> None:
        self._summary = None
        self.steady_view = None
        self._expected_ends = None

    def _summarise(self) -> _Summary:
        if self._summary is None:
            self._summary = self._make_summary()
        return self._summary

    def _make_summary(self) -> _Summary:
        primaries = self.primary_allocations.values()
        context_tokens = sum(a.request.prompt_tokens for a in primaries)
        iteration_s, free_tokens = 0.0, 0
        if self.profile is not None:
            iteration_s = self.slowdown * engine_model.calculate_iteration_s(
                self.profile, len(primaries), context_tokens
            )
            used_tokens = sum(a.memory_tokens for a in primaries)
            used_tokens += sum(
                a.memory_tokens for a in self.helper_allocations.values()
            )
            used_tokens += self.inherited.memory_tokens
            free_tokens = self.allocatable_tokens - used_tokens
        decoding_on_time = sorted(
            (a.request.pause_limit_s, a.late_loss)
            for a in primaries
            if a.first_event_at_s is not None and not a.is_late
        )
        return _Summary(
            iteration_s=iteration_s,
            context_tokens=context_tokens,
            free_memory_tokens=free_tokens,
            has_short=any(
                a.full_prefill_s <= LONG_PREFILL_S for a in primaries
            ),
            pause_limits_s=tuple(limit_s for limit_s, _ in decoding_on_time),
            stall_losses=tuple(
                itertools.accumulate(
                    (loss for _, loss in decoding_on_time), initial=0.0
                )
            ),
            awaiting_prefill=tuple(
                a for a in primaries if a.first_event_at_s is None
            ),
        )

    def _allocate(
        self,
        allocations: dict[Hashable, Allocation],
        key: Hashable,
        request: messages.PlacementRequest,
        prefill_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        self._add_prefill(prefill_s, now_s)
        full_prefill_s = self.calculate_prefill_s(request.prompt_tokens, 1)
        allocations[key] = Allocation(
            request,
            prefill_s,
            full_prefill_s,
            memory_tokens,
            now_s,
            self.prefill_until_s,
        )
        self._forget_derived_values()

    def _add_prefill(self, prefill_s: float, now_s: float) -> None:
        if self.primary_allocations:
            pause_s = (
                self.calculate_iteration_s()
                + self.calculate_backlog_s(now_s)
                + prefill_s
            )
            for allocation in self.primary_allocations.values():
                if _is_newly_late(allocation, pause_s, prefill_s, now_s):
                    allocation.is_late = True
        self.prefill_total_s += prefill_s / self.slowdown
        begin_s = max(self.prefill_until_s, now_s)
        self.prefill_until_s = begin_s + prefill_s + PREFILL_MARGIN_S


def _is_newly_late(
    allocation: Allocation, pause_s: float, prefill_s: float, now_s: float
) -> bool:
    if allocation.is_late:
        return False
    if allocation.first_event_at_s is None:
        # The request's own prefill runs first. A further prefill delays its
        # first event only if its own one is far from done.
        remaining_s = allocation.request.on_time_at_s - now_s
        return remaining_s > 0 and pause_s > max(remaining_s, prefill_s)
    return pause_s > allocation.request.pause_limit_s
