"""Compares the indexed choice of endpoints with the plain reference."""

from __future__ import annotations

import reference_packing
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import loads
from poplarwick_placement import messages
from poplarwick_placement import packing
from poplarwick_placement import service_pool

NOW_S = 100.0
SHORT_TOKENS = 5_000

running = st.tuples(
    st.sampled_from((5_000, 45_000, 180_000)),
    st.booleans(),  # The first event has been produced.
    st.floats(0.0, 3.0),  # Age in seconds.
)
engine_load = st.tuples(
    st.lists(running, max_size=8),
    st.sampled_from((1.0, 1.0, 1.0, 1.3, 4.0)),  # Slowdown.
    st.sampled_from((0.0, 0.0, 0.1, 0.5)),  # Share of failures.
    st.booleans(),  # A part is prefilled for another engine.
    st.booleans(),  # The endpoint is in a backoff.
)


def make_request(tokens, now_s, number=0):
    return messages.PlacementRequest(
        request_id=ids.RequestId(f"r{number}"),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=1_000,
        on_time_at_s=now_s + (0.3 if tokens <= SHORT_TOKENS else 3.0),
        deadline_at_s=now_s + 10.0,
        pause_limit_s=0.25 if tokens <= SHORT_TOKENS else 1.0,
    )


def make_pool(described):
    pool = service_pool.ServicePool()
    for number, (jobs, slowdown, failures, helps, is_out) in enumerate(
        described
    ):
        state = service_pool.make_state(
            service_pool.Candidate(
                engines.make_endpoint(number), engines.PROFILE, True, 0.0, 36.0
            )
        )
        state.load.set_slowdown(slowdown)
        state.load.failure_share = failures
        state.health.backoff_until_s = NOW_S + 1 if is_out else 0.0
        pool.add(state)
        for job, (tokens, has_begun, age_s) in enumerate(jobs):
            at_s = NOW_S - age_s
            request = make_request(tokens, at_s)
            prefill_s = state.load.calculate_prefill_s(tokens, 4)
            state.load.allocate_primary(job, request, prefill_s, tokens, at_s)
            if has_begun:
                state.load.record_first_event(job, NOW_S - age_s / 2)
        if helps:
            state.load.allocate_helper(
                "h", make_request(45_000, NOW_S), 0.2, 9_000, NOW_S - 0.1
            )
        pool.update(state)
    return pool


def rank(choice):
    return None if choice is None else (choice.loss, choice.first_event_s)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(engine_load, min_size=1, max_size=24),
    st.sampled_from((1_000, 5_000, 45_000, 180_000, 700_000)),
    st.sets(st.integers(0, 23), max_size=3),
)
def test_choice_is_as_good_as_that_of_the_plain_reference(
    described, tokens, awaited_numbers
):
    pool = make_pool(described)
    request = make_request(tokens, NOW_S)
    views = {id(s.load): s.load.make_view(NOW_S) for s in pool.states}
    candidates = service_pool.RequestCandidates(
        pool, request, NOW_S, lambda load: views[id(load)]
    )
    awaited = {engines.make_endpoint(number).id for number in awaited_numbers}
    helper_views = candidates.view_helpers()
    expected = reference_packing.choose(
        request, helper_views, helper_views, awaited, NOW_S
    )
    choice = packing.choose(request, candidates, awaited, NOW_S)
    if tokens <= SHORT_TOKENS and choice is not None and expected is not None:
        assert choice.loss == expected.loss
        assert packing.get_preference(choice.primary) == packing.get_preference(
            expected.primary
        )
        assert (
            choice.first_event_s
            <= expected.first_event_s + packing.FIRST_EVENT_TOLERANCE_S
        )
    else:
        assert rank(choice) == rank(expected)
        if choice is not None:
            assert choice.engines == expected.engines


def test_pool_groups_endpoints_by_free_slots_as_their_load_changes():
    pool = make_pool([([], 1.0, 0.0, False, False)] * 3)
    request = make_request(SHORT_TOKENS, NOW_S)

    def read_groups():
        return [
            [load.endpoint.id for load in group]
            for group in pool.iter_groups(lambda state: True)
        ]

    assert read_groups() == [["e0", "e1", "e2"]]
    state = pool.states[1]
    for number in range(engines.PROFILE.slots):
        state.load.allocate_primary(number, request, 0.0, 0, NOW_S)
        pool.update(state)
        if number == 0:
            assert read_groups() == [["e1"], ["e0", "e2"]]
    assert read_groups() == [["e0", "e2"]]
    state.load.release(0, NOW_S)
    pool.update(state)
    assert read_groups() == [["e0", "e2"], ["e1"]]


def test_burst_of_short_requests_examines_few_of_many_endpoints(monkeypatch):
    """Load pattern: a hundred label questions a second before 200 engines."""
    scheduler = engines.make_scheduler(seed=1)
    scheduler.set_candidates(
        service_pool.Candidate(
            engines.make_endpoint(number), engines.PROFILE, True, 0.0, 36.0
        )
        for number in range(200)
    )
    for number in range(800):
        scheduler.adopt(
            ("running", number),
            make_request(SHORT_TOKENS, 0.0, number),
            engines.make_endpoint(number % 200).id,
            0.0,
            has_begun=True,
        )
    examined = []
    original = loads.LoadView.estimate_first_event_s
    monkeypatch.setattr(
        loads.LoadView,
        "estimate_first_event_s",
        lambda view, request, prefill_s: (
            examined.append(view) or original(view, request, prefill_s)
        ),
    )
    for number in range(100):
        now_s = 1.0 + number / 100
        key = ("new", number)
        scheduler.submit(key, make_request(SHORT_TOKENS, now_s, number), now_s)
        decision = scheduler.decide_new(key, now_s)
        assert isinstance(decision, messages.Placement)
    assert len(examined) <= 100 * 10
