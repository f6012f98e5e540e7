"""Compares choices for long prompts with the plain reference.

Fleets, loads and what happens to them are random. The scheduler keeps snapshots
and indexes from one decision to the next, so they are compared in a sequence of
decisions rather than one at a time.
"""

from __future__ import annotations

import random

import pytest
import reference_packing
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import engine_report
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import rate_limiter
from poplarwick_placement import service_pool

STEPS = 80
PROMPTS = (2_000, 5_000, 30_000, 45_000, 180_000, 180_000, 300_000, 700_000)
REGIONS = (ids.RegionId("north"), ids.RegionId("south"))
ENDED = (
    messages.Result.DONE,
    messages.Result.DONE,
    messages.Result.DONE,
    messages.Result.FAILED,
    messages.Result.BROKEN,
    messages.Result.FULL,
)


@pytest.fixture(name="compared")
def fixture_compared(monkeypatch):
    """Compares each choice that a scheduler asks for; lists the long ones."""
    compared = []
    choose = packing.choose

    def compare(request, candidates, awaited, now_s):
        helper_loads = find_helpers(candidates, request, now_s)
        primary_loads = list(packing.iter_free(candidates))
        is_long = primary_loads and not packing.is_short(
            request, primary_loads[0]
        )
        choice = choose(request, candidates, awaited, now_s)
        if is_long:
            expected = reference_packing.choose(
                request,
                [candidates.view(load) for load in primary_loads],
                [candidates.view(load) for load in helper_loads],
                awaited,
                now_s,
            )
            assert describe(choice) == describe(expected)
            compared.append(choice)
        return choice

    monkeypatch.setattr(packing, "choose", compare)
    return compared


def find_helpers(candidates, request, now_s):
    """Lists the usable endpoints by asking each one for itself."""
    states = candidates.allowed_states
    healthy = [state for state in states if state.is_healthy(now_s)]
    return [
        state.load for state in healthy or states if state.allows_rate(now_s)
    ]


def describe(choice):
    if choice is None:
        return None
    return (
        choice.primary.endpoint.id,
        [(load.endpoint.id, tokens) for load, tokens in choice.helpers],
        choice.prefill_s,
        choice.starts_in_s,
        choice.first_event_s,
        choice.loss,
    )


def make_request(rng, now_s):
    tokens = rng.choice(PROMPTS)
    is_short = tokens <= 5_000
    return messages.PlacementRequest(
        request_id=ids.RequestId("r"),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=rng.choice((100, 1_000, 20_000)),
        on_time_at_s=now_s + (0.3 if is_short else rng.choice((0.5, 3.0))),
        deadline_at_s=now_s + 10.0,
        pause_limit_s=rng.choice((0.06, 0.25, 0.25, 1.0, 2.5)),
        organisation=rng.choice(("", "a", "b")),
        avoided=frozenset(
            engines.make_endpoint(rng.randrange(4)).id
            for _ in range(rng.choice((0, 0, 0, 2)))
        ),
        regions=frozenset(rng.sample(REGIONS, rng.choice((0, 0, 0, 1)))),
    )


def offer(rng, scheduler, count, now_s):
    limit = rate_limiter.RateLimit(20.0) if rng.random() < 0.1 else None
    scheduler.set_candidates(
        service_pool.Candidate(
            engines.make_endpoint(number),
            engines.PROFILE,
            rng.random() < 0.95,
            now_s + rng.choice((0.0, 0.0, 0.0, 1.0)),
            rng.choice((1.0, 36.0)),
            region=rng.choice(REGIONS),
            rate_limit=limit,
        )
        for number in range(count)
    )


def take_step(rng, scheduler, running, count, now_s):
    """Lets something happen to the fleet that the next decision depends on."""
    match rng.randrange(6):
        case 0 | 1 if running:
            key = rng.choice(running)
            scheduler.record_first_event(key, now_s)
        case 2 | 3 if running:
            key = running.pop(rng.randrange(len(running)))
            answer = messages.AnswerEnd(
                is_complete=True, written_s=0.1, events=rng.randrange(1, 60)
            )
            scheduler.record_end(key, rng.choice(ENDED), now_s, answer=answer)
        case 4:
            scheduler.record_report(
                engines.make_endpoint(rng.randrange(count)).id,
                engine_report.EngineReport(rng.choice((1.0, 1.0, 1.2, 4.0)))
                if rng.random() < 0.8
                else None,
                now_s,
            )
        case 5 if rng.random() < 0.1:
            offer(rng, scheduler, count, now_s)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 1_000_000),
    st.sampled_from((1, 2, 5, 13, 24, 60)),
    st.sampled_from((0.0, 0.5, 0.9)),
    st.booleans(),
)
def check_random_days(compared, seed, count, utilization, has_contention):
    rng = random.Random(seed)
    scheduler = engines.make_scheduler(seed=1, has_contention=has_contention)
    now_s = 10.0
    offer(rng, scheduler, count, now_s)
    running = []
    for number in range(int(count * engines.PROFILE.slots * utilization)):
        key = ("f", number)
        scheduler.adopt(
            key,
            make_request(rng, now_s),
            engines.make_endpoint(rng.randrange(count)).id,
            now_s,
            has_begun=rng.random() < 0.9,
        )
        running.append(key)
    for number in range(STEPS):
        now_s += rng.choice((0.0, 0.001, 0.05, 0.4))
        take_step(rng, scheduler, running, count, now_s)
        if rng.random() < 0.7:
            key = ("r", number)
            scheduler.submit(key, make_request(rng, now_s), now_s)
            if isinstance(scheduler.decide_new(key, now_s), messages.Placement):
                running.append(key)
        if rng.random() < 0.3:
            for key, decision in scheduler.decide(now_s):
                if isinstance(decision, messages.Placement):
                    running.append(key)


def test_random_days_place_long_prompts_as_the_reference_does(compared):
    check_random_days(compared)
    assert sum(choice is not None and choice.loss > 0 for choice in compared)
    assert sum(
        choice is not None and choice.loss == 0 and len(choice.helpers) > 0
        for choice in compared
    )


@pytest.mark.parametrize("has_contention", [False, True])
def test_long_prompt_before_many_busy_engines_compares_each_once(
    monkeypatch, has_contention
):
    """Load pattern: a long prompt stalls some request on each of 200 engines.

    The weight lost there is the same for groups of all sizes.
    """
    scheduler = engines.make_scheduler(seed=1, has_contention=has_contention)
    scheduler.set_candidates(
        service_pool.Candidate(
            engines.make_endpoint(number), engines.PROFILE, True, 0.0, 36.0
        )
        for number in range(200)
    )
    rng = random.Random(1)
    for number in range(800):
        request = messages.PlacementRequest(
            request_id=ids.RequestId("r"),
            service=engines.POOL,
            prompt_tokens=rng.randrange(1_000, 5_000),
            output_tokens=1_000,
            on_time_at_s=3.0,
            deadline_at_s=20.0,
            pause_limit_s=0.06,
        )
        scheduler.adopt(
            ("f", number),
            request,
            engines.make_endpoint(number % 200).id,
            0.0,
            has_begun=True,
        )
    examined = []
    original = loads.EndpointLoad.calculate_stall_loss
    monkeypatch.setattr(
        loads.EndpointLoad,
        "calculate_stall_loss",
        lambda load, prefill_s, now_s: (
            examined.append(load) or original(load, prefill_s, now_s)
        ),
    )
    request = messages.PlacementRequest(
        request_id=ids.RequestId("r"),
        service=engines.POOL,
        prompt_tokens=180_000,
        output_tokens=1_000,
        on_time_at_s=4.0,
        deadline_at_s=21.0,
        pause_limit_s=1.0,
    )
    scheduler.submit("long", request, 1.0)
    scheduler.decide_new("long", 1.0)
    # The members of the groups that are evaluated: 12, 6, 3 and 1.
    assert len(examined) <= 22
