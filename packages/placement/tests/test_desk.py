"""The desk: booking, waiting, refusing and what it learns of endpoints."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_bench.replay import engines as worlds
from poplarwick_core import ids
from poplarwick_placement import messages
from poplarwick_placement import scheduler

SHORT = 5_000
LONG = 180_000


def make_scheduler(engines=4, *, is_global=True, **changes):
    placer = worlds.make_scheduler(is_global=is_global, seed=1)
    placer.set_candidates(make_candidates(engines, **changes))
    return placer


def make_candidates(engines=4, *, cold_until_s=0.0, limit=36.0, profile=True):
    return [
        scheduler.Candidate(
            worlds.make_endpoint(number),
            worlds.PROFILE if profile else None,
            True,
            cold_until_s,
            limit,
        )
        for number in range(engines)
    ]


def make_work(tokens=SHORT, now_s=0.0, **changes):
    wanted = messages.PlacementRequest(
        request_id=ids.RequestId("r"),
        service=worlds.POOL,
        prompt_tokens=tokens,
        output_tokens=1_000,
        on_time_at_s=now_s + (0.3 if tokens == SHORT else 3.0),
        deadline_at_s=now_s + 10.0,
        pause_limit_s=0.25 if tokens == SHORT else 1.0,
    )
    return dataclasses.replace(wanted, **changes)


def ask(placer, key, wanted, now_s=0.0):
    placer.submit(key, wanted, now_s)
    return dict(placer.decide(now_s)).get(key)


def test_short_requests_are_packed_on_one_engine_with_a_slot_left():
    placer = make_scheduler()
    places = []
    for number in range(8):
        now_s = number * 0.2
        decision = ask(placer, number, make_work(now_s=now_s), now_s)
        placer.record_first_event(number, now_s + 0.1)
        places.append(decision.endpoint)
    assert len(set(places[:7])) == 1
    assert places[7] != places[0]


def test_without_knowledge_of_others_requests_are_spread():
    placer = make_scheduler(is_global=False)
    places = {ask(placer, n, make_work()).endpoint for n in range(4)}
    assert len(places) == 4


def test_a_long_prompt_is_read_beside_the_engine_of_short_ones():
    placer = make_scheduler()
    short = ask(placer, "short", make_work())
    placer.record_first_event("short", 0.1)
    long = ask(placer, "long", make_work(LONG, 0.2), 0.2)
    used = {long.endpoint, *(helper.endpoint for helper in long.helpers)}
    assert short.endpoint not in used
    assert len(used) > 1


def test_a_second_long_prompt_waits_until_the_first_one_is_read():
    placer = make_scheduler(engines=6)
    first = ask(placer, 1, make_work(LONG))
    assert ask(placer, 2, make_work(LONG)) is None
    placer.record_first_event(1, first.expected_first_s)
    decided = dict(placer.decide(first.expected_first_s + 0.05))
    assert isinstance(decided[2], messages.Placement)


def test_a_prompt_over_an_engines_memory_gets_all_its_memory_or_none():
    placer = make_scheduler(engines=4)
    placed = ask(placer, 1, make_work(700_000, deadline_at_s=100.0))
    reserved = sum(helper.reserved_tokens for helper in placed.helpers)
    assert 700_000 + 1_000 - 405_000 <= reserved
    assert all(h.reserved_tokens <= 405_000 for h in placed.helpers)


def test_a_prompt_that_no_group_can_hold_is_refused_at_once():
    placer = make_scheduler(engines=1)
    refused = ask(placer, 1, make_work(700_000, deadline_at_s=100.0))
    assert refused.reason is messages.RefusalReason.TOO_LARGE


def test_a_request_without_time_for_a_first_event_is_refused_at_once():
    placer = make_scheduler()
    late = make_work(LONG, deadline_at_s=0.05)
    refused = ask(placer, 1, late)
    assert refused.reason is messages.RefusalReason.NO_TIME


def test_nothing_is_refused_while_slots_are_free():
    placer = make_scheduler(engines=4)
    decisions = [ask(placer, n, make_work()) for n in range(32)]
    assert not any(isinstance(d, messages.Refusal) for d in decisions)


def test_a_service_without_endpoints_is_refused_after_a_short_wait():
    placer = worlds.make_scheduler(is_global=True, seed=1)
    assert ask(placer, 1, make_work()) is None
    decided = dict(placer.decide(0.1))
    assert decided[1].reason is messages.RefusalReason.NO_ENDPOINT


def test_a_draining_endpoint_gets_nothing_new():
    placer = make_scheduler(engines=2)
    first, second = make_candidates(2)
    draining = dataclasses.replace(first, is_open=False)
    placer.set_candidates([draining, second])
    places = set()
    for number in range(7):
        now_s = number * 0.2
        wanted = make_work(now_s=now_s)
        places.add(ask(placer, number, wanted, now_s).endpoint)
        placer.record_first_event(number, now_s + 0.1)
    assert places == {second.endpoint.id}


def test_a_request_stays_in_its_regions():
    placer = make_scheduler(engines=2)
    first, second = make_candidates(2)
    placer.set_candidates(
        [
            dataclasses.replace(first, region=ids.RegionId("north")),
            dataclasses.replace(second, region=ids.RegionId("south")),
        ]
    )
    for number in range(6):
        now_s = number * 0.2
        south = make_work(
            now_s=now_s, regions=frozenset({ids.RegionId("south")})
        )
        assert ask(placer, number, south, now_s).endpoint == second.endpoint.id
        placer.record_first_event(number, now_s + 0.1)


def test_a_cold_endpoint_gets_no_more_than_its_limit_in_a_second():
    placer = make_scheduler(engines=1, cold_until_s=100.0, limit=3.0)
    sent = 0
    for step in range(300):
        now_s = step * 0.01
        decision = ask(placer, step, make_work(now_s=now_s), now_s)
        if isinstance(decision, messages.Placement):
            sent += 1
            placer.record_end(step, messages.Result.DONE, now_s)
    assert sent <= 3 * 3


def test_a_cold_endpoint_that_restarts_under_its_id_starts_anew():
    placer = make_scheduler(engines=1)
    ask(placer, 1, make_work())
    (candidate,) = make_candidates(1)
    reborn = dataclasses.replace(candidate.endpoint, started_at_ms=2)
    placer.set_candidates([dataclasses.replace(candidate, endpoint=reborn)])
    placer.record_end(1, messages.Result.BROKEN, 0.1)
    assert placer.running_count == 0


def test_an_endpoint_that_was_silent_is_avoided_and_tried_again_later():
    placer = make_scheduler(engines=3)
    first = ask(placer, 1, make_work())
    placer.record_end(1, messages.Result.SILENT, 0.1)
    again = ask(placer, 2, make_work(now_s=0.1), 0.1)
    assert again.endpoint != first.endpoint
    later = set()
    for number in range(20):
        now_s = 2.0 + number * 0.2
        wanted = make_work(now_s=now_s)
        later.add(ask(placer, 10 + number, wanted, now_s).endpoint)
        placer.record_first_event(10 + number, now_s + 0.1)
        if number >= 14:
            placer.record_end(number - 4, messages.Result.DONE, now_s + 0.1)
    assert first.endpoint in later


def test_an_endpoint_that_answers_others_is_not_silent():
    placer = make_scheduler(engines=1, profile=False)
    first = ask(placer, "slow", make_work(0))
    ask(placer, "quick", make_work(0, now_s=0.1), 0.1)
    placer.record_end("quick", messages.Result.DONE, 0.15)
    placer.record_end("slow", messages.Result.SILENT, 0.4)
    placer.set_candidates(make_candidates(2, profile=False))
    places = []
    for number in range(4):
        wanted = make_work(0, now_s=0.4)
        places.append(ask(placer, number, wanted, 0.4).endpoint)
    assert first.endpoint in places


def test_a_replaced_endpoint_is_not_asked_again_until_its_entry_changes():
    placer = make_scheduler(engines=2)
    first = ask(placer, 1, make_work())
    placer.record_end(1, messages.Result.MISDIRECTED, 0.1)
    for number in range(6):
        now_s = 20.0 + number * 0.2
        later = ask(placer, 10 + number, make_work(now_s=now_s), now_s)
        assert later.endpoint != first.endpoint
        placer.record_first_event(10 + number, now_s + 0.1)
    placer.set_candidates(
        dataclasses.replace(
            c, endpoint=dataclasses.replace(c.endpoint, started_at_ms=2)
        )
        for c in make_candidates(2)
    )
    places = set()
    for number in range(9):
        now_s = 30.0 + number * 0.2
        wanted = make_work(now_s=now_s)
        places.add(ask(placer, 30 + number, wanted, now_s).endpoint)
        placer.record_first_event(30 + number, now_s + 0.1)
    assert first.endpoint in places


def test_blame_falls_on_the_helper_and_not_on_the_lead():
    placer = make_scheduler(engines=4)
    placed = ask(placer, 1, make_work(LONG))
    helper = placed.helpers[0]
    placer.record_end(1, messages.Result.FULL, 0.1, helper.address)
    again = ask(placer, 2, make_work(LONG, 0.2), 0.2)
    used = {again.endpoint, *(h.endpoint for h in again.helpers)}
    assert helper.endpoint not in used


def test_missed_reports_do_not_condemn_an_endpoint_that_serves():
    placer = make_scheduler(engines=2)
    first = ask(placer, 1, make_work())
    placer.record_first_event(1, 0.1)
    for _ in range(3):
        placer.record_report(first.endpoint, None)
    near = ask(placer, 2, make_work(now_s=0.5), 0.5)
    assert near.endpoint == first.endpoint
    later = ask(placer, 3, make_work(now_s=5.0), 5.0)
    assert later.endpoint != first.endpoint


def test_a_plain_endpoint_that_fails_more_than_its_peers_is_left():
    placer = make_scheduler(engines=2, profile=False)
    for number in range(40):
        decision = ask(placer, number, make_work(0))
        bad = decision.endpoint == "e0"
        result = messages.Result.FAILED if bad else messages.Result.DONE
        placer.record_end(number, result, number * 0.01)
    places = [ask(placer, 100 + n, make_work(0)).endpoint for n in range(3)]
    assert places.count("e1") >= 2


def fail_on(placer, endpoint, requests=40):
    """Plays requests of which those on one engine fail every second time."""
    failures = 0
    for number in range(requests):
        now_s = number * 0.2
        decision = ask(placer, number, make_work(now_s=now_s), now_s)
        result = messages.Result.DONE
        if decision.endpoint == endpoint and number % 2:
            result = messages.Result.FAILED
            failures += 1
        placer.record_end(number, result, now_s + 0.1)
    return failures


def test_an_engine_that_fails_more_than_its_peers_gets_no_short_requests():
    placer = make_scheduler(engines=3)
    first = ask(placer, "first", make_work()).endpoint
    placer.record_end("first", messages.Result.DONE, 0.0)
    assert fail_on(placer, first) <= 3
    later = {
        ask(placer, 100 + n, make_work(now_s=20.0 + n), 20.0 + n).endpoint
        for n in range(3)
    }
    assert first not in later


def test_an_engine_that_fails_more_than_its_peers_reads_no_long_prompt():
    placer = make_scheduler(engines=3)
    first = ask(placer, "first", make_work()).endpoint
    placer.record_end("first", messages.Result.DONE, 0.0)
    fail_on(placer, first)
    long = ask(placer, "long", make_work(LONG, 20.0), 20.0)
    assert first not in {long.endpoint, *(h.endpoint for h in long.helpers)}


def test_engines_that_all_fail_alike_are_all_used():
    placer = make_scheduler(engines=6)
    for number in range(40):
        now_s = number * 0.2
        ask(placer, number, make_work(now_s=now_s), now_s)
        placer.record_end(number, messages.Result.FAILED, now_s + 0.1)
    placed = ask(placer, "long", make_work(LONG, 20.0), 20.0)
    assert isinstance(placed, messages.Placement)


def test_requests_of_a_lost_instance_are_forgotten():
    placer = make_scheduler(engines=1)
    for number in range(8):
        ask(placer, ("a", number), make_work())
    placer.drop_requests(lambda key: key[0] == "a", 1.0)
    assert placer.running_count == 0
    later = ask(placer, ("b", 1), make_work(now_s=1.1), 1.1)
    assert isinstance(later, messages.Placement)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "first", "end", "lose", "tick"]),
            st.integers(0, 5),
            st.sampled_from([SHORT, 45_000, LONG, 600_000]),
        ),
        max_size=60,
    )
)
def test_no_order_of_events_overbooks_an_engine(steps):
    placer = make_scheduler(engines=3)
    now_s = 0.0
    placed = {}
    for action, key, tokens in steps:
        now_s += 0.03
        match action:
            case "ask" if key not in placed:
                placer.submit(key, make_work(tokens, now_s), now_s)
            case "first":
                placer.record_first_event(key, now_s)
            case "end":
                placer.record_end(key, messages.Result.DONE, now_s)
                placed.pop(key, None)
            case "lose":
                placer.record_end(key, messages.Result.SILENT, now_s)
                placed.pop(key, None)
        placed.update(placer.decide(now_s))
        check_bounds(placed)


def check_bounds(placed):
    leads = {}
    for decision in placed.values():
        if isinstance(decision, messages.Placement):
            leads[decision.endpoint] = leads.get(decision.endpoint, 0) + 1
            group = [h.endpoint for h in decision.helpers]
            assert decision.endpoint not in group
            assert len(set(group)) == len(group) <= 16
    assert all(count <= worlds.PROFILE.slots for count in leads.values())
