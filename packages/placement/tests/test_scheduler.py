"""Tests the scheduler: allocation, queueing, refusal and endpoint health."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import engine_report
from poplarwick_placement import messages
from poplarwick_placement import service_pool

SHORT = 5_000
LONG = 180_000


def make_scheduler(engine_count=4, *, is_global=True, **changes):
    scheduler = engines.make_scheduler(is_global=is_global, seed=1)
    scheduler.set_candidates(make_candidates(engine_count, **changes))
    return scheduler


def make_candidates(
    engine_count=4, *, cold_until_s=0.0, limit=36.0, profile=True
):
    return [
        service_pool.Candidate(
            engines.make_endpoint(number),
            engines.PROFILE if profile else None,
            True,
            cold_until_s,
            limit,
        )
        for number in range(engine_count)
    ]


def make_request(tokens=SHORT, now_s=0.0, **changes):
    request = messages.PlacementRequest(
        request_id=ids.RequestId("r"),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=1_000,
        on_time_at_s=now_s + (0.3 if tokens == SHORT else 3.0),
        deadline_at_s=now_s + 10.0,
        pause_limit_s=0.25 if tokens == SHORT else 1.0,
    )
    return dataclasses.replace(request, **changes)


def submit_and_decide(scheduler, key, request, now_s=0.0):
    scheduler.submit(key, request, now_s)
    return dict(scheduler.decide(now_s)).get(key)


def test_packs_short_requests_on_one_engine_up_to_last_slot():
    scheduler = make_scheduler()
    endpoints = []
    for number in range(8):
        now_s = number * 0.2
        decision = submit_and_decide(
            scheduler, number, make_request(now_s=now_s), now_s
        )
        scheduler.record_first_event(number, now_s + 0.1)
        endpoints.append(decision.endpoint)
    assert len(set(endpoints[:7])) == 1
    assert endpoints[7] != endpoints[0]


def test_spreads_requests_if_scheduler_is_not_global():
    scheduler = make_scheduler(is_global=False)
    endpoints = {
        submit_and_decide(scheduler, n, make_request()).endpoint
        for n in range(4)
    }
    assert len(endpoints) == 4


def test_long_prompt_avoids_engine_of_short_requests():
    scheduler = make_scheduler()
    short = submit_and_decide(scheduler, "short", make_request())
    scheduler.record_first_event("short", 0.1)
    long = submit_and_decide(scheduler, "long", make_request(LONG, 0.2), 0.2)
    used = {long.endpoint, *(helper.endpoint for helper in long.helpers)}
    assert short.endpoint not in used
    assert len(used) > 1


def test_slow_engine_does_not_make_short_prompts_long():
    scheduler = make_scheduler()
    report = engine_report.EngineReport(slowdown=4.0)
    scheduler.record_report(ids.EndpointId("e0"), report, 0.0)
    decision = submit_and_decide(scheduler, "short", make_request())
    assert not decision.helpers
    assert decision.endpoint != "e0"


def test_second_long_prompt_waits_for_prefill_of_first_one():
    scheduler = make_scheduler(engine_count=6)
    first = submit_and_decide(scheduler, 1, make_request(LONG))
    assert submit_and_decide(scheduler, 2, make_request(LONG)) is None
    scheduler.record_first_event(1, first.expected_first_s)
    decided = dict(scheduler.decide(first.expected_first_s + 0.05))
    assert isinstance(decided[2], messages.Placement)


def test_prompt_larger_than_an_engine_reserves_helper_memory():
    scheduler = make_scheduler(engine_count=4)
    placed = submit_and_decide(
        scheduler, 1, make_request(700_000, deadline_at_s=100.0)
    )
    reserved = sum(helper.reserved_tokens for helper in placed.helpers)
    assert 700_000 + 1_000 - 405_000 <= reserved
    assert all(h.reserved_tokens <= 405_000 for h in placed.helpers)


def test_prompt_larger_than_any_group_is_refused_immediately():
    scheduler = make_scheduler(engine_count=1)
    refused = submit_and_decide(
        scheduler, 1, make_request(700_000, deadline_at_s=100.0)
    )
    assert refused.reason is messages.RefusalReason.TOO_LARGE


def test_request_without_time_for_first_event_is_refused_immediately():
    scheduler = make_scheduler()
    expiring = make_request(LONG, deadline_at_s=0.05)
    refused = submit_and_decide(scheduler, 1, expiring)
    assert refused.reason is messages.RefusalReason.NO_TIME


def test_refuses_nothing_while_slots_are_free():
    scheduler = make_scheduler(engine_count=4)
    decisions = [
        submit_and_decide(scheduler, n, make_request()) for n in range(32)
    ]
    assert not any(isinstance(d, messages.Refusal) for d in decisions)


def test_refuses_after_short_wait_if_service_has_no_endpoint():
    scheduler = engines.make_scheduler(is_global=True, seed=1)
    assert submit_and_decide(scheduler, 1, make_request()) is None
    decided = dict(scheduler.decide(0.1))
    assert decided[1].reason is messages.RefusalReason.NO_ENDPOINT


def test_draining_endpoint_gets_no_new_requests():
    scheduler = make_scheduler(engine_count=2)
    first, second = make_candidates(2)
    draining = dataclasses.replace(first, is_open=False)
    scheduler.set_candidates([draining, second])
    endpoints = set()
    for number in range(7):
        now_s = number * 0.2
        request = make_request(now_s=now_s)
        endpoints.add(
            submit_and_decide(scheduler, number, request, now_s).endpoint
        )
        scheduler.record_first_event(number, now_s + 0.1)
    assert endpoints == {second.endpoint.id}


def test_request_is_placed_only_in_its_regions():
    scheduler = make_scheduler(engine_count=2)
    first, second = make_candidates(2)
    scheduler.set_candidates(
        [
            dataclasses.replace(first, region=ids.RegionId("north")),
            dataclasses.replace(second, region=ids.RegionId("south")),
        ]
    )
    for number in range(6):
        now_s = number * 0.2
        south = make_request(
            now_s=now_s, regions=frozenset({ids.RegionId("south")})
        )
        assert (
            submit_and_decide(scheduler, number, south, now_s).endpoint
            == second.endpoint.id
        )
        scheduler.record_first_event(number, now_s + 0.1)


def test_cold_endpoint_gets_at_most_its_limit_per_second():
    scheduler = make_scheduler(engine_count=1, cold_until_s=100.0, limit=3.0)
    sent = 0
    for step in range(300):
        now_s = step * 0.01
        decision = submit_and_decide(
            scheduler, step, make_request(now_s=now_s), now_s
        )
        if isinstance(decision, messages.Placement):
            sent += 1
            scheduler.record_end(step, messages.Result.DONE, now_s)
    assert sent <= 3 * 3


def test_endpoint_restarted_under_same_id_has_no_load():
    scheduler = make_scheduler(engine_count=1)
    submit_and_decide(scheduler, 1, make_request())
    (candidate,) = make_candidates(1)
    restarted = dataclasses.replace(candidate.endpoint, started_at_ms=2)
    scheduler.set_candidates(
        [dataclasses.replace(candidate, endpoint=restarted)]
    )
    scheduler.record_end(1, messages.Result.BROKEN, 0.1)
    assert scheduler.running_count == 0


def test_unresponsive_endpoint_is_avoided_and_retried_later():
    scheduler = make_scheduler(engine_count=3)
    first = submit_and_decide(scheduler, 1, make_request())
    scheduler.record_end(1, messages.Result.SILENT, 0.1)
    again = submit_and_decide(scheduler, 2, make_request(now_s=0.1), 0.1)
    assert again.endpoint != first.endpoint
    later = set()
    for number in range(20):
        now_s = 2.0 + number * 0.2
        request = make_request(now_s=now_s)
        later.add(
            submit_and_decide(scheduler, 10 + number, request, now_s).endpoint
        )
        scheduler.record_first_event(10 + number, now_s + 0.1)
        if number >= 14:
            scheduler.record_end(number - 4, messages.Result.DONE, now_s + 0.1)
    assert first.endpoint in later


def test_endpoint_that_answers_others_is_not_unresponsive():
    scheduler = make_scheduler(engine_count=1, profile=False)
    first = submit_and_decide(scheduler, "slow", make_request(0))
    submit_and_decide(scheduler, "quick", make_request(0, now_s=0.1), 0.1)
    scheduler.record_end("quick", messages.Result.DONE, 0.15)
    scheduler.record_end("slow", messages.Result.SILENT, 0.4)
    scheduler.set_candidates(make_candidates(2, profile=False))
    endpoints = []
    for number in range(4):
        request = make_request(0, now_s=0.4)
        endpoints.append(
            submit_and_decide(scheduler, number, request, 0.4).endpoint
        )
    assert first.endpoint in endpoints


def test_replaced_endpoint_is_unused_until_its_entry_changes():
    scheduler = make_scheduler(engine_count=2)
    first = submit_and_decide(scheduler, 1, make_request())
    scheduler.record_end(1, messages.Result.MISDIRECTED, 0.1)
    for number in range(6):
        now_s = 20.0 + number * 0.2
        later = submit_and_decide(
            scheduler, 10 + number, make_request(now_s=now_s), now_s
        )
        assert later.endpoint != first.endpoint
        scheduler.record_first_event(10 + number, now_s + 0.1)
    scheduler.set_candidates(
        dataclasses.replace(
            c, endpoint=dataclasses.replace(c.endpoint, started_at_ms=2)
        )
        for c in make_candidates(2)
    )
    endpoints = set()
    for number in range(9):
        now_s = 30.0 + number * 0.2
        request = make_request(now_s=now_s)
        endpoints.add(
            submit_and_decide(scheduler, 30 + number, request, now_s).endpoint
        )
        scheduler.record_first_event(30 + number, now_s + 0.1)
    assert first.endpoint in endpoints


def test_failure_is_attributed_to_helper_and_not_to_primary():
    scheduler = make_scheduler(engine_count=4)
    placed = submit_and_decide(scheduler, 1, make_request(LONG))
    helper = placed.helpers[0]
    scheduler.record_end(1, messages.Result.FULL, 0.1, helper.address)
    again = submit_and_decide(scheduler, 2, make_request(LONG, 0.2), 0.2)
    used = {again.endpoint, *(h.endpoint for h in again.helpers)}
    assert helper.endpoint not in used


def test_recent_success_outweighs_missed_reports():
    scheduler = make_scheduler(engine_count=2)
    first = submit_and_decide(scheduler, 1, make_request())
    scheduler.record_first_event(1, 0.1)
    for _ in range(3):
        scheduler.record_report(first.endpoint, None, 0.0)
    near = submit_and_decide(scheduler, 2, make_request(now_s=0.5), 0.5)
    assert near.endpoint == first.endpoint
    later = submit_and_decide(scheduler, 3, make_request(now_s=5.0), 5.0)
    assert later.endpoint != first.endpoint


def test_plain_endpoint_failing_more_than_peers_is_avoided():
    scheduler = make_scheduler(engine_count=2, profile=False)
    for number in range(40):
        decision = submit_and_decide(scheduler, number, make_request(0))
        is_failing = decision.endpoint == "e0"
        result = messages.Result.FAILED if is_failing else messages.Result.DONE
        scheduler.record_end(number, result, number * 0.01)
    endpoints = [
        submit_and_decide(scheduler, 100 + n, make_request(0)).endpoint
        for n in range(3)
    ]
    assert endpoints.count("e1") >= 2


def fail_alternately(scheduler, endpoint, requests=40):
    """Runs requests; every second one on the given engine fails."""
    failures = 0
    for number in range(requests):
        now_s = number * 0.2
        decision = submit_and_decide(
            scheduler, number, make_request(now_s=now_s), now_s
        )
        result = messages.Result.DONE
        if decision.endpoint == endpoint and number % 2:
            result = messages.Result.FAILED
            failures += 1
        scheduler.record_end(number, result, now_s + 0.1)
    return failures


def test_engine_failing_more_than_peers_gets_no_short_requests():
    scheduler = make_scheduler(engine_count=3)
    first = submit_and_decide(scheduler, "first", make_request()).endpoint
    scheduler.record_end("first", messages.Result.DONE, 0.0)
    assert fail_alternately(scheduler, first) <= 3
    later = {
        submit_and_decide(
            scheduler, 100 + n, make_request(now_s=20.0 + n), 20.0 + n
        ).endpoint
        for n in range(3)
    }
    assert first not in later


def test_engine_failing_more_than_peers_joins_no_long_prompt():
    scheduler = make_scheduler(engine_count=3)
    first = submit_and_decide(scheduler, "first", make_request()).endpoint
    scheduler.record_end("first", messages.Result.DONE, 0.0)
    fail_alternately(scheduler, first)
    long = submit_and_decide(scheduler, "long", make_request(LONG, 20.0), 20.0)
    assert first not in {long.endpoint, *(h.endpoint for h in long.helpers)}


def test_engines_are_used_if_all_fail_equally():
    scheduler = make_scheduler(engine_count=6)
    for number in range(40):
        now_s = number * 0.2
        submit_and_decide(scheduler, number, make_request(now_s=now_s), now_s)
        scheduler.record_end(number, messages.Result.FAILED, now_s + 0.1)
    placed = submit_and_decide(
        scheduler, "long", make_request(LONG, 20.0), 20.0
    )
    assert isinstance(placed, messages.Placement)


def test_drops_requests_of_lost_instance():
    scheduler = make_scheduler(engine_count=1)
    for number in range(8):
        submit_and_decide(scheduler, ("a", number), make_request())
    scheduler.drop_requests(lambda key: key[0] == "a", 1.0)
    assert scheduler.running_count == 0
    later = submit_and_decide(scheduler, ("b", 1), make_request(now_s=1.1), 1.1)
    assert isinstance(later, messages.Placement)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["submit", "first_event", "end", "time_out", "tick"]
            ),
            st.integers(0, 5),
            st.sampled_from([SHORT, 45_000, LONG, 600_000]),
        ),
        max_size=60,
    )
)
def test_no_order_of_events_exceeds_engine_slots(steps):
    scheduler = make_scheduler(engine_count=3)
    now_s = 0.0
    placed = {}
    for action, key, tokens in steps:
        now_s += 0.03
        match action:
            case "submit" if key not in placed:
                scheduler.submit(key, make_request(tokens, now_s), now_s)
            case "first_event":
                scheduler.record_first_event(key, now_s)
            case "end":
                scheduler.record_end(key, messages.Result.DONE, now_s)
                placed.pop(key, None)
            case "time_out":
                scheduler.record_end(key, messages.Result.SILENT, now_s)
                placed.pop(key, None)
        placed.update(scheduler.decide(now_s))
        check_bounds(placed)


def check_bounds(placed):
    primary_counts = {}
    for decision in placed.values():
        if isinstance(decision, messages.Placement):
            primary_counts[decision.endpoint] = (
                primary_counts.get(decision.endpoint, 0) + 1
            )
            group = [h.endpoint for h in decision.helpers]
            assert decision.endpoint not in group
            assert len(set(group)) == len(group) <= 16
    assert all(
        count <= engines.PROFILE.slots for count in primary_counts.values()
    )


CUT = messages.AnswerEnd(is_complete=False, written_s=None)
ANSWERED = messages.AnswerEnd(is_complete=True, written_s=1.0)


def cut_off(scheduler, keys, now_s):
    for key in keys:
        scheduler.record_end(
            key, messages.Result.BROKEN, now_s, None, answer=CUT
        )


def test_copies_of_a_request_that_was_cut_off_run_one_at_a_time():
    scheduler = make_scheduler()
    request = make_request(fingerprint="f0")
    for key in ("first", "second"):
        assert submit_and_decide(scheduler, key, request, 0.0)
    cut_off(scheduler, ["first"], 0.1)
    assert submit_and_decide(scheduler, "third", request, 0.1) is None
    other = make_request(fingerprint="f1")
    assert submit_and_decide(scheduler, "other", other, 0.1)
    cut_off(scheduler, ["second"], 0.2)
    decided = dict(scheduler.decide(0.2))
    assert isinstance(decided["third"], messages.Placement)
    assert submit_and_decide(scheduler, "fourth", request, 0.2) is None
    scheduler.record_end(
        "third", messages.Result.DONE, 0.3, None, answer=ANSWERED
    )
    for key in ("fifth", "sixth"):
        assert submit_and_decide(scheduler, key, request, 0.3)


def test_copies_follow_once_an_answer_has_been_written_for_a_time():
    scheduler = make_scheduler()
    request = make_request(fingerprint="f0")
    submit_and_decide(scheduler, "first", request, 0.0)
    cut_off(scheduler, ["first"], 0.1)
    assert submit_and_decide(scheduler, "second", request, 0.2)
    scheduler.record_first_event("second", 0.3)
    assert submit_and_decide(scheduler, "third", request, 0.5) is None
    after_s = 0.4 + messages.ANSWER_START_S
    assert dict(scheduler.decide(after_s))["third"]


def test_requests_of_one_crash_are_sent_to_different_endpoints():
    scheduler = make_scheduler()
    requests = {name: make_request(fingerprint=name) for name in "abc"}
    placed = {
        name: submit_and_decide(scheduler, name, request)
        for name, request in requests.items()
    }
    assert len({placement.endpoint for placement in placed.values()}) == 1
    cut_off(scheduler, requests, 0.1)
    again = {
        submit_and_decide(
            scheduler,
            f"{name} again",
            dataclasses.replace(
                request, avoided=frozenset({placed[name].endpoint})
            ),
            0.1,
        ).endpoint
        for name, request in requests.items()
    }
    assert len(again) == 3


def test_requests_of_one_crash_share_the_only_endpoint_that_is_left():
    scheduler = make_scheduler(engine_count=2)
    requests = {name: make_request(fingerprint=name) for name in "abc"}
    for name, request in requests.items():
        submit_and_decide(scheduler, name, request)
    cut_off(scheduler, requests, 0.1)
    for name, request in requests.items():
        avoiding = dataclasses.replace(request, avoided=frozenset({"e0"}))
        assert submit_and_decide(scheduler, f"{name} again", avoiding, 0.1)


def test_endpoint_that_was_not_connected_is_tried_last_by_the_request():
    """Two of three endpoints are gone; the third is on trial and works."""
    scheduler = make_scheduler(engine_count=3, profile=False)
    others = frozenset({"e0", "e1"})
    only_third = make_request(avoided=others, deadline_at_s=60.0)
    submit_and_decide(scheduler, "failed", only_third)
    scheduler.record_end("failed", messages.Result.SILENT, 0.0)
    assert submit_and_decide(scheduler, "trial", only_third, 5.0)
    found, unreachable = [], frozenset()
    for number in range(3):
        request = make_request(now_s=5.0, unreachable=unreachable)
        placed = submit_and_decide(scheduler, f"r{number}", request, 5.0)
        scheduler.record_end(f"r{number}", messages.Result.UNREACHABLE, 5.0)
        unreachable |= {placed.endpoint}
        found.append(placed.endpoint)
    assert found[2] == "e2"


def test_endpoint_that_was_not_connected_is_tried_again_if_it_is_the_only_one():
    scheduler = make_scheduler(engine_count=1)
    request = make_request(unreachable=frozenset({"e0"}))
    assert submit_and_decide(scheduler, "r", request).endpoint == "e0"
