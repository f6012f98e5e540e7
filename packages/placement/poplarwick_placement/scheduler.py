"""Places requests on endpoints, queues them or refuses them."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import crash_evidence
from poplarwick_placement import engine_report
from poplarwick_placement import inherited_load
from poplarwick_placement import late_jobs
from poplarwick_placement import load_management
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import queue_order
from poplarwick_placement import rate_limiter
from poplarwick_placement import refusals
from poplarwick_placement import retry_budget
from poplarwick_placement import running_requests
from poplarwick_placement import service_pool
from poplarwick_placement import silent_ends
from poplarwick_placement import spreading

Key = running_requests.Key

EXPIRE_AFTER_S = 1.0
"""Time past its deadline after which a request is no longer counted; instances
end their requests at the deadline."""


class _SchedulingRound:
    """Values that are shared by all decisions of one moment.

    Attributes:
        now_s: Monotonic time of the decisions.
        awaited: Engines that a queued request waits for; requests behind it
            do not get them.
        waiting: Requests of each service that stay queued, where all endpoints
            limit their rate.
    """

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self.awaited: set[ids.EndpointId] = set()
        self.waiting: collections.Counter[ids.ServiceId] = collections.Counter()
        self._views: dict[ids.EndpointId, loads.LoadView] = {}

    def view(self, load: loads.EndpointLoad) -> loads.LoadView:
        """Returns a cached snapshot of an endpoint's load."""
        endpoint = load.endpoint.id
        found = self._views.get(endpoint)
        if found is None:
            found = self._views[endpoint] = load.make_view(self.now_s)
        return found

    def invalidate(self, endpoints: Iterable[ids.EndpointId]) -> None:
        """Discards the snapshots of endpoints whose load has changed."""
        for endpoint in endpoints:
            self._views.pop(endpoint, None)


class Scheduler:
    """Decides on placements over a set of endpoints; does no I/O.

    Args:
        is_global: Whether all requests in flight are known here. If so,
            requests are packed; otherwise they are spread.
        rng: Source of randomness.
        make_budget: Creates the retry budget of a service.
        is_quarantined: Returns whether no endpoint may get a request.
        evidence: What crashes of endpoints say of requests.
        management: Optional decisions under load.

    Attributes:
        evidence: What crashes of endpoints say of requests.
    """

    def __init__(
        self,
        *,
        is_global: bool,
        rng: random.Random,
        make_budget: Callable[[], retry_budget.RetryBudget],
        is_quarantined: Callable[
            [messages.PlacementRequest], bool
        ] = lambda request: False,
        evidence: crash_evidence.CrashEvidence | None = None,
        management: load_management.LoadManagement | None = None,
    ) -> None:
        self._management = management or load_management.LoadManagement()
        self._is_quarantined = is_quarantined
        self.evidence = evidence or crash_evidence.CrashEvidence()
        self._make_budget = make_budget
        self._budgets: dict[ids.ServiceId, retry_budget.RetryBudget] = {}
        self._is_global = is_global
        self._rng = rng
        self._states: dict[ids.EndpointId, service_pool.EndpointState] = {}
        self._pools: dict[ids.ServiceId, service_pool.ServicePool] = {}
        self._queue: dict[Key, queue_order.QueuedRequest] = {}
        self._running = running_requests.RunningRequests()
        self._inherits_until_s: float | None = None

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of requests that are known to run."""
        return len(self._running)

    def set_candidates(
        self, candidates: Iterable[service_pool.Candidate]
    ) -> None:
        """Replaces the set of endpoints; keeps the load of known ones."""
        before = self._states
        states: dict[ids.EndpointId, service_pool.EndpointState] = {}
        for candidate in candidates:
            endpoint = candidate.endpoint.id
            state = self._states.get(endpoint)
            if (
                state is None
                or state.candidate.endpoint.start != candidate.endpoint.start
            ):
                state = service_pool.make_state(candidate)
            state.candidate = candidate
            state.load.set_endpoint(candidate.endpoint, candidate.profile)
            state.cold_limiter.limit = candidate.cold_limit
            state.set_rate_limit(candidate.rate_limit)
            states[endpoint] = state
        self._states = states
        for endpoint, state in before.items():
            if states.get(endpoint) is not state:
                self.evidence.record_gone(state.candidate.endpoint)
        self._index_endpoints()

    def submit(
        self, key: Key, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Adds a request to the queue."""
        pool = self._get_pool(request.service)
        request = self._management.estimate(request, pool, now_s)
        self._management.record_submission(request, now_s)
        engines = pool.states
        profile = engines[0].candidate.profile if engines else None
        is_long = profile is not None and not packing.is_short(
            request, engines[0].load
        )
        ideal_first_event_s = queue_order.calculate_ideal_first_event_s(
            request, profile, len(engines)
        )
        self._queue[key] = queue_order.QueuedRequest(
            request, now_s, ideal_first_event_s, is_long
        )

    def count_request(self, service: ids.ServiceId, now_s: float) -> None:
        """Counts a request towards the retry budget of its service."""
        self._get_budget(service).count_request(now_s)

    def adopt(
        self,
        key: Key,
        request: messages.PlacementRequest,
        endpoint: ids.EndpointId,
        now_s: float,
        *,
        has_begun: bool,
    ) -> None:
        """Allocates resources to a request that was placed elsewhere."""
        self.record_end(key, messages.Result.GIVEN_UP, now_s)
        state = self._states.get(endpoint)
        if state is None:
            return
        pool = self._get_pool(request.service)
        request = self._management.estimate(request, pool, now_s)
        prefill_s = 0.0
        if not has_begun:
            prefill_s = state.load.calculate_prefill_s(request.prompt_tokens, 1)
        state.load.record_adoption(request.memory_tokens)
        state.load.allocate_primary(
            key, request, prefill_s, request.memory_tokens, now_s
        )
        self._add_running(key, request, endpoint, (), now_s)
        self._update_index(state)
        if has_begun:
            state.load.record_first_event(key, now_s)

    def record_first_event(self, key: Key, now_s: float) -> None:
        """Records the first event of a request."""
        for state in self._find_states(key):
            state.load.record_first_event(key, now_s)
            state.health.record_first_event(now_s)
            self.evidence.record_progress(state.candidate.endpoint, now_s)

    def record_end(
        self,
        key: Key,
        result: messages.Result,
        now_s: float,
        blamed: str | None = None,
        answer: messages.AnswerEnd | None = None,
    ) -> None:
        """Records the end of a request, or that it is no longer needed.

        Args:
            key: The request.
            result: Result of the request.
            now_s: Monotonic time.
            blamed: Address of another endpoint that caused the failure.
            answer: How its answer ended; None if it is of no consequence.
        """
        self._queue.pop(key, None)
        running = self._running.get(key)
        if running is None:
            return
        states = self._find_states(key)
        primary = self._states.get(running.endpoint)
        if primary is not None and result is messages.Result.DONE:
            primary.load.record_response_time(key, now_s)
        if primary is not None:
            self._weigh_answer(key, running, primary, result, answer, now_s)
            self._management.record_answer(
                key, running, primary, result, answer, now_s
            )
        if primary is not None and result is messages.Result.SILENT:
            result = _classify_timeout(primary, key)
        for state in states:
            state.load.release(key, now_s)
            self._update_index(state)
        self._running.remove(key)
        self._management.record_end(key, now_s)
        blamed_state = next(
            (s for s in states if s.candidate.endpoint.address == blamed), None
        )
        if blamed_state is not None and blamed_state is not primary:
            blamed_state.health.record_result(
                messages.Result.UNREACHABLE, now_s
            )
        elif primary is not None:
            primary.health.record_result(result, now_s)
            primary.load.failure_share = primary.health.failure_share
            if result is messages.Result.MISDIRECTED:
                self._index_endpoints()

    def _add_running(
        self,
        key: Key,
        request: messages.PlacementRequest,
        endpoint: ids.EndpointId,
        helpers: tuple[ids.EndpointId, ...],
        now_s: float,
    ) -> None:
        self._running.add(
            key,
            running_requests.RunningRequest(request, endpoint, helpers, now_s),
        )
        self._management.record_start(key, request, now_s)

    def _weigh_answer(
        self,
        key: Key,
        running: running_requests.RunningRequest,
        state: service_pool.EndpointState,
        result: messages.Result,
        answer: messages.AnswerEnd | None,
        now_s: float,
    ) -> None:
        endpoint, request = state.candidate.endpoint, running.request
        if result is messages.Result.UNREACHABLE:
            self.evidence.record_unanswered(endpoint, now_s)
        if answer is None:
            return
        if answer.is_conclusive:
            self.evidence.record_progress(endpoint, now_s)
            self.evidence.record_complete(endpoint, request, now_s)
        elif state.candidate.is_open:
            allocation = state.load.primary_allocations.get(key)
            self.evidence.record_cut(
                endpoint,
                request,
                answer.written_s,
                now_s,
                now_s if allocation is None else allocation.allocated_at_s,
            )

    def find_culprits(self, now_s: float) -> list[crash_evidence.Culprit]:
        """Returns what is newly blamed for crashes."""
        if not self.evidence.has_new_crash:
            return []
        for key in self._running:
            self._record_writing(key, messages.UNCUT_ANSWER_S, now_s)
        return self.evidence.find_culprits()

    def _record_writing(self, key: Key, time_s: float, now_s: float) -> None:
        running = self._running.get(key)
        if running is None:
            return
        state = self._states.get(running.endpoint)
        if (
            state is not None
            and not silent_ends.may_have_ended(state, key)
            and state.load.has_written_for(key, time_s, now_s)
        ):
            self.evidence.record_writing(
                state.candidate.endpoint, running.request, now_s
            )

    def forgive(
        self,
        service: ids.ServiceId,
        parts: frozenset[ids.PromptPartId],
        fingerprint: ids.RequestFingerprint | None,
    ) -> None:
        """Drops the evidence against parts of prompts, or a request."""
        self.evidence.forgive(service, parts, fingerprint)

    def may_have_crashed(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an endpoint cut answers and may have crashed."""
        state = self._states.get(endpoint)
        return state is not None and self.evidence.is_unconfirmed(
            state.candidate.endpoint
        )

    def find_running(
        self, key: Key
    ) -> tuple[messages.PlacementRequest, types.Endpoint] | None:
        """Returns a running request and its endpoint, if both are known."""
        running = self._running.get(key)
        if running is None:
            return None
        state = self._states.get(running.endpoint)
        if state is None:
            return None
        return running.request, state.candidate.endpoint

    def drop_requests(
        self, should_drop: Callable[[Key], bool], now_s: float
    ) -> None:
        """Drops all requests whose keys match a predicate.

        Engines may still run them.
        """
        for key in [*self._queue, *self._running]:
            if should_drop(key):
                self.record_end(key, messages.Result.GIVEN_UP, now_s)
                self._inherits_until_s = now_s + inherited_load.LEARNING_S

    def expire(self, now_s: float) -> None:
        """Drops requests long past their deadline: their instance was lost."""
        for key in self._running:
            running = self._running.get(key)
            if (
                running is not None
                and now_s > running.request.deadline_at_s + EXPIRE_AFTER_S
            ):
                self.record_end(key, messages.Result.GIVEN_UP, now_s)

    def record_connection(
        self, endpoint: ids.EndpointId, now_s: float, *, is_reachable: bool
    ) -> None:
        """Records whether an endpoint that cut answers accepts connections."""
        state = self._states.get(endpoint)
        if state is not None:
            self.evidence.record_report(
                state.candidate.endpoint, answered=is_reachable, now_s=now_s
            )

    def record_report(
        self,
        endpoint: ids.EndpointId,
        report: engine_report.EngineReport | None,
        now_s: float,
    ) -> bool:
        """Records an engine's report.

        Args:
            endpoint: The engine.
            report: What it reports; None if it did not answer.
            now_s: Monotonic time.

        Returns:
            Whether the engine has just become unresponsive.
        """
        state = self._states.get(endpoint)
        if state is None:
            return False
        was_unresponsive = state.health.is_unresponsive
        answered = report is not None
        state.health.record_report(answered=answered)
        self.evidence.record_report(
            state.candidate.endpoint, answered=answered, now_s=now_s
        )
        if report is not None:
            state.last_report_at_s = now_s
            state.load.set_slowdown(max(report.slowdown, 1.0))
            if report.work is not None:
                self._record_work(state, report.work, now_s)
        is_newly_unresponsive = (
            state.health.is_unresponsive and not was_unresponsive
        )
        if is_newly_unresponsive and state.candidate.is_open:
            self.evidence.record_silence(
                state.candidate.endpoint,
                silent_ends.find_silent_requests(state, self._running),
                now_s,
            )
        return is_newly_unresponsive

    def _record_work(
        self,
        state: service_pool.EndpointState,
        work: engine_report.EngineWork,
        now_s: float,
    ) -> None:
        """Compares reported work with the known requests of all instances."""
        if not self._is_global:
            return
        if self._inherits_until_s is None:
            self._inherits_until_s = now_s + inherited_load.LEARNING_S
        if state.load.record_work(
            work, now_s, may_grow=self.may_inherit(now_s)
        ):
            self._update_index(state)

    def get_inherited_load(
        self, endpoint: ids.EndpointId
    ) -> inherited_load.InheritedLoad | None:
        """Returns the load of an engine that belongs to no known request."""
        state = self._states.get(endpoint)
        return None if state is None else state.load.inherited

    def has_inherited_load(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether an engine runs requests that are not known."""
        inherited = self.get_inherited_load(endpoint)
        return inherited is not None and not inherited.is_empty

    def may_inherit(self, now_s: float) -> bool:
        """Returns whether engines may run requests that are not known yet."""
        until_s = self._inherits_until_s
        return self._is_global and (until_s is None or now_s < until_s)

    def is_used(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether any request is known to use an endpoint."""
        state = self._states.get(endpoint)
        return state is not None and state.load.is_used

    def decide(self, now_s: float) -> list[tuple[Key, messages.Decision]]:
        """Returns the decisions possible now; other requests stay queued."""
        self._management.review_running(self._pools.values(), now_s)
        scheduling_round = _SchedulingRound(now_s)
        deferred = self._choose_deferred(scheduling_round)
        ranked = sorted(
            self._queue.items(),
            key=lambda item: self._management.calculate_sort_key(
                item[1], now_s, is_deferred=item[0] in deferred
            ),
        )
        decided: list[tuple[Key, messages.Decision]] = []
        for key, queued in ranked:
            decision = self._decide_one(key, queued, scheduling_round)
            if decision is None:
                decision = self._refuse_hopeless(queued, scheduling_round)
            if decision is not None:
                del self._queue[key]
                decided.append((key, decision))
        waiting = [item for item in ranked if item[0] in self._queue]
        for key, refusal in self._management.review(
            waiting, lambda service: self._get_pool(service).states, now_s
        ):
            del self._queue[key]
            decided.append((key, refusal))
        return decided

    def _refuse_hopeless(
        self,
        queued: queue_order.QueuedRequest,
        scheduling_round: _SchedulingRound,
    ) -> messages.Refusal | None:
        """Refuses a request that endpoints with limited rates cannot reach.

        Where all endpoints of a service limit their rate, the requests ahead in
        the queue decide when this one can start.
        """
        service = queued.request.service
        states = self._get_pool(service).states
        if not states or any(s.send_limiter is None for s in states):
            return None
        rate_per_s = sum(
            state.candidate.rate_limit.per_s
            for state in states
            if state.candidate.rate_limit is not None
        )
        scheduling_round.waiting[service] += 1
        wait_s = scheduling_round.waiting[service] / max(
            rate_limiter.USED_SHARE * rate_per_s, rate_limiter.MIN_RATE_PER_S
        )
        if queued.can_meet_deadline(scheduling_round.now_s + wait_s):
            return None
        return messages.Refusal(messages.RefusalReason.NO_TIME, wait_s)

    def decide_new(self, key: Key, now_s: float) -> messages.Decision | None:
        """Decides on one request unless it must queue behind others."""
        queued = self._queue[key]
        excess = self._management.calculate_excess(queued.request, now_s)
        for other_key, other in self._queue.items():
            if other_key != key and queued.must_follow(other, excess):
                return None
        decision = self._decide_one(key, queued, _SchedulingRound(now_s))
        if decision is not None:
            del self._queue[key]
        return decision

    def _choose_deferred(self, scheduling_round: _SchedulingRound) -> set[Key]:
        """Returns the long prompts that are deferred within their service."""
        now_s = scheduling_round.now_s
        jobs: dict[ids.ServiceId, list[late_jobs.Job]] = {}
        for key, queued in self._queue.items():
            if queued.is_long and now_s <= queued.latest_start_s:
                engines = len(
                    self._find_candidates(
                        queued.request, scheduling_round
                    ).allowed_states
                )
                job = self._management.make_job(key, queued, engines, now_s)
                jobs.setdefault(queued.request.service, []).append(job)
        deferred: set[Key] = set()
        for service, service_jobs in jobs.items():
            if len(service_jobs) > 1:
                free_at_s = now_s + self._calculate_backlog_s(
                    service, scheduling_round
                )
                deferred |= late_jobs.choose_deferred(service_jobs, free_at_s)
        return deferred

    def _calculate_backlog_s(
        self, service: ids.ServiceId, scheduling_round: _SchedulingRound
    ) -> float:
        backlogs = [
            scheduling_round.view(state.load).backlog_s
            for state in self._get_pool(service).states
        ]
        return sum(backlogs) / max(len(backlogs), 1)

    def _decide_one(
        self,
        key: Key,
        queued: queue_order.QueuedRequest,
        scheduling_round: _SchedulingRound,
    ) -> messages.Decision | None:
        request, now_s = queued.request, scheduling_round.now_s
        if not queued.can_meet_deadline(now_s):
            return refusals.refuse(messages.RefusalReason.NO_TIME)
        if self._is_quarantined(request):
            return refusals.refuse(messages.RefusalReason.QUARANTINED)
        if request.is_retry and self.evidence.is_suspected(request):
            return refusals.refuse(messages.RefusalReason.SUSPECTED)
        candidates = self._find_candidates(request, scheduling_round)
        if not candidates.has_allowed():
            return refusals.wait_for_endpoint(queued, now_s)
        if self._management.must_wait(request, now_s):
            return None
        is_accused = self.evidence.is_accused(request)
        apart_from = request.unreachable
        if is_accused:
            if self._has_running_copy(request, now_s):
                return None
            apart_from |= self._find_endpoints_of_accused()
        if apart_from:
            candidates = self._find_candidates_apart(
                request, apart_from, candidates, scheduling_round
            )
        choice = self._choose(
            request, candidates, scheduling_round, is_spread=is_accused
        )
        if choice is None:
            return refusals.refuse_too_large(request, candidates.allowed_states)
        if not self._management.should_start(queued, choice, now_s):
            scheduling_round.awaited.update(choice.engines)
            return None
        if request.is_retry and not self._get_budget(request.service).take(
            now_s
        ):
            return refusals.refuse(messages.RefusalReason.REPEAT_BUDGET)
        return self._allocate(key, request, choice, scheduling_round)

    def _has_running_copy(
        self, request: messages.PlacementRequest, now_s: float
    ) -> bool:
        """Returns whether the outcome of a copy of an accused request is open.

        One copy at a time shows whether the request crashes endpoints.
        """
        assert request.fingerprint is not None
        copies = self._running.find_copies(request.fingerprint)
        for key in copies:
            self._record_writing(key, messages.ANSWER_START_S, now_s)
        return bool(copies) and self.evidence.is_accused(request)

    def _find_endpoints_of_accused(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that run accused requests.

        A crash of another one then tells which request causes it.
        """
        return frozenset(
            running.endpoint
            for running in self._running.iter_requests()
            if self.evidence.is_accused(running.request)
        )

    def _find_candidates_apart(
        self,
        request: messages.PlacementRequest,
        apart_from: frozenset[ids.EndpointId],
        candidates: service_pool.RequestCandidates,
        scheduling_round: _SchedulingRound,
    ) -> service_pool.RequestCandidates:
        """Returns the candidates without some endpoints, if any are left."""
        apart = self._find_candidates(
            dataclasses.replace(request, avoided=request.avoided | apart_from),
            scheduling_round,
        )
        return apart if apart.has_allowed() else candidates

    def _choose(
        self,
        request: messages.PlacementRequest,
        candidates: service_pool.RequestCandidates,
        scheduling_round: _SchedulingRound,
        *,
        is_spread: bool,
    ) -> packing.Choice | None:
        if self._is_global and not is_spread:
            return packing.choose(
                request,
                candidates,
                scheduling_round.awaited,
                scheduling_round.now_s,
            )
        return spreading.choose(
            request,
            [candidates.view(load) for load in packing.iter_free(candidates)],
            candidates.view_helpers(),
            self._rng,
        )

    def _allocate(
        self,
        key: Key,
        request: messages.PlacementRequest,
        choice: packing.Choice,
        scheduling_round: _SchedulingRound,
    ) -> messages.Placement:
        now_s = scheduling_round.now_s
        reason = self._format_reason(choice, now_s)
        total_reserved_tokens = sum(
            reserved_tokens for _, reserved_tokens in choice.helpers
        )
        choice.primary.allocate_primary(
            key,
            request,
            choice.prefill_s,
            request.memory_tokens - total_reserved_tokens,
            now_s,
        )
        for load, reserved_tokens in choice.helpers:
            load.allocate_helper(
                key, request, choice.prefill_s, reserved_tokens, now_s
            )
        scheduling_round.invalidate(choice.engines)
        primary = choice.primary.endpoint
        state = self._states[primary.id]
        self._update_index(state)
        state.record_send(now_s)
        for load, _ in choice.helpers:
            # A reservation is a call to the helper as well.
            limiter = self._states[load.endpoint.id].send_limiter
            if limiter is not None:
                limiter.record_send(now_s)
        self._add_running(
            key,
            request,
            primary.id,
            tuple(load.endpoint.id for load, _ in choice.helpers),
            now_s,
        )
        return messages.Placement(
            primary.id,
            primary.address,
            tuple(
                messages.Helper(
                    load.endpoint.id, load.endpoint.address, reserved_tokens
                )
                for load, reserved_tokens in choice.helpers
            ),
            choice.first_event_s,
            reason,
            request.estimated_tokens,
            request.cost_samples,
        )

    def _format_reason(self, choice: packing.Choice, now_s: float) -> str:
        primary = choice.primary
        rule = "packed" if self._is_global else "spread"
        return (
            f"{rule} "
            f"running={len(primary.primary_allocations)}/{primary.slots} "
            f"backlog_s={primary.calculate_backlog_s(now_s):.3f} "
            f"pace={primary.slowdown:.2f} loss={choice.loss:.0f}"
        )

    def _find_candidates(
        self,
        request: messages.PlacementRequest,
        scheduling_round: _SchedulingRound,
    ) -> service_pool.RequestCandidates:
        return service_pool.RequestCandidates(
            self._get_pool(request.service),
            request,
            scheduling_round.now_s,
            scheduling_round.view,
        )

    def _get_pool(self, service: ids.ServiceId) -> service_pool.ServicePool:
        return self._pools.get(service) or service_pool.ServicePool()

    def _update_index(self, state: service_pool.EndpointState) -> None:
        self._get_pool(state.candidate.endpoint.service).update(state)

    def _index_endpoints(self) -> None:
        self._pools = {}
        for state in self._states.values():
            if state.candidate.is_open and not state.health.is_replaced:
                self._pools.setdefault(
                    state.candidate.endpoint.service,
                    service_pool.ServicePool(),
                ).add(state)

    def _get_budget(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _find_states(self, key: Key) -> list[service_pool.EndpointState]:
        running = self._running.get(key)
        if running is None:
            return []
        found = (running.endpoint, *running.helpers)
        return [self._states[e] for e in found if e in self._states]


def _classify_timeout(
    state: service_pool.EndpointState, key: Key
) -> messages.Result:
    """Returns the result to record for a request that timed out.

    Requests may take longer than their route allows. An endpoint that has
    succeeded since the request was placed is not unresponsive.
    """
    allocation = state.load.primary_allocations.get(key)
    if (
        allocation is not None
        and state.health.last_success_at_s > allocation.allocated_at_s
    ):
        return messages.Result.GIVEN_UP
    return messages.Result.SILENT
