"""Each promise of a soak, broken once, is found; kept, it is not."""

from __future__ import annotations

import dataclasses
import math

import pytest

from poplarwick_bench.soak import callers
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import driver
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_bench.soak import schedule
from poplarwick_standins import platform_replica

KIND = records.CallKind
OUTCOME = records.Outcome
CHANGE = records.ChangeKind


def make_call(request="r1", kind=KIND.LOOKUP, **changes):
    call = records.Call(
        request=request,
        kind=kind,
        instance="front-0",
        start=1,
        route=kind.value,
        key="key",
        body=b"asks",
        sent_at_s=100.0,
        deadline_s=2.0,
        ended_at_s=100.1,
        outcome=OUTCOME.WHOLE,
        status=200,
        signature="s-e-1",
    )
    return dataclasses.replace(call, **changes)


def make_run(request="r1", began_at_s=100.05, **changes):
    run = platform_replica.Execution(
        request,
        {"Tenant": "one"},
        "POST",
        "/lookup/x",
        b"asks",
        began_at_s=began_at_s,
        ended_at_s=began_at_s + 0.02,
        outcome="done",
    )
    return dataclasses.replace(run, **changes)


def make_endpoint(name="e-1", runs=(), arrivals=(), zone="a"):
    endpoint = fleet.SoakReplica(name, fleet.POOL, zone)
    endpoint.executions = list(runs)
    endpoint.arrivals = list(arrivals)
    return endpoint


def make_arrival(at_s, request="r1", status=200):
    return platform_replica.Arrival(request, at_s, status)


def make_record(calls, endpoints=(), **changes):
    return records.Record(
        calls=list(calls), endpoints=list(endpoints), **changes
    )


def find(check, record):
    return [finding.check for finding in check(record)]


def harm(target="front-0", begins_at_s=99.0, **changes):
    return records.Interruption(target, begins_at_s, math.inf, **changes)


def test_a_whole_answer_of_the_endpoint_that_ran_it_is_fine():
    record = make_record([make_call()], [make_endpoint(runs=[make_run()])])
    assert checks.find_broken(record, checks.SAFETY + checks.TIMED) == []


def test_an_answer_with_a_problem_is_found():
    record = make_record([make_call(problem="event 3 in place of 2")])
    assert find(checks.check_answers, record) == ["answers"]


def test_an_answer_signed_by_an_endpoint_that_did_not_run_it_is_found():
    record = make_record(
        [make_call(signature="s-e-2")], [make_endpoint(runs=[make_run()])]
    )
    assert find(checks.check_answers, record) == ["answers"]


def test_a_second_run_is_found_for_calls_that_run_once_only():
    runs = [make_run(), make_run()]
    once = make_record([make_call(kind=KIND.ONCE)], [make_endpoint(runs=runs)])
    lookup = make_record([make_call()], [make_endpoint(runs=runs)])
    assert find(checks.check_once, once) == ["once"]
    assert find(checks.check_once, lookup) == []


@pytest.mark.parametrize("status", sorted(checks.PROMISES))
def test_a_refusal_after_a_run_is_found(status):
    record = make_record(
        [make_call(status=status)], [make_endpoint(runs=[make_run()])]
    )
    assert find(checks.check_refusals, record) == ["refusals"]


@pytest.mark.parametrize(
    "run",
    [
        make_run(body=b"other"),
        make_run(headers={"Tenant": "two"}),
        make_run(headers={"Tenant": "one", "X-Api-Key": "key"}),
        make_run(request="unknown"),
    ],
)
def test_a_request_that_was_changed_on_its_way_is_found(run):
    record = make_record([make_call()], [make_endpoint(runs=[run])])
    assert find(checks.check_requests, record) == ["requests"]


def test_a_reservation_used_by_two_at_once_is_found():
    endpoint = make_endpoint()
    endpoint.ended_reservations.append(
        platform_replica.Reservation(1, 0.0, set(), 0.0, peak_users=2)
    )
    assert find(checks.check_tickets, make_record([], [endpoint])) == [
        "tickets"
    ]


def test_memory_left_over_is_found():
    record = make_record([], left_over=["e-1 holds 5"])
    assert find(checks.check_left_over, record) == ["left_over"]


def test_a_process_that_ends_by_itself_is_found():
    record = make_record([], own_ends=["front-0"])
    assert find(checks.check_own_ends, record) == ["own_ends"]


def test_a_route_forgotten_again_by_the_same_process_is_found():
    served = make_call("r1")
    later = make_call("r2", status=404, sent_at_s=101.0, ended_at_s=101.1)
    record = make_record([served, later])
    assert find(checks.check_no_return, record) == ["no_return"]
    restarted = dataclasses.replace(later, start=2)
    record = make_record([served, restarted])
    assert find(checks.check_no_return, record) == []


def test_a_system_that_does_not_recover_is_found():
    later = make_call(sent_at_s=200.0, status=503)
    record = make_record([later], killed_all_at_s=180.0)
    assert find(checks.check_recovery, record) == ["recovery"]
    record = make_record([later], killed_all_at_s=195.0)
    assert find(checks.check_recovery, record) == []


def test_late_work_at_a_leaving_endpoint_is_found_unless_it_was_harmed():
    endpoint = make_endpoint(arrivals=[make_arrival(103.0)])
    changes = [records.Change(CHANGE.ENDPOINT_LEAVES, "e-1", 100.0)]
    record = make_record([make_call()], [endpoint], changes=changes)
    assert find(checks.check_drain, record) == ["drain"]
    record.interruptions.append(harm(records.STORE, 102.0))
    assert find(checks.check_drain, record) == []


def test_work_in_a_domain_that_was_taken_out_is_found_until_it_is_back():
    endpoint = make_endpoint(
        arrivals=[make_arrival(106.0), make_arrival(111.0)]
    )
    changes = [
        records.Change(CHANGE.DOMAIN_OUT, "a", 100.0),
        records.Change(CHANGE.DOMAIN_BACK, "a", 110.0),
    ]
    record = make_record([make_call()], [endpoint], changes=changes)
    assert find(checks.check_domains, record) == ["domains"]


@pytest.mark.parametrize(
    ("kind", "subject", "status", "runs"),
    [
        (CHANGE.KEY_TAKEN_AWAY, "key", 200, [make_run()]),
        (CHANGE.ROUTE_REMOVED, "lookup", 200, [make_run()]),
        (CHANGE.ROUTE_ADDED, "lookup", 404, []),
    ],
)
def test_an_old_configuration_is_found(kind, subject, status, runs):
    record = make_record(
        [make_call(status=status)],
        [make_endpoint(runs=runs)],
        changes=[records.Change(kind, subject, 90.0)],
    )
    assert find(checks.check_configuration, record) == ["configuration"]
    record.interruptions.append(harm())
    assert find(checks.check_configuration, record) == []


def test_too_many_requests_to_a_cold_endpoint_are_found():
    bound = int(checks.COLD_PER_S * checks.COLD_FACTOR + checks.COLD_SLACK)
    cold = [records.ColdSpan("e-1", 100.0, 103.0)]
    for count, found in ((bound, []), (bound + 1, ["cold"])):
        arrivals = [make_arrival(100.0 + n * 0.01) for n in range(count)]
        record = make_record([], [make_endpoint(arrivals=arrivals)], cold=cold)
        assert find(checks.check_cold, record) == found


def test_too_many_repeats_are_found():
    arrivals = [
        make_arrival(100.0 + n * 0.01, f"r{n % 10}")
        for n in range(checks.REPEAT_EXTRA + 20)
    ]
    record = make_record([], [make_endpoint(arrivals=arrivals)])
    assert find(checks.check_repeats, record) == ["repeats"]


def test_memory_that_stays_reserved_without_use_is_found():
    idle = records.IdleTicket("e-1", "t1", 4.5, 100.0)
    record = make_record([], idle_tickets=[idle])
    assert find(checks.check_memory, record) == ["memory"]


@pytest.mark.parametrize("outcome", [OUTCOME.CUT, OUTCOME.UNANSWERED])
def test_a_call_cut_by_planned_work_is_found(outcome):
    call = make_call(outcome=outcome, ended_at_s=101.0)
    record = make_record([call], interruptions=[harm(is_planned=True)])
    assert find(checks.check_planned, record) == ["planned"]
    record.interruptions.append(harm("e-1"))
    assert find(checks.check_planned, record) == []


def test_a_call_without_its_answer_in_time_is_found():
    record = make_record([make_call(ended_at_s=103.0)])
    assert find(checks.check_ends, record) == ["ends"]


def test_work_for_callers_that_have_left_is_found():
    call = make_call(outcome=OUTCOME.LEFT, status=None)
    run = make_run(ended_at_s=105.0)
    record = make_record([call], [make_endpoint(runs=[run])])
    assert find(checks.check_left, record) == ["left"]


def test_the_same_seed_gives_the_same_schedule_and_all_kinds_in_time():
    first = schedule.draw_schedule(1, 120.0)
    assert first == schedule.draw_schedule(1, 120.0)
    assert first != schedule.draw_schedule(2, 120.0)
    assert {fault.kind for fault in first} == set(schedule.Kind)


def test_every_kind_of_fault_is_brought_about_by_the_driver(tmp_path):
    system = fleet.Fleet(tmp_path, records.Record())
    assert set(driver.Driver(system)._actions) == set(schedule.Kind)


def test_a_planned_schedule_has_nothing_that_excuses_a_cut():
    faults = schedule.draw_schedule(1, 120.0, planned_only=True)
    assert faults and all(fault.kind.is_planned for fault in faults)


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (b"id: 1\ndata: r1 1\n\nid: 2\ndata: r1 2\n\n", None),
        (b"id: 1\ndata: r1 1\n\n", "1 of 2"),
        (b"id: 2\ndata: r1 2\n\nid: 1\ndata: r1 1\n\n", "in place of 1"),
        (b"id: 1\ndata: r2 1\n\nid: 2\ndata: r2 2\n\n", "event of"),
        (b"id: 1\ndata: r1 1\n\nid: 2\nda", "not whole"),
    ],
)
def test_problems_of_a_stream_are_named(body, problem):
    found = callers.find_problem(make_call(), body, 2)
    assert found is None if problem is None else problem in found
