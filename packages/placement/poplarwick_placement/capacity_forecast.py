"""Forecasts when queued requests of a service can start.

Load pattern: more requests than the endpoints of a service can hold, so that
some of those in the queue cannot be answered before their deadline. The
forecast replays the queue against the resources of all endpoints together:
slots and memory, which running requests release at their expected ends, and
prefill time. A prompt whose memory is spread over a group of engines therefore
counts by its memory. New requests that go ahead of the late ones in the queue
are expected at the rate at which they arrived lately.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Sequence

from poplarwick_placement import arrival_rates
from poplarwick_placement import cold_start_limiter
from poplarwick_placement import engine_model
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import queue_order
from poplarwick_placement import service_pool

OVERDUE_S = 0.05
"""Expected time to the end of a request that runs longer than expected; about
one iteration of an engine."""

EXPECTED_ARRIVALS_SHARE = 0.75
"""Share of the measured arrivals that the forecast expects. New requests that
cannot start on time do not go ahead of late ones, and a load that is hardly
too high may end before the late ones are out of time."""

MAX_SHORT_BACKLOG_S = 0.5
"""Mean prefill backlog of the engines with which short requests still start:
long prompts leave engines to them."""

MAX_STARTS = 20_000
"""Most starts that one forecast replays; bounds its time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request takes from a service.

    Attributes:
        memory_tokens: Engine memory.
        prefill_s: Prefill time on one engine.
        first_event_s: Time from its start to its first event.
        duration_s: Time from its start to its end in a busy service.
    """

    memory_tokens: float
    prefill_s: float
    first_event_s: float
    duration_s: float

    @property
    def max_backlog_s(self) -> float:
        """Longest prefill backlog of the engines with which it starts.

        A long prompt waits for engines that can start together.
        """
        if self.prefill_s > loads.LONG_PREFILL_S:
            return 0.0
        return MAX_SHORT_BACKLOG_S


class Capacity:
    """Slots, memory and prefill time of the usable endpoints of a service.

    Args:
        states: Open endpoints of the service.
        now_s: Monotonic time.
        stretch: Measured decoding times relative to the estimates; None if
            unknown.
    """

    def __init__(
        self,
        states: Sequence[service_pool.EndpointState],
        now_s: float,
        stretch: float | None = None,
    ) -> None:
        self.now_s = now_s
        self._usable = _find_usable(states, now_s)
        self.endpoints = len(self._usable)
        self.slots = sum(s.load.slots for s, _ in self._usable)
        self.free_slots = 0
        self.free_memory_tokens = 0.0
        self.memory_tokens = 0.0
        for state, usable_at_s in self._usable:
            profile = state.load.profile
            if profile is not None:
                self.memory_tokens += (
                    profile.memory_tokens * loads.ALLOCATABLE_MEMORY_SHARE
                )
            if usable_at_s <= now_s:
                self.free_slots += max(state.load.free_slots, 0)
                self.free_memory_tokens += max(state.load.free_memory_tokens, 0)
        self._profile_load = next((s.load for s, _ in self._usable), None)
        self._stretch = stretch

    def estimate_work(self, request: messages.PlacementRequest) -> Work:
        """Returns what a request takes on the endpoints of the service."""
        load = self._profile_load
        if load is None or load.profile is None:
            duration_s = 0.0 if load is None else load.response_time_s
            return Work(0.0, 0.0, duration_s, duration_s)
        prefill_s = engine_model.calculate_prefill_s(
            load.profile, request.prompt_tokens
        )
        iteration_s = engine_model.calculate_iteration_s(
            load.profile, load.profile.slots, request.prompt_tokens
        )
        slot_s = engine_model.calculate_slot_s(
            load.profile, request.output_tokens, iteration_s
        )
        # A long prompt is prefilled by a group.
        group_size = 1
        if prefill_s > loads.LONG_PREFILL_S:
            group_size = min(queue_order.IDEAL_GROUP_SIZE, self.endpoints)
        first_event_s = prefill_s / group_size + iteration_s
        return Work(
            request.memory_tokens,
            prefill_s,
            first_event_s,
            first_event_s + slot_s * self.stretch,
        )

    def calculate_share(self, work: Work) -> float:
        """Returns the time of the whole service that a request takes.

        The scarcest resource decides.
        """
        if not self._usable:
            return math.inf
        share = work.duration_s / max(self.slots, 1)
        if self.memory_tokens > 0:
            share = max(
                share,
                work.duration_s * work.memory_tokens / self.memory_tokens,
                work.prefill_s / self.endpoints,
            )
        return share

    @property
    def stretch(self) -> float:
        """Factor by which decoding takes longer than estimated.

        Unless it was measured, it is what the prefills of others delay. While a
        request decodes, each other slot of its engine is taken by
        about one further request for each decoding time.
        """
        if self._stretch is None:
            prefill_s = decode_s = 0.0
            for state, _ in self._usable:
                for expected in state.load.expect_ends():
                    prefill_s += expected.prefill_s
                    decode_s += expected.decode_s
            engines = max(self.endpoints, 1)
            running = sum(s.load.running_count for s, _ in self._usable)
            self._stretch = 1.0
            if decode_s > 0:
                self._stretch += running / engines * prefill_s / decode_s
        return self._stretch

    def list_releases(self) -> list[tuple[float, int, float]]:
        """Returns when how many slots and how much memory are released."""
        now_s, stretch = self.now_s, self.stretch
        releases = []
        for state, usable_at_s in self._usable:
            if usable_at_s > now_s:
                releases.append(
                    (
                        usable_at_s,
                        max(state.load.free_slots, 0),
                        float(max(state.load.free_memory_tokens, 0)),
                    )
                )
            for expected in state.load.expect_ends():
                end_s = expected.begins_at_s + expected.decode_s * stretch
                releases.append(
                    (
                        max(end_s, now_s + OVERDUE_S, usable_at_s),
                        expected.slots,
                        float(expected.memory_tokens),
                    )
                )
        return releases

    def calculate_backlog_s(self) -> float:
        """Returns the mean time until the allocated prefills end."""
        total_s = sum(
            s.load.calculate_backlog_s(self.now_s) for s, _ in self._usable
        )
        return total_s / max(self.endpoints, 1)


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A queued request in a replay.

    Attributes:
        key: Key of the request.
        rank: Place in the queue.
        work: What it takes.
        on_time_until_s: Latest start at which it is on time.
        until_s: Latest start at which it is answered before its deadline.
        is_ahead: Whether it goes ahead of new requests when it is late.
    """

    key: Hashable
    rank: int
    work: Work
    on_time_until_s: float
    until_s: float
    is_ahead: bool

    def is_late(self, time_s: float) -> bool:
        """Returns whether new requests go ahead of it at a time."""
        return time_s > self.on_time_until_s and not self.is_ahead


@dataclasses.dataclass(slots=True)
class _SizeClass:
    """Requests of about the same size in a replay.

    Attributes:
        newcomer: What a new request takes.
        per_s: Rate of the new requests.
        max_newcomers: Most new requests that can still be on time.
        newcomers: New requests that have not started.
        on_time: Queued requests that go ahead of new ones.
        late: Queued requests that new ones go ahead of.
    """

    newcomer: Work
    per_s: float
    max_newcomers: float
    newcomers: float = 0.0
    on_time: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque
    )
    late: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque
    )

    def update(self, time_s: float) -> None:
        """Moves requests that became late and drops those out of time."""
        while self.on_time and self.on_time[0].is_late(time_s):
            self.late.append(self.on_time.popleft())
        for queue in (self.on_time, self.late):
            while queue and time_s > queue[0].until_s:
                queue.popleft()


class _Replay:
    """Starts queued requests in order as resources become available.

    Requests of one size start in the order of the queue. Smaller ones overtake
    larger ones that do not fit, as in the scheduler; therefore only new
    requests that are no larger go ahead of a late one.
    """

    def __init__(
        self,
        capacity: Capacity,
        waiting: Iterable[_Waiting],
        arrivals: Iterable[arrival_rates.Arrivals],
    ) -> None:
        self._capacity = capacity
        self._time_s = capacity.now_s
        self._slots = capacity.free_slots
        self._memory = capacity.free_memory_tokens
        self._has_memory = capacity.memory_tokens > 0
        self._prefilled_s = capacity.now_s + capacity.calculate_backlog_s()
        self._releases = capacity.list_releases()
        heapq.heapify(self._releases)
        self.starts_s: dict[Hashable, float] = {}
        by_size: dict[int, _SizeClass] = {}
        for group in arrivals:
            per_s = EXPECTED_ARRIVALS_SHARE * group.per_s
            work = capacity.estimate_work(group.mean)
            patience_s = max(group.target_s - work.first_event_s, 0.0)
            by_size[group.size] = _SizeClass(
                work, per_s, max(per_s * patience_s, 1.0)
            )
        for item in waiting:
            size = int(item.work.memory_tokens).bit_length()
            size_class = by_size.get(size)
            if size_class is None:
                size_class = _SizeClass(item.work, 0.0, 1.0)
                by_size[size] = size_class
            is_late = item.is_late(self._time_s)
            (size_class.late if is_late else size_class.on_time).append(item)
        self._classes = [by_size[size] for size in sorted(by_size)]

    def run(self) -> None:
        """Replays until each queued request has started or is out of time."""
        for _ in range(MAX_STARTS):
            has_waiting = False
            for size_class in self._classes:
                size_class.update(self._time_s)
                if size_class.on_time or size_class.late:
                    has_waiting = True
            if not has_waiting:
                return
            if not self._start_next() and not self._advance():
                return

    def _start_next(self) -> bool:
        """Starts the next request that fits now; returns whether one does."""
        if self._slots < 1:
            return False
        best: _SizeClass | None = None
        for size_class in self._classes:
            queue = size_class.on_time
            if (
                queue
                and self._fits(queue[0].work)
                and (best is None or queue[0].rank < best.on_time[0].rank)
            ):
                best = size_class
        if best is not None:
            self._start(best.on_time.popleft())
            return True
        for size_class in self._classes:
            if size_class.newcomers >= 1.0 and self._fits(size_class.newcomer):
                size_class.newcomers -= 1.0
                self._take(size_class.newcomer)
                return True
            if size_class.late and self._fits(size_class.late[0].work):
                self._start(size_class.late.popleft())
                return True
        return False

    def _start(self, item: _Waiting) -> None:
        self.starts_s[item.key] = self._time_s
        self._take(item.work)

    def _fits(self, work: Work) -> bool:
        if not self._has_memory:
            return True
        return (
            work.memory_tokens <= self._memory
            and self._prefilled_s - self._time_s <= work.max_backlog_s + 1e-9
        )

    def _take(self, work: Work) -> None:
        self._slots -= 1
        self._memory -= work.memory_tokens
        self._prefilled_s = (
            max(self._prefilled_s, self._time_s)
            + work.prefill_s / self._capacity.endpoints
        )
        heapq.heappush(
            self._releases,
            (self._time_s + work.duration_s, 1, work.memory_tokens),
        )

    def _advance(self) -> bool:
        """Advances to the next change; returns whether there is one."""
        next_s = self._releases[0][0] if self._releases else math.inf
        if self._slots >= 1:
            for max_backlog_s in (MAX_SHORT_BACKLOG_S, 0.0):
                ready_s = self._prefilled_s - max_backlog_s
                if ready_s > self._time_s:
                    next_s = min(next_s, ready_s)
        if next_s == math.inf:
            return False
        elapsed_s = max(next_s - self._time_s, 0.0)
        for size_class in self._classes:
            size_class.newcomers = min(
                size_class.newcomers + elapsed_s * size_class.per_s,
                size_class.max_newcomers,
            )
        self._time_s = max(next_s, self._time_s)
        while self._releases and self._releases[0][0] <= self._time_s:
            _, slots, memory_tokens = heapq.heappop(self._releases)
            self._slots += slots
            self._memory += memory_tokens
        return True


def forecast(
    capacity: Capacity,
    waiting: queue_order.Waiting,
    arrivals: Iterable[arrival_rates.Arrivals],
    ahead: Iterable[Hashable],
    behind: Iterable[Hashable],
) -> dict[Hashable, float]:
    """Forecasts the starts of the queued requests of a service.

    Args:
        capacity: The resources of the service.
        waiting: Queued requests, the next one first.
        arrivals: New requests, the smallest first.
        ahead: Keys of the requests that go ahead of new ones.
        behind: Keys of the requests that new ones go ahead of.

    Returns:
        Expected monotonic start times by key; a key that is missing cannot
        start in time to be answered before its deadline.
    """
    ahead, behind = set(ahead), set(behind)
    items = []
    for rank, (key, queued) in enumerate(waiting):
        work = capacity.estimate_work(queued.request)
        items.append(
            _Waiting(
                key,
                rank,
                work,
                -math.inf if key in behind else queued.latest_start_s,
                calculate_latest_start_s(queued, work),
                key in ahead,
            )
        )
    replay = _Replay(capacity, items, arrivals)
    replay.run()
    return replay.starts_s


def calculate_latest_start_s(
    queued: queue_order.QueuedRequest, work: Work
) -> float:
    """Returns the latest start to be answered before the deadline.

    If the request could not even be answered when it arrived, its expected
    length is not trusted, and its first event counts.
    """
    deadline_s = queued.request.deadline_at_s
    if queued.arrived_at_s + work.duration_s < deadline_s:
        return deadline_s - work.duration_s
    return deadline_s - queued.ideal_first_event_s


def _find_usable(
    states: Sequence[service_pool.EndpointState], now_s: float
) -> list[tuple[service_pool.EndpointState, float]]:
    """Returns the endpoints that take requests, and from when on.

    If no endpoint is healthy, the network is the likelier cause, as for
    placements.
    """
    healthy = [s for s in states if s.is_healthy(now_s)]
    usable = []
    for state in healthy or states:
        if not state.allows_rate(now_s):
            continue
        usable_at_s = now_s
        if not state.allows_cold_start(now_s):
            usable_at_s += cold_start_limiter.WINDOW_S / 2
        usable.append((state, usable_at_s))
    return usable
