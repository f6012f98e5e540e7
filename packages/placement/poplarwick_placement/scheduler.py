"""Places requests on endpoints, keeps them waiting or refuses them."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import cold_window
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import retry_budget
from poplarwick_placement import spreading
from poplarwick_placement import triage
from poplarwick_placement import trust
from poplarwick_placement import waiting

Key = Hashable
"""Tells one asked-for request from all others."""

RETRY_AFTER_MIN_S = 0.1
"""Shortest time that a refused caller is asked to wait."""

ABSENT_PATIENCE = 0.125
"""Part of the time in which an answer is on time that a request waits for an
endpoint of a service that has none; longer helps callers less than a refusal
with which they can turn elsewhere."""

ABSENT_RETRY_AFTER_S = 1.0
"""When to come back to a service without endpoints: they come and go within
seconds."""


EXPIRE_AFTER_S = 1.0
"""Time past its deadline after which a request is no longer counted; instances
end theirs at the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used.

    Attributes:
        endpoint: The endpoint.
        profile: Profile of its engine, None for a plain service.
        is_open: Whether it takes new work.
        cold_until_s: Monotonic time until which it is cold.
        cold_limit: Most sends to it in a second while it is cold.
        region: Region that it is in; None where that is not known.
    """

    endpoint: types.Endpoint
    profile: types.EngineProfile | None
    is_open: bool
    cold_until_s: float
    cold_limit: float
    region: ids.RegionId | None = None


@dataclasses.dataclass(slots=True)
class _Place:
    candidate: Candidate
    load: loads.EndpointLoad
    trust: trust.Trust
    window: cold_window.ColdWindow


@dataclasses.dataclass(slots=True)
class _Running:
    wanted: messages.PlacementRequest
    endpoint: ids.EndpointId
    helpers: tuple[ids.EndpointId, ...]


class _Turn:
    """What is worked out once for all decisions of one moment.

    Attributes:
        now_s: The moment.
        awaited: Engines that a request waits for; they are not given to those
            behind it.
        open_by_service: Endpoints that take new work.
    """

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self.awaited: set[ids.EndpointId] = set()
        self.open_by_service: dict[ids.ServiceId, list[_Place]] = {}
        self._views: dict[ids.EndpointId, loads.LoadView] = {}

    def view(self, place: _Place) -> loads.LoadView:
        """Returns the load of an endpoint."""
        endpoint = place.candidate.endpoint.id
        found = self._views.get(endpoint)
        if found is None:
            found = self._views[endpoint] = place.load.make_view(self.now_s)
        return found

    def forget(self, endpoints: Iterable[ids.EndpointId]) -> None:
        """Forgets loads that have changed."""
        for endpoint in endpoints:
            self._views.pop(endpoint, None)


class Scheduler:
    """Decides over a set of endpoints; does no input or output.

    Args:
        is_global: Whether all requests in flight are known here. If so,
            requests are packed; otherwise they are spread.
        rng: Source of randomness.
        make_budget: Makes the allowance of repeats of a service.
    """

    def __init__(
        self,
        *,
        is_global: bool,
        rng: random.Random,
        make_budget: Callable[[], retry_budget.RetryBudget],
    ) -> None:
        self._make_budget = make_budget
        self._budgets: dict[ids.ServiceId, retry_budget.RetryBudget] = {}
        self._is_global = is_global
        self._rng = rng
        self._places: dict[ids.EndpointId, _Place] = {}
        self._waiting: dict[Key, waiting.Waiting] = {}
        self._running: dict[Key, _Running] = {}

    @property
    def queued_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Number of requests that are known to run."""
        return len(self._running)

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Takes over the endpoints in service; loads of known ones stay."""
        places: dict[ids.EndpointId, _Place] = {}
        for candidate in candidates:
            endpoint = candidate.endpoint.id
            known = self._places.get(endpoint)
            if known is None or _has_restarted(known, candidate):
                known = _make_place(candidate)
            known.candidate = candidate
            known.load.endpoint = candidate.endpoint
            known.load.set_profile(candidate.profile)
            known.window.limit = candidate.cold_limit
            places[endpoint] = known
        self._places = places

    def submit(
        self, key: Key, wanted: messages.PlacementRequest, now_s: float
    ) -> None:
        """Takes a request that is to be placed."""
        engines = [
            place
            for place in self._places.values()
            if place.candidate.endpoint.service == wanted.service
            and place.candidate.is_open
        ]
        profile = engines[0].candidate.profile if engines else None
        is_long = profile is not None and not packing.is_short(
            wanted, engines[0].load
        )
        ideal_s = waiting.calculate_ideal_s(wanted, profile, len(engines))
        self._waiting[key] = waiting.Waiting(wanted, now_s, ideal_s, is_long)

    def count_request(self, service: ids.ServiceId, now_s: float) -> None:
        """Counts a request towards its service's allowance of repeats."""
        self._budget_of(service).note_request(now_s)

    def adopt(
        self,
        key: Key,
        wanted: messages.PlacementRequest,
        endpoint: ids.EndpointId,
        now_s: float,
        *,
        has_begun: bool,
    ) -> None:
        """Books a request that was placed elsewhere."""
        self.record_end(key, messages.Result.GIVEN_UP, now_s)
        place = self._places.get(endpoint)
        if place is None:
            return
        read_s = 0.0
        if not has_begun:
            read_s = place.load.calculate_read_s(wanted.prompt_tokens, 1)
        place.load.book_lead(key, wanted, read_s, wanted.memory_tokens, now_s)
        self._running[key] = _Running(wanted, endpoint, ())
        if has_begun:
            place.load.note_first(key, now_s)

    def record_first_event(self, key: Key, now_s: float) -> None:
        """Notes the first event of a request."""
        for place in self._places_of(key):
            place.load.note_first(key, now_s)
            place.trust.note_first(now_s)

    def record_end(
        self,
        key: Key,
        result: messages.Result,
        now_s: float,
        blamed: str | None = None,
    ) -> None:
        """Notes the end of a request, or that it is not wanted any more.

        Args:
            key: The request.
            result: How it ended.
            now_s: Monotonic time.
            blamed: Address of another endpoint that made it fail.
        """
        self._waiting.pop(key, None)
        running = self._running.get(key)
        if running is None:
            return
        places = self._places_of(key)
        lead = self._places.get(running.endpoint)
        if lead is not None and result is messages.Result.DONE:
            lead.load.note_answer(key, now_s)
        if lead is not None and result is messages.Result.SILENT:
            result = _judge_silence(lead, key)
        for place in places:
            place.load.release(key, now_s)
        del self._running[key]
        blamed_place = next(
            (p for p in places if p.candidate.endpoint.address == blamed), None
        )
        if blamed_place is not None and blamed_place is not lead:
            blamed_place.trust.note(messages.Result.UNREACHABLE, now_s)
        elif lead is not None:
            lead.trust.note(result, now_s)
            lead.load.failure_share = lead.trust.failure_share

    def drop_requests(
        self, has_gone: Callable[[Key], bool], now_s: float
    ) -> None:
        """Drops all requests whose keys are told to be gone."""
        for key in [*self._waiting, *self._running]:
            if has_gone(key):
                self.record_end(key, messages.Result.GIVEN_UP, now_s)

    def expire(self, now_s: float) -> None:
        """Drops requests whose deadline is long over: their instance died."""
        for key, running in list(self._running.items()):
            if now_s > running.wanted.deadline_at_s + EXPIRE_AFTER_S:
                self.record_end(key, messages.Result.GIVEN_UP, now_s)

    def record_report(
        self, endpoint: ids.EndpointId, pace: float | None
    ) -> bool:
        """Notes an engine's report.

        Args:
            endpoint: The engine.
            pace: How slow it says that it is, 1 being its profile; None if
                it did not answer.

        Returns:
            Whether the engine has just come to count as lost.
        """
        place = self._places.get(endpoint)
        if place is None:
            return False
        was_lost = place.trust.is_lost
        place.trust.note_report(answered=pace is not None)
        if pace is not None:
            place.load.set_pace(max(pace, 1.0))
        return place.trust.is_lost and not was_lost

    def decide(self, now_s: float) -> list[tuple[Key, messages.Decision]]:
        """Decides what can be decided now; the rest goes on waiting."""
        turn = _Turn(now_s)
        last = self._choose_last(turn)
        ranked = sorted(
            self._waiting.items(),
            key=lambda item: waiting.make_rank(
                item[1], now_s, goes_last=item[0] in last
            ),
        )
        decided: list[tuple[Key, messages.Decision]] = []
        for key, one in ranked:
            decision = self._decide_one(key, one, turn)
            if decision is not None:
                del self._waiting[key]
                decided.append((key, decision))
        return decided

    def decide_new(self, key: Key, now_s: float) -> messages.Decision | None:
        """Decides on one request unless others like it wait already."""
        one = self._waiting[key]
        for other_key, other in self._waiting.items():
            is_alike = (
                other.is_long == one.is_long
                and other.wanted.service == one.wanted.service
            )
            if is_alike and other_key != key:
                return None
        decision = self._decide_one(key, one, _Turn(now_s))
        if decision is not None:
            del self._waiting[key]
        return decision

    def _choose_last(self, turn: _Turn) -> set[Key]:
        """Returns the long prompts that yield to others of their service."""
        jobs: dict[ids.ServiceId, list[triage.Job]] = {}
        for key, one in self._waiting.items():
            if one.is_long and turn.now_s <= one.latest_start_s:
                engines = len(self._find_open(one.wanted, turn))
                job = waiting.make_job(key, one, engines)
                jobs.setdefault(one.wanted.service, []).append(job)
        last: set[Key] = set()
        for service, waits in jobs.items():
            if len(waits) > 1:
                free_at_s = turn.now_s + self._calculate_backlog_s(
                    service, turn
                )
                last |= triage.choose_last(waits, free_at_s)
        return last

    def _calculate_backlog_s(
        self, service: ids.ServiceId, turn: _Turn
    ) -> float:
        backlogs = [
            turn.view(place).backlog_s
            for place in turn.open_by_service.get(service, ())
        ]
        return sum(backlogs) / max(len(backlogs), 1)

    def _decide_one(
        self, key: Key, one: waiting.Waiting, turn: _Turn
    ) -> messages.Decision | None:
        wanted, now_s = one.wanted, turn.now_s
        if not one.has_time(now_s):
            return _refuse(messages.RefusalReason.NO_TIME)
        open_ = self._find_open(wanted, turn)
        if not open_:
            return _wait_for_endpoint(one, now_s)
        choice = self._choose(wanted, _filter_trusted(open_, now_s), turn)
        if choice is None:
            return _refuse_too_large(wanted, open_)
        if not waiting.should_start(one, choice, now_s):
            turn.awaited.update(choice.engines)
            return None
        if wanted.is_retry and not self._budget_of(wanted.service).take(now_s):
            return _refuse(messages.RefusalReason.REPEAT_BUDGET)
        return self._book(key, wanted, choice, turn)

    def _choose(
        self,
        wanted: messages.PlacementRequest,
        usable: list[_Place],
        turn: _Turn,
    ) -> packing.Choice | None:
        leads = [
            turn.view(place)
            for place in usable
            if turn.now_s >= place.candidate.cold_until_s
            or place.window.has_room(turn.now_s)
        ]
        helping = [turn.view(place) for place in usable]
        if self._is_global:
            return packing.choose(
                wanted, leads, helping, turn.awaited, turn.now_s
            )
        return spreading.choose(wanted, leads, helping, self._rng)

    def _book(
        self,
        key: Key,
        wanted: messages.PlacementRequest,
        choice: packing.Choice,
        turn: _Turn,
    ) -> messages.Placement:
        now_s = turn.now_s
        reason = self._explain(choice, now_s)
        reserved = sum(ticket for _, ticket in choice.helpers)
        choice.lead.book_lead(
            key, wanted, choice.read_s, wanted.memory_tokens - reserved, now_s
        )
        for load, ticket in choice.helpers:
            load.book_part(key, wanted, choice.read_s, ticket, now_s)
        turn.forget(choice.engines)
        lead = choice.lead.endpoint
        place = self._places[lead.id]
        if now_s < place.candidate.cold_until_s:
            place.window.note_send(now_s)
        self._running[key] = _Running(
            wanted,
            lead.id,
            tuple(load.endpoint.id for load, _ in choice.helpers),
        )
        return messages.Placement(
            lead.id,
            lead.address,
            tuple(
                messages.Helper(load.endpoint.id, load.endpoint.address, ticket)
                for load, ticket in choice.helpers
            ),
            choice.first_s,
            reason,
        )

    def _explain(self, choice: packing.Choice, now_s: float) -> str:
        lead = choice.lead
        rule = "packed" if self._is_global else "spread"
        return (
            f"{rule} running={len(lead.leads)}/{lead.slots} "
            f"backlog_s={lead.calculate_backlog_s(now_s):.3f} "
            f"pace={lead.pace:.2f} loss={choice.loss:.0f}"
        )

    def _find_open(
        self, wanted: messages.PlacementRequest, turn: _Turn
    ) -> list[_Place]:
        open_ = turn.open_by_service.get(wanted.service)
        if open_ is None:
            open_ = turn.open_by_service[wanted.service] = [
                place
                for place in self._places.values()
                if place.candidate.is_open
                and not place.trust.is_replaced
                and place.candidate.endpoint.service == wanted.service
            ]
        if not wanted.avoided and not wanted.regions:
            return open_
        return [
            place
            for place in open_
            if place.candidate.endpoint.id not in wanted.avoided
            and (not wanted.regions or place.candidate.region in wanted.regions)
        ]

    def _budget_of(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _places_of(self, key: Key) -> list[_Place]:
        running = self._running.get(key)
        if running is None:
            return []
        found = (running.endpoint, *running.helpers)
        return [self._places[e] for e in found if e in self._places]


def _judge_silence(place: _Place, key: Key) -> messages.Result:
    """Returns what the silence of one request says of its endpoint.

    Requests may take longer than their route allows; an endpoint that has
    answered a later one meanwhile is not silent.
    """
    booking = place.load.leads.get(key)
    if booking is not None and place.trust.good_at_s > booking.booked_at_s:
        return messages.Result.GIVEN_UP
    return messages.Result.SILENT


def _filter_trusted(open_: list[_Place], now_s: float) -> list[_Place]:
    trusted = [
        place
        for place in open_
        if place.trust.allows(len(place.load.leads), now_s)
    ]
    if trusted:
        return trusted
    # Where none is trusted, the fault is more likely on the way to them.
    return open_


def _refuse_too_large(
    wanted: messages.PlacementRequest, open_: list[_Place]
) -> messages.Refusal | None:
    """Refuses a prompt that no group of these engines could ever hold."""
    sizes = sorted(
        (p.load.profile.memory_tokens for p in open_ if p.load.profile),
        reverse=True,
    )
    largest = sum(sizes[: packing.GROUP_SIZES[0]])
    if not sizes or wanted.memory_tokens <= largest * loads.MEMORY_SHARE:
        return None
    return messages.Refusal(
        messages.RefusalReason.TOO_LARGE, ABSENT_RETRY_AFTER_S
    )


def _wait_for_endpoint(
    one: waiting.Waiting, now_s: float
) -> messages.Refusal | None:
    on_time_s = one.wanted.on_time_at_s - one.arrived_at_s
    if now_s - one.arrived_at_s < ABSENT_PATIENCE * on_time_s:
        return None
    return messages.Refusal(
        messages.RefusalReason.NO_ENDPOINT, ABSENT_RETRY_AFTER_S
    )


def _has_restarted(known: _Place, candidate: Candidate) -> bool:
    before = known.candidate.endpoint
    return before.started_at_ms != candidate.endpoint.started_at_ms


def _make_place(candidate: Candidate) -> _Place:
    return _Place(
        candidate,
        loads.EndpointLoad(candidate.endpoint, candidate.profile),
        trust.Trust(),
        cold_window.ColdWindow(candidate.cold_limit),
    )


def _refuse(reason: messages.RefusalReason) -> messages.Refusal:
    return messages.Refusal(reason, RETRY_AFTER_MIN_S)
