"""Refuses queued requests that cannot be answered before their deadline.

Load pattern: sustained overload, in which most requests would wait for their
whole time in vain. They are refused in the round of their arrival instead, with
the time at which capacity is expected for them. Requests that are likely to be
served wait.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Mapping
from collections.abc import Sequence

from poplarwick_placement import arrival_rates
from poplarwick_placement import capacity_forecast
from poplarwick_placement import loads
from poplarwick_placement import measured_stretch
from poplarwick_placement import messages
from poplarwick_placement import queue_order
from poplarwick_placement import refusals
from poplarwick_placement import return_schedule
from poplarwick_placement import service_pool

HONOURED_SHARE = 0.32
"""Share of its time left for which a caller waits before it retries: a third,
less the way of the refusal over the network."""

RETURN_SHARE = 0.1
"""Share of the capacity that returning callers may take from new ones when new
ones alone would fill it. They are late, and new ones can be on time."""

FORECAST_ERROR_S = arrival_rates.WINDOWS * arrival_rates.WINDOW_S
"""Shortest time in which the forecast may prove wrong: the arrivals that it
expects are those of so long."""


class AdmissionControl:
    """Decides by a forecast which queued requests to refuse."""

    def __init__(self) -> None:
        self._returns = return_schedule.ReturnSchedule()
        self._arrivals = arrival_rates.ArrivalRates()
        self._stretch = measured_stretch.MeasuredStretch()

    def record_submission(
        self, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Counts a new request, or recognises one that returns as told."""
        if request.was_placed:
            return
        if not self._returns.record_submission(request, now_s):
            self._arrivals.record(request, now_s)

    def record_end(
        self,
        load: loads.EndpointLoad,
        allocation: loads.Allocation,
        now_s: float,
    ) -> None:
        """Compares a request that was answered with its estimate."""
        self._stretch.record_end(load, allocation, now_s)

    def has_promise(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a request has returned at the time it was told."""
        returned = self._returns.find_return(request, now_s)
        return returned is return_schedule.Return.AS_PROMISED

    def counts_as_late(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether a caller returns without a time of its own.

        It goes behind new callers, as if it had waited.
        """
        returned = self._returns.find_return(request, now_s)
        return returned is return_schedule.Return.UNPROMISED

    def review(
        self,
        states: Sequence[service_pool.EndpointState],
        waiting: queue_order.Waiting,
        now_s: float,
    ) -> Mapping[Hashable, messages.Refusal]:
        """Returns refusals for requests that cannot be answered in time.

        Args:
            states: Open endpoints of the service.
            waiting: Requests that were not placed in this round, the next one
                first.
            now_s: Monotonic time.
        """
        if not states or not waiting:
            return {}
        service = waiting[0][1].request.service
        capacity = capacity_forecast.Capacity(
            states, now_s, self._stretch.get(service, now_s)
        )
        if not capacity.endpoints:
            return {}
        arrivals = self._arrivals.estimate(service, now_s)
        starts_s = capacity_forecast.forecast(
            capacity,
            waiting,
            arrivals,
            (k for k, q in waiting if self.has_promise(q.request, now_s)),
            (k for k, q in waiting if self.counts_as_late(q.request, now_s)),
        )
        served = sorted(
            (arrival_rates.get_size(queued.request), starts_s[key])
            for key, queued in waiting
            if key in starts_s
        )
        return {
            key: self._refuse(queued, capacity, served, arrivals)
            for key, queued in waiting
            # A request that an endpoint has received is not told to return.
            if key not in starts_s and not queued.request.was_placed
        }

    def _refuse(
        self,
        queued: queue_order.QueuedRequest,
        capacity: capacity_forecast.Capacity,
        served: Sequence[tuple[int, float]],
        arrivals: Sequence[arrival_rates.Arrivals],
    ) -> messages.Refusal:
        """Refuses a request.

        Args:
            queued: The request.
            capacity: The resources of its service.
            served: Sizes and start times of the requests that are served.
            arrivals: New requests of the service.
        """
        request, now_s = queued.request, capacity.now_s
        self._returns.forget(request)
        size = arrival_rates.get_size(request)
        starts_s = [start_s for other, start_s in served if other <= size]
        work = capacity.estimate_work(request)
        newcomers_share = sum(
            group.per_s
            * capacity.calculate_share(capacity.estimate_work(group.mean))
            for group in arrivals
            if group.size <= size
        )
        honoured_s = HONOURED_SHARE * max(request.deadline_at_s - now_s, 0.0)
        due_s = self._returns.book(
            request,
            max([*starts_s, now_s + refusals.MIN_RETRY_AFTER_S]),
            min(
                now_s + honoured_s,
                capacity_forecast.calculate_latest_start_s(queued, work),
            ),
            capacity.calculate_share(work)
            / max(1.0 - newcomers_share, RETURN_SHARE),
            now_s,
        )
        if due_s is None:
            retry_after_s = min(FORECAST_ERROR_S, honoured_s)
            self._returns.await_unpromised(
                request, now_s + retry_after_s, now_s
            )
            outlook = messages.CapacityOutlook(len(starts_s), None)
        else:
            retry_after_s = due_s - now_s
            outlook = messages.CapacityOutlook(len(starts_s), retry_after_s)
        return messages.Refusal(
            messages.RefusalReason.NO_TIME, retry_after_s, outlook
        )
