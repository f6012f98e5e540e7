"""Tests that the soak checks report violations, and nothing else."""

from __future__ import annotations

import dataclasses
import math

import pytest

from poplarwick_bench.soak import callers
from poplarwick_bench.soak import checks
from poplarwick_bench.soak import fault_injector
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_bench.soak import schedule
from poplarwick_standins import platform_replica

KIND = records.CallKind
OUTCOME = records.Outcome
CHANGE = records.ChangeKind


def make_call(request="r1", kind=KIND.LOOKUP, **changes):
    call = records.Call(
        request_id=request,
        kind=kind,
        instance="front-0",
        incarnation=1,
        route=kind.value,
        api_key="key",
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


def run_check(check, record):
    return [finding.check for finding in check(record)]


def make_interruption(target="front-0", begins_at_s=99.0, **changes):
    return records.Interruption(target, begins_at_s, math.inf, **changes)


def test_complete_response_from_executing_endpoint_passes():
    record = make_record([make_call()], [make_endpoint(runs=[make_run()])])
    assert checks.find_violations(record, checks.SAFETY + checks.TIMED) == []


def test_response_with_problem_is_reported():
    record = make_record([make_call(problem="event 3 instead of 2")])
    assert run_check(checks.check_answers, record) == ["answers"]


def test_response_signed_by_other_endpoint_is_reported():
    record = make_record(
        [make_call(signature="s-e-2")], [make_endpoint(runs=[make_run()])]
    )
    assert run_check(checks.check_answers, record) == ["answers"]


def test_second_execution_is_reported_for_at_most_once_calls():
    runs = [make_run(), make_run()]
    once = make_record([make_call(kind=KIND.ONCE)], [make_endpoint(runs=runs)])
    lookup = make_record([make_call()], [make_endpoint(runs=runs)])
    assert run_check(checks.check_at_most_once, once) == ["once"]
    assert run_check(checks.check_at_most_once, lookup) == []


@pytest.mark.parametrize("status", sorted(checks.NOT_EXECUTED_STATUSES))
def test_refusal_after_execution_is_reported(status):
    record = make_record(
        [make_call(status=status)], [make_endpoint(runs=[make_run()])]
    )
    assert run_check(checks.check_refusals, record) == ["refusals"]


@pytest.mark.parametrize(
    "run",
    [
        make_run(body=b"other"),
        make_run(headers={"Tenant": "two"}),
        make_run(headers={"Tenant": "one", "X-Api-Key": "key"}),
        make_run(request="unknown"),
    ],
)
def test_request_modified_in_transit_is_reported(run):
    record = make_record([make_call()], [make_endpoint(runs=[run])])
    assert run_check(checks.check_requests, record) == ["requests"]


def test_reservation_shared_by_two_requests_is_reported():
    endpoint = make_endpoint()
    endpoint.ended_reservations.append(
        platform_replica.Reservation(1, 0.0, set(), 0.0, peak_users=2)
    )
    assert run_check(
        checks.check_reservations, make_record([], [endpoint])
    ) == ["tickets"]


def test_unreleased_memory_is_reported():
    record = make_record([], unreleased_memory=["e-1 holds 5"])
    assert run_check(checks.check_unreleased_memory, record) == ["left_over"]


def test_unexpected_process_exit_is_reported():
    record = make_record([], unexpected_exits=["front-0"])
    assert run_check(checks.check_unexpected_exits, record) == ["own_ends"]


def test_route_lost_by_same_process_is_reported():
    served = make_call("r1")
    later = make_call("r2", status=404, sent_at_s=101.0, ended_at_s=101.1)
    record = make_record([served, later])
    assert run_check(checks.check_configuration_rollback, record) == [
        "no_return"
    ]
    restarted = dataclasses.replace(later, incarnation=2)
    record = make_record([served, restarted])
    assert run_check(checks.check_configuration_rollback, record) == []


def test_missing_recovery_is_reported():
    later = make_call(sent_at_s=200.0, status=503)
    record = make_record([later], killed_all_at_s=180.0)
    assert run_check(checks.check_recovery, record) == ["recovery"]
    record = make_record([later], killed_all_at_s=195.0)
    assert run_check(checks.check_recovery, record) == []


def test_probe_of_removed_route_does_not_count_as_missing_recovery():
    # Guards against a short soak whose last calls all ask for a removed route.
    probe = make_call(sent_at_s=200.0, status=404, route="added-1")
    other = make_call(sent_at_s=200.0, status=503)
    removed = records.Change(CHANGE.ROUTE_REMOVED, "added-1", 199.0)
    record = make_record([probe], killed_all_at_s=180.0, changes=[removed])
    assert run_check(checks.check_recovery, record) == []
    record = make_record([probe], killed_all_at_s=180.0)
    assert run_check(checks.check_recovery, record) == ["recovery"]
    record = make_record([probe, other], killed_all_at_s=180.0)
    assert run_check(checks.check_recovery, record) == ["recovery"]


def test_late_request_to_draining_endpoint_is_reported_without_faults():
    endpoint = make_endpoint(arrivals=[make_arrival(103.0)])
    changes = [records.Change(CHANGE.ENDPOINT_LEAVES, "e-1", 100.0)]
    record = make_record([make_call()], [endpoint], changes=changes)
    assert run_check(checks.check_drain, record) == ["drain"]
    record.interruptions.append(make_interruption(records.STORE, 102.0))
    assert run_check(checks.check_drain, record) == []


def test_request_to_drained_domain_is_reported_until_its_return():
    endpoint = make_endpoint(
        arrivals=[make_arrival(106.0), make_arrival(111.0)]
    )
    changes = [
        records.Change(CHANGE.DOMAIN_OUT, "a", 100.0),
        records.Change(CHANGE.DOMAIN_BACK, "a", 110.0),
    ]
    record = make_record([make_call()], [endpoint], changes=changes)
    assert run_check(checks.check_domain_drain, record) == ["domains"]


@pytest.mark.parametrize(
    ("kind", "subject", "status", "runs"),
    [
        (CHANGE.KEY_TAKEN_AWAY, "key", 200, [make_run()]),
        (CHANGE.ROUTE_REMOVED, "lookup", 200, [make_run()]),
        (CHANGE.ROUTE_ADDED, "lookup", 404, []),
    ],
)
def test_outdated_configuration_is_reported(kind, subject, status, runs):
    record = make_record(
        [make_call(status=status)],
        [make_endpoint(runs=runs)],
        changes=[records.Change(kind, subject, 90.0)],
    )
    assert run_check(checks.check_configuration, record) == ["configuration"]
    record.interruptions.append(make_interruption())
    assert run_check(checks.check_configuration, record) == []


def test_excess_requests_to_cold_endpoint_are_reported():
    bound = int(
        checks.COLD_REQUESTS_PER_S * checks.COLD_FACTOR + checks.COLD_SLACK
    )
    cold = [records.ColdSpan("e-1", 100.0, 103.0)]
    for count, found in ((bound, []), (bound + 1, ["cold"])):
        arrivals = [make_arrival(100.0 + n * 0.01) for n in range(count)]
        record = make_record(
            [], [make_endpoint(arrivals=arrivals)], cold_spans=cold
        )
        assert run_check(checks.check_cold_start_limit, record) == found


def test_excess_retries_are_reported():
    arrivals = [
        make_arrival(100.0 + n * 0.01, f"r{n % 10}")
        for n in range(checks.RETRY_EXTRA + 20)
    ]
    record = make_record([], [make_endpoint(arrivals=arrivals)])
    assert run_check(checks.check_retries, record) == ["repeats"]


def test_idle_reservation_is_reported():
    idle = records.IdleReservation("e-1", "t1", 4.5, 100.0)
    record = make_record([], idle_reservations=[idle])
    assert run_check(checks.check_idle_reservations, record) == ["memory"]


@pytest.mark.parametrize("outcome", [OUTCOME.CUT, OUTCOME.UNANSWERED])
def test_call_interrupted_by_planned_operation_is_reported(outcome):
    call = make_call(outcome=outcome, ended_at_s=101.0)
    record = make_record(
        [call], interruptions=[make_interruption(is_planned=True)]
    )
    assert run_check(checks.check_planned_operations, record) == ["planned"]
    record.interruptions.append(make_interruption("e-1"))
    assert run_check(checks.check_planned_operations, record) == []


def test_call_past_its_deadline_is_reported():
    record = make_record([make_call(ended_at_s=103.0)])
    assert run_check(checks.check_deadlines, record) == ["ends"]


def test_execution_for_aborted_call_is_reported():
    call = make_call(outcome=OUTCOME.LEFT, status=None)
    run = make_run(ended_at_s=105.0)
    record = make_record([call], [make_endpoint(runs=[run])])
    assert run_check(checks.check_aborted_calls, record) == ["left"]


def test_schedule_is_determined_by_seed_and_has_all_kinds():
    first = schedule.generate_schedule(1, 120.0)
    assert first == schedule.generate_schedule(1, 120.0)
    assert first != schedule.generate_schedule(2, 120.0)
    assert {fault.kind for fault in first} == set(schedule.Kind)


def test_fault_injector_supports_every_kind_of_fault(tmp_path):
    system = fleet.Fleet(tmp_path, records.Record())
    assert set(fault_injector.FaultInjector(system)._actions) == set(
        schedule.Kind
    )


def test_planned_schedule_has_only_planned_operations():
    faults = schedule.generate_schedule(1, 120.0, planned_only=True)
    assert faults and all(fault.kind.is_planned for fault in faults)


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (b"id: 1\ndata: r1 1\n\nid: 2\ndata: r1 2\n\n", None),
        (b"id: 1\ndata: r1 1\n\n", "1 of 2"),
        (b"id: 2\ndata: r1 2\n\nid: 1\ndata: r1 1\n\n", "instead of 1"),
        (b"id: 1\ndata: r2 1\n\nid: 2\ndata: r2 2\n\n", "event of"),
        (b"id: 1\ndata: r1 1\n\nid: 2\nda", "incomplete"),
    ],
)
def test_stream_problem_is_described(body, problem):
    found = callers.find_problem(make_call(), body, 2)
    assert found is None if problem is None else problem in found


def make_crashed_endpoint(number, at_s, arrivals=()):
    endpoint = make_endpoint(f"e-{number}", arrivals=arrivals)
    endpoint.crash_causes = {"bad"}
    endpoint.crashed_at_s = at_s
    return endpoint


@pytest.mark.parametrize(
    ("late", "is_cut_off", "expected"),
    [(3, False, []), (4, False, ["parts"]), (4, True, [])],
)
def test_requests_with_a_crashing_part_that_go_on_are_reported(
    late, is_cut_off, expected
):
    calls = [make_call(f"b{n}", part="bad") for n in range(late)]
    arrivals = [make_arrival(108.0, call.request_id) for call in calls]
    endpoints = [
        make_crashed_endpoint(
            number, 100.0 + number, arrivals if number == 4 else ()
        )
        for number in range(checks.PART_CRASHES)
    ]
    record = make_record(
        calls,
        endpoints,
        interruptions=[make_interruption()] if is_cut_off else [],
    )
    assert run_check(checks.check_crashing_parts, record) == expected


@pytest.mark.parametrize(
    ("failed", "others_failed", "interrupted", "all_cut_at_s", "expected"),
    [
        (30, 0, None, None, ["cut"]),
        (30, 30, None, None, []),
        (10, 0, None, None, []),
        (30, 0, "cut", None, []),
        # Nobody could have served them.
        (30, 0, None, 103.0, []),
        (30, 0, None, 105.0, ["cut"]),
    ],
)
def test_instances_that_serve_nobody_while_cut_off_are_reported(
    failed, others_failed, interrupted, all_cut_at_s, expected
):
    calls = []
    for instance, count in (("cut", failed), ("other", others_failed)):
        for number in range(40):
            is_served = number >= count
            calls.append(
                make_call(
                    f"{instance}{number}",
                    instance=instance,
                    sent_at_s=104.0,
                    ended_at_s=104.1,
                    status=200 if is_served else 503,
                    outcome=records.Outcome.WHOLE,
                )
            )
    record = make_record(
        calls,
        interruptions=[make_interruption(target=interrupted)]
        if interrupted
        else [],
    )
    record.cut_spans.append(records.CutSpan(frozenset({"cut"}), 100.0, 110.0))
    if all_cut_at_s is not None:
        record.cut_spans.append(
            records.CutSpan(frozenset({"other"}), all_cut_at_s, 110.0)
        )
    assert run_check(checks.check_cut_instances, record) == expected


@pytest.mark.parametrize(
    ("late", "at_s", "expected"),
    [(3, 106.0, []), (4, 106.0, ["copies"]), (4, 104.9, [])],
)
def test_copies_of_a_crashing_request_that_go_on_are_reported(
    late, at_s, expected
):
    calls = [make_call(f"b{n}", body=b"bad") for n in range(late)]
    arrivals = [make_arrival(at_s, call.request_id) for call in calls]
    endpoints = [
        make_crashed_endpoint(
            number, 100.0 + number, arrivals if number == 2 else ()
        )
        for number in range(checks.REQUEST_CRASHES)
    ]
    record = make_record(calls, endpoints, interruptions=[])
    assert run_check(checks.check_crashing_requests, record) == expected


@pytest.mark.parametrize(
    ("count", "at_s", "is_cut_off", "expected"),
    [
        (11, 104.0, False, []),
        (12, 104.0, False, ["limits"]),
        (12, 102.0, False, []),
        (12, 104.0, True, []),
    ],
)
def test_requests_beyond_a_named_rate_are_reported(
    count, at_s, is_cut_off, expected
):
    calls = [make_call(f"r{n}") for n in range(count + 1)]
    arrivals = [make_arrival(100.5, "r0")]
    arrivals += [
        make_arrival(at_s + 0.05 * n, f"r{n}") for n in range(1, count + 1)
    ]
    record = make_record(
        calls,
        [make_endpoint(arrivals=arrivals)],
        limit_spans=[records.LimitSpan("e-1", 1.0, 100.0, 110.0)],
        interruptions=[make_interruption()] if is_cut_off else [],
    )
    assert run_check(checks.check_rate_limits, record) == expected


@pytest.mark.parametrize(
    ("failed", "began_at_s", "interrupted", "expected"),
    [
        (0, 104.0, None, 0),
        (30, 104.0, None, 1),
        (0, 102.0, None, 1),
        (0, 102.0, "e-1", 0),
    ],
)
def test_slow_readers_that_cost_others_anything_are_reported(
    failed, began_at_s, interrupted, expected
):
    """Others fail, or an unread stream is executed again before it is read."""
    calls = [
        make_call(
            f"{instance}{number}",
            instance=instance,
            sent_at_s=101.0,
            ended_at_s=101.1,
            status=503 if instance == "slow" and number < failed else 200,
        )
        for instance in ("slow", "other")
        for number in range(40)
    ]
    calls.append(make_call("slow-1", KIND.SHORT, reads_at_s=103.5))
    record = make_record(
        calls,
        [
            make_endpoint(
                runs=[make_run("slow-1"), make_run("slow-1", began_at_s)]
            )
        ],
        interruptions=[make_interruption(target=interrupted)]
        if interrupted
        else [],
    )
    record.slow_spans.append(records.SlowSpan("slow", 100.0, 105.0))
    findings = list(checks.check_slow_callers(record))
    assert len(findings) == expected
