"""Optional decisions under load, which the scheduler asks in turn.

Load pattern: callers that compete for engines which cannot hold all of their
requests at once. Each decision is a module of its own; this one bundles those
that a deployment calls for. A deployment that calls for none is scheduled
without them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from poplarwick_core import ids
from poplarwick_placement import admission_control
from poplarwick_placement import booking_level
from poplarwick_placement import engine_speed
from poplarwick_placement import late_jobs
from poplarwick_placement import messages
from poplarwick_placement import organisation_shares
from poplarwick_placement import packing
from poplarwick_placement import queue_order
from poplarwick_placement import running_requests
from poplarwick_placement import service_pool

if TYPE_CHECKING:
    from poplarwick_placement import request_costs


@dataclasses.dataclass(frozen=True, slots=True)
class LoadManagement:
    """The decisions that are in force; None switches one off.

    Attributes:
        costs: Estimates the cost of requests.
        speeds: Compares the speed of endpoints with that of their peers.
        levels: Chooses the quantile at which memory is reserved.
        shares: Compares the usage of organisations.
        admission: Refuses requests that cannot be served in time.
    """

    costs: request_costs.RequestCosts | None = None
    speeds: engine_speed.EndpointSpeeds | None = None
    levels: booking_level.BookingLevels | None = None
    shares: organisation_shares.OrganisationShares | None = None
    admission: admission_control.AdmissionControl | None = None

    def estimate(
        self,
        request: messages.PlacementRequest,
        pool: service_pool.ServicePool,
        now_s: float,
    ) -> messages.PlacementRequest:
        """Returns a request with what it is expected to cost.

        Args:
            request: The request.
            pool: Endpoints of its service.
            now_s: Monotonic time.
        """
        if self.costs is None:
            return request
        estimated = self.costs.estimate(request, now_s)
        return estimated.limit_booking(pool.engine_tokens)

    def record_submission(
        self, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Records the arrival of a request."""
        if self.admission is not None:
            self.admission.record_submission(request, now_s)

    def record_start(
        self, key: Hashable, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Records that a request has been placed."""
        if self.shares is not None:
            self.shares.record_start(key, request, now_s)

    def record_answer(
        self,
        key: Hashable,
        running: running_requests.RunningRequest,
        state: service_pool.EndpointState,
        result: messages.Result,
        answer: messages.AnswerEnd | None,
        now_s: float,
    ) -> None:
        """Learns from a request before its resources are released."""
        if self.costs is not None and answer is not None:
            profile = state.candidate.profile
            self.costs.record_end(
                running.request,
                answer,
                answer.events * profile.stride if profile is not None else 0,
                now_s - running.placed_at_s,
                now_s,
            )
        if self.levels is not None:
            self.levels.record_end(key, state.load, result, answer, now_s)
        if self.speeds is not None:
            self.speeds.record_end(key, state, answer, now_s)
        allocation = state.load.primary_allocations.get(key)
        if (
            self.admission is not None
            and allocation is not None
            and result is messages.Result.DONE
        ):
            self.admission.record_end(state.load, allocation, now_s)

    def review_running(
        self, pools: Collection[service_pool.ServicePool], now_s: float
    ) -> None:
        """Revises the speeds of endpoints and the costs of what they run."""
        if self.costs is not None:
            self.costs.revise(
                (state for pool in pools for state in pool.states), now_s
            )
        if self.speeds is not None:
            for pool in pools:
                for state in self.speeds.review(pool.states, now_s):
                    pool.update(state)

    def record_end(self, key: Hashable, now_s: float) -> None:
        """Records the end of a request that was placed."""
        if self.shares is not None:
            self.shares.record_end(key, now_s)

    def calculate_sort_key(
        self,
        queued: queue_order.QueuedRequest,
        now_s: float,
        *,
        is_deferred: bool,
    ) -> queue_order.SortKey:
        """Returns the sort key of a queued request."""
        request = queued.request
        has_promise = False
        if self.admission is not None:
            has_promise = self.admission.has_promise(request, now_s)
            is_deferred |= self.admission.counts_as_late(request, now_s)
        return queue_order.calculate_sort_key(
            queued,
            now_s,
            is_deferred=is_deferred,
            has_promise=has_promise,
            excess=self.calculate_excess(request, now_s),
        )

    def calculate_excess(
        self, request: messages.PlacementRequest, now_s: float
    ) -> float:
        """Returns by how much the sender of a request exceeds its share."""
        if self.shares is None:
            return 0.0
        return self.shares.calculate_excess(request, now_s)

    def make_job(
        self,
        key: Hashable,
        queued: queue_order.QueuedRequest,
        engines: int,
        now_s: float,
    ) -> late_jobs.Job:
        """Returns a long prompt as a job that all engines prefill together."""
        return queue_order.make_job(
            key, queued, engines, self.calculate_excess(queued.request, now_s)
        )

    def should_start(
        self,
        queued: queue_order.QueuedRequest,
        choice: packing.Choice,
        now_s: float,
    ) -> bool:
        """Returns whether to accept a choice or to wait for a better one."""
        excess = self.calculate_excess(queued.request, now_s)
        if queue_order.should_start(queued, choice, now_s, excess):
            return True
        if self.shares is not None and queued.is_urgent(now_s):
            self.shares.record_wait(queued.request, now_s)
        return False

    def must_wait(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request waits for others to get their share."""
        return self.shares is not None and self.shares.must_wait(request, now_s)

    def list_largest_users(
        self, count: int, now_s: float
    ) -> Sequence[organisation_shares.OrganisationUsage]:
        """Returns the organisations that exceed their shares most."""
        if self.shares is None:
            return ()
        return self.shares.list_largest(count, now_s)

    def review(
        self,
        waiting: queue_order.Waiting,
        get_states: Callable[
            [ids.ServiceId], Sequence[service_pool.EndpointState]
        ],
        now_s: float,
    ) -> list[tuple[Hashable, messages.Refusal]]:
        """Returns refusals for queued requests that cannot begin in time.

        Args:
            waiting: Requests of all services that were not placed in this
                round, the next one first.
            get_states: Returns the open endpoints of a service.
            now_s: Monotonic time.
        """
        if self.admission is None:
            return []
        by_service: dict[
            ids.ServiceId, list[tuple[Hashable, queue_order.QueuedRequest]]
        ] = {}
        for key, queued in waiting:
            by_service.setdefault(queued.request.service, []).append(
                (key, queued)
            )
        refusals: list[tuple[Hashable, messages.Refusal]] = []
        for service, requests in by_service.items():
            states = get_states(service)
            refusals += self.admission.review(states, requests, now_s).items()
        return refusals


def make_load_management(
    *,
    has_contention: bool,
    is_global: bool = True,
    on_speed: Callable[[ids.EndpointId, float], None] = lambda *_: None,
    on_level: Callable[[ids.ServiceId, float], None] = lambda *_: None,
) -> LoadManagement:
    """Returns the decisions that a deployment calls for.

    Args:
        has_contention: Whether callers compete for engines that cannot hold
            all requests at once.
        is_global: Whether all requests in flight are known. Unknown ones would
            make endpoints look slow, so their speed is not compared.
        on_speed: Called with an endpoint and its slowdown when it becomes
            slower than its peers, or recovers.
        on_level: Called with a service and the quantile at which memory is
            reserved when preemptions raise it.
    """
    if not has_contention:
        return LoadManagement()
    # Histograms take 17 ms to import, which only these deployments spend.
    from poplarwick_placement import request_costs

    levels = booking_level.BookingLevels(on_level)
    return LoadManagement(
        costs=request_costs.RequestCosts(levels),
        shares=organisation_shares.OrganisationShares(),
        admission=admission_control.AdmissionControl(),
        speeds=engine_speed.EndpointSpeeds(on_speed) if is_global else None,
        levels=levels,
    )
