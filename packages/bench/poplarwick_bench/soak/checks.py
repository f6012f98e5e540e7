"""Invariants that are checked on the record of a soak.

The limits are those in the settings of the soak's instances. The time that an
instance has to recover from a fault is set by the platform's rules.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import functools
import math
from collections.abc import Callable
from collections.abc import Iterator

from poplarwick_bench.soak import records
from poplarwick_standins import platform_calls
from poplarwick_standins import platform_documents
from poplarwick_standins import platform_replica

SETTLE_S = 3.0
"""Time after a fault in which time limits do not apply (platform rule)."""

DRAIN_S = 2.0
"""Time after which a draining endpoint must receive no new requests."""

EVACUATION_S = 5.0
"""Time after which a drained failure domain must receive no new requests."""

CONFIGURATION_S = 2.0
"""Time within which an instance must apply a new configuration."""

ROLLBACK_SLACK_S = 0.25
"""Tolerance for calls that overlap a configuration change."""

REQUEST_READ_S = 0.2
"""Time that an instance needs to read a request."""

RESPONSE_SLACK_S = 0.5
"""Tolerance past the deadline of a call for its final response."""

RECOVERY_S = 12.0
"""Time after which the system must serve again once all were killed."""

RECOVERED_SHARE = 0.25
"""Share of calls that must succeed from then on."""

COLD_REQUESTS_PER_S = 4.0
"""Requests per second that a cold endpoint can serve in the soak."""

COLD_FACTOR = 1.5
"""Multiple of `COLD_REQUESTS_PER_S` that is allowed."""

COLD_SLACK = 5
"""Requests allowed on top of that rate."""

RETRY_RATIO = 0.2
"""Retries allowed per request to a service."""

RETRY_EXTRA = 24
"""Retries allowed per window on top of that ratio."""

RETRY_WINDOW_S = 10.0
"""Time window over which retries are counted."""

MEMORY_RELEASE_S = 4.0
"""Time within which unused reserved memory must be released."""

ABORTED_SHARE = 0.25
"""Share of the calls aborted by callers that may still be executing."""

PART_CRASHES = 5
"""Crashes under a part of a prompt after which requests with it must stop."""

REQUEST_CRASHES = 3
"""Crashes under copies of a request after which they must stop."""

LATE_ARRIVALS = 3
"""Arrivals of such requests at endpoints that are allowed from then on."""

CUT_SHARE = 2 / 3
"""Share of what the others serve that instances must serve which are cut off
from all endpoints, or called by slow readers."""

CUT_FAILURES = 10
"""First tries that may fail there in any case."""

CUT_FAILURE_SHARE = 1 / 50
"""Share of them that may fail in addition."""

LIMIT_WINDOW_S = 4.0
"""Time window over which requests to an endpoint with a limit are counted."""

LIMIT_FACTOR = 1.5
"""Multiple of the named rate that is allowed."""

LIMIT_SLACK = 5
"""Requests allowed on top of that in a window."""

TOLD_S = 0.5
"""Time after which an answer that an instance passed on binds it."""

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which state that a request has not been executed."""

MISDIRECTED = 421

ORGANISATION = "one"
"""The only organisation that sends requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of an invariant.

    Attributes:
        check: Name of the check.
        request_id: Id of the affected request, empty if there is none.
        at_s: Monotonic time of the violation, in seconds.
        text: Description of the violation.
    """

    check: str
    request_id: str
    at_s: float
    text: str


Check = Callable[[records.Record], Iterator[Finding]]


def check_answers(record: records.Record) -> Iterator[Finding]:
    """Responses are complete, unmixed and signed by the executing endpoint."""
    executions = record.group_executions()
    names = {
        (endpoint.name, execution.request_id)
        for endpoint in record.endpoints
        for execution in endpoint.executions
    }
    for call in record.calls:
        if call.problem is not None:
            yield _make_finding("answers", call, call.problem)
        elif call.status == 200 and call.outcome is records.Outcome.WHOLE:
            signer = (call.signature or "").removeprefix(
                platform_calls.SIGNATURE_PREFIX
            )
            if (signer, call.request_id) not in names:
                yield _make_finding(
                    "answers",
                    call,
                    f"signed by {call.signature}, executed "
                    f"{len(executions.get(call.request_id, []))} times",
                )


def check_at_most_once(record: records.Record) -> Iterator[Finding]:
    """Calls that must not be retried are executed at most once."""
    executions = record.group_executions()
    for call in record.calls:
        count = len(executions.get(call.request_id, []))
        if call.kind is records.CallKind.ONCE and count > 1:
            yield _make_finding("once", call, f"executed {count} times")


def check_refusals(record: records.Record) -> Iterator[Finding]:
    """Requests reported as not executed have not been executed."""
    executions = record.group_executions()
    for call in record.calls:
        if call.status in NOT_EXECUTED_STATUSES and executions.get(
            call.request_id
        ):
            yield _make_finding(
                "refusals", call, f"{call.status} after an execution"
            )


def check_requests(record: records.Record) -> Iterator[Finding]:
    """Endpoints execute unmodified requests for the right organisation."""
    by_request = {call.request_id: call for call in record.calls}
    for endpoint in record.endpoints:
        for execution in endpoint.executions:
            call = by_request.get(execution.request_id)
            if call is None:
                yield Finding(
                    "requests",
                    execution.request_id,
                    execution.began_at_s,
                    "not sent by any caller",
                )
            elif execution.body != call.body or platform_calls.has_key(
                execution.headers
            ):
                yield _make_finding("requests", call, "modified in transit")
            elif platform_calls.read_tenant(execution.headers) != ORGANISATION:
                yield _make_finding(
                    "requests", call, "executed for another organisation"
                )


def check_reservations(record: records.Record) -> Iterator[Finding]:
    """No two requests use the same reservation at the same time."""
    for endpoint in record.endpoints:
        for reservation in (
            *endpoint.reservations.values(),
            *endpoint.ended_reservations,
        ):
            if reservation.peak_users > 1:
                yield Finding(
                    "tickets",
                    "",
                    reservation.idle_since_s,
                    f"{endpoint.name}: reservation used by "
                    f"{reservation.peak_users} requests at the same time",
                )


def check_unreleased_memory(record: records.Record) -> Iterator[Finding]:
    """Endpoints have released all reserved memory after the load."""
    for text in record.unreleased_memory:
        yield Finding("left_over", "", 0.0, text)


def check_unexpected_exits(record: records.Record) -> Iterator[Finding]:
    """Instance processes do not exit unexpectedly."""
    for name in record.unexpected_exits:
        yield Finding("own_ends", "", 0.0, f"{name} exited unexpectedly")


def check_configuration_rollback(record: records.Record) -> Iterator[Finding]:
    """A process that has served a route serves it until it is removed."""
    removed_at_s = {
        change.subject: change.at_s
        for change in record.changes
        if change.kind is records.ChangeKind.ROUTE_REMOVED
    }
    served: dict[tuple[str, int, str], float] = {}
    for call in sorted(record.calls, key=lambda call: call.sent_at_s):
        if call.status is None:
            continue
        process_route = (call.instance, call.incarnation, call.route)
        if call.status == 404:
            served_at_s = served.get(process_route)
            is_removed = call.ended_at_s > removed_at_s.get(
                call.route, float("inf")
            )
            if (
                served_at_s is not None
                and call.sent_at_s > served_at_s + ROLLBACK_SLACK_S
                and not is_removed
            ):
                yield _make_finding(
                    "no_return", call, f"404 on previously served {call.route}"
                )
        elif call.status == 200:
            served.setdefault(process_route, call.ended_at_s)


def check_recovery(record: records.Record) -> Iterator[Finding]:
    """The system recovers after all instances were killed.

    Probes of a route that was removed are not counted: they get status 404.
    """
    if record.killed_all_at_s is None:
        return
    begins_at_s = record.killed_all_at_s + RECOVERY_S
    removed_at_s = {
        change.subject: change.at_s
        for change in record.changes
        if change.kind is records.ChangeKind.ROUTE_REMOVED
    }
    later = [
        call
        for call in record.calls
        if call.sent_at_s > begins_at_s
        and call.sent_at_s < removed_at_s.get(call.route, math.inf)
    ]
    succeeded = sum(call.status == 200 for call in later)
    if succeeded < RECOVERED_SHARE * len(later):
        yield Finding(
            "recovery",
            "",
            begins_at_s,
            f"{succeeded} of {len(later)} calls succeeded",
        )


def check_drain(record: records.Record) -> Iterator[Finding]:
    """A draining endpoint receives no new requests after its time limit."""
    drained_at_s = {
        change.subject: change.at_s
        for change in record.changes
        if change.kind is records.ChangeKind.ENDPOINT_LEAVES
    }
    for endpoint in record.endpoints:
        if endpoint.name in drained_at_s:
            limit_at_s = drained_at_s[endpoint.name] + DRAIN_S
            yield from _find_late_arrivals(
                record, "drain", endpoint, limit_at_s
            )


def check_domain_drain(record: records.Record) -> Iterator[Finding]:
    """A drained failure domain receives no new requests."""
    out_at_s: dict[str, float] = {}
    spans: list[tuple[str, float, float]] = []
    for change in record.changes:
        if change.kind is records.ChangeKind.DOMAIN_OUT:
            out_at_s[change.subject] = change.at_s
        elif change.kind is records.ChangeKind.DOMAIN_BACK:
            begins_at_s = out_at_s.pop(change.subject)
            spans.append((change.subject, begins_at_s, change.at_s))
    spans.extend((d, at_s, float("inf")) for d, at_s in out_at_s.items())
    for domain, begins_at_s, ends_at_s in spans:
        for endpoint in record.endpoints:
            if endpoint.zone == domain:
                yield from _find_late_arrivals(
                    record,
                    "domains",
                    endpoint,
                    begins_at_s + EVACUATION_S,
                    ends_at_s,
                )


def check_configuration(record: records.Record) -> Iterator[Finding]:
    """Changes are in force within their limit on fault-free instances."""
    executions = record.group_executions()
    for change in record.changes:
        limit_at_s = change.at_s + CONFIGURATION_S
        for call in record.calls:
            if call.sent_at_s <= limit_at_s or not record.is_uninterrupted(
                call.instance, call.sent_at_s - SETTLE_S, call.ended_at_s
            ):
                continue
            is_executed = bool(executions.get(call.request_id))
            match change.kind:
                case records.ChangeKind.KEY_TAKEN_AWAY:
                    if call.api_key == change.subject and is_executed:
                        yield _make_finding(
                            "configuration", call, "executed with a revoked key"
                        )
                case records.ChangeKind.ROUTE_REMOVED:
                    if call.route == change.subject and is_executed:
                        yield _make_finding(
                            "configuration", call, "executed on a removed route"
                        )
                case records.ChangeKind.ROUTE_ADDED:
                    if call.route == change.subject and call.status == 404:
                        if not _is_route_removed(record, call):
                            yield _make_finding(
                                "configuration", call, "404 on an added route"
                            )
                case _:
                    pass


def check_cold_start_limit(record: records.Record) -> Iterator[Finding]:
    """A cold endpoint receives no more requests per second than allowed."""
    max_requests = COLD_REQUESTS_PER_S * COLD_FACTOR + COLD_SLACK
    by_name = {endpoint.name: endpoint for endpoint in record.endpoints}
    for span in record.cold_spans:
        times = [
            arrival.at_s
            for arrival in by_name[span.endpoint].arrivals
            if span.begins_at_s <= arrival.at_s <= span.ends_at_s
        ]
        for first, at_s in enumerate(times):
            count = bisect.bisect_right(times, at_s + 1.0) - first
            if count > max_requests:
                text = f"{span.endpoint}: {count} requests within a second"
                yield Finding("cold", "", at_s, text)
                break


def check_retries(record: records.Record) -> Iterator[Finding]:
    """Retries of all instances together stay within the retry budget."""
    services = collections.defaultdict(list)
    for endpoint in record.endpoints:
        for arrival in endpoint.arrivals:
            services[endpoint.service].append(
                (arrival.at_s, arrival.request_id)
            )
    sent = sorted(call.sent_at_s for call in record.calls)
    for service, arrivals in services.items():
        seen: set[str] = set()
        retries = []
        for at_s, request in sorted(arrivals):
            if request in seen:
                retries.append(at_s)
            seen.add(request)
        for first, at_s in enumerate(retries):
            ends_s = at_s + RETRY_WINDOW_S
            count = bisect.bisect_right(retries, ends_s) - first
            calls = bisect.bisect_right(sent, ends_s) - bisect.bisect_left(
                sent, at_s - RETRY_WINDOW_S / 2
            )
            if count > RETRY_RATIO * calls + RETRY_EXTRA:
                text = f"{service}: {count} retries for {calls} calls"
                yield Finding("repeats", "", at_s, text)
                break


def check_crashing_parts(record: records.Record) -> Iterator[Finding]:
    """Requests with a part that crashes endpoints stop reaching them."""
    yield from _check_crashing(
        record, "parts", PART_CRASHES, lambda call: call.part
    )


def check_crashing_requests(record: records.Record) -> Iterator[Finding]:
    """Copies of a request that crashes endpoints stop reaching them."""
    yield from _check_crashing(
        record, "copies", REQUEST_CRASHES, lambda call: call.body.decode()
    )


def _check_crashing(
    record: records.Record,
    check: str,
    allowed_crashes: int,
    get_cause: Callable[[records.Call], str],
) -> Iterator[Finding]:
    calls = {call.request_id: call for call in record.calls if get_cause(call)}
    causes = {get_cause(call) for call in calls.values()}
    crashes: dict[str, list[float]] = collections.defaultdict(list)
    for endpoint in record.endpoints:
        for cause in causes & endpoint.crash_causes:
            crashes[cause].append(endpoint.crashed_at_s or 0.0)
    for cause, times in crashes.items():
        if len(times) < allowed_crashes:
            continue
        limit_at_s = sorted(times)[allowed_crashes - 1] + SETTLE_S
        late = [
            (arrival.at_s, call)
            for endpoint in record.endpoints
            for arrival in endpoint.arrivals
            if (call := calls.get(arrival.request_id)) is not None
            and get_cause(call) == cause
            and arrival.at_s > limit_at_s
            and record.is_uninterrupted(
                call.instance, arrival.at_s - SETTLE_S, arrival.at_s
            )
        ]
        if len(late) > LATE_ARRIVALS:
            yield _make_finding(
                check,
                min(late, key=lambda item: item[0])[1],
                f"{len(late)} late requests with {cause}, {len(times)} crashes",
            )


def check_cut_instances(record: records.Record) -> Iterator[Finding]:
    """Instances cut off from all endpoints serve about as well as others."""
    crash_causes = {c for e in record.endpoints for c in e.crash_causes}
    for span in record.cut_spans:
        calls = [
            call
            for call in _list_first_tries(record, span, SETTLE_S, crash_causes)
            if _is_any_in_reach(record, call)
        ]
        yield from _compare_served(
            "cut",
            "cut off",
            span,
            calls,
            lambda call: _is_cut_off(record, call.instance, call.sent_at_s),
        )


def check_slow_callers(record: records.Record) -> Iterator[Finding]:
    """Callers that do not read cost others nothing, and no second execution.

    Other callers of their instance are served about as well as elsewhere, and
    an unread stream that its endpoint cuts is resumed only once it is read.
    """
    crash_causes = {c for e in record.endpoints for c in e.crash_causes}
    for span in record.slow_spans:
        calls = [
            call
            for call in _list_first_tries(record, span, 0.0, crash_causes)
            if call.reads_at_s is None
        ]
        yield from _compare_served(
            "slow",
            "called by slow readers",
            span,
            calls,
            functools.partial(_is_call_of, span.instance),
        )
    executions = record.group_executions()
    for call in record.calls:
        reads_at_s = call.reads_at_s
        if reads_at_s is None or any(
            i.target != "callers"
            and i.overlaps(call.sent_at_s - SETTLE_S, reads_at_s)
            for i in record.interruptions
        ):
            continue
        early = [
            execution
            for execution in executions.get(call.request_id, [])
            if execution.began_at_s < reads_at_s
        ]
        if len(early) > 1:
            yield _make_finding(
                "slow", call, f"executed {len(early)} times before it is read"
            )


def _is_call_of(instance: str, call: records.Call) -> bool:
    return call.instance == instance


def _list_first_tries(
    record: records.Record,
    span: records.CutSpan | records.SlowSpan,
    settle_s: float,
    crash_causes: set[str],
) -> list[records.Call]:
    """Returns the calls in a span that were to be served."""
    return [
        call
        for call in record.calls
        if span.begins_at_s + settle_s <= call.sent_at_s <= span.ends_at_s
        and _counts_as_first_try(record, call, crash_causes)
    ]


def _compare_served(
    check: str,
    state: str,
    span: records.CutSpan | records.SlowSpan,
    calls: list[records.Call],
    is_affected: Callable[[records.Call], bool],
) -> Iterator[Finding]:
    """Reports affected instances that serve much less than the others."""
    served: dict[bool, list[bool]] = {True: [], False: []}
    for call in calls:
        served[is_affected(call)].append(
            call.status == 200 and call.outcome is records.Outcome.WHOLE
        )
    affected, others = served[True], served[False]
    failed = len(affected) - sum(affected)
    if (
        affected
        and others
        and sum(affected) / len(affected)
        < CUT_SHARE * sum(others) / len(others)
        and failed > CUT_FAILURES + CUT_FAILURE_SHARE * len(affected)
    ):
        yield Finding(
            check,
            "",
            span.begins_at_s,
            f"served {sum(affected)} of {len(affected)} at instances that were"
            f" {state}, {sum(others)} of {len(others)} at the others",
        )


def _is_any_in_reach(record: records.Record, call: records.Call) -> bool:
    """Returns whether an instance that is not cut off runs all the while."""
    begins_at_s, ends_at_s = call.sent_at_s, call.ended_at_s
    names = {call.instance for call in record.calls}
    return any(
        not _is_cut_off(record, name, begins_at_s)
        and not _is_cut_off(record, name, ends_at_s)
        and record.is_uninterrupted(name, begins_at_s - SETTLE_S, ends_at_s)
        for name in names
    )


def _is_cut_off(record: records.Record, instance: str, at_s: float) -> bool:
    return any(
        instance in span.instances
        and span.begins_at_s <= at_s <= span.ends_at_s
        for span in record.cut_spans
    )


def _counts_as_first_try(
    record: records.Record, call: records.Call, crash_causes: set[str]
) -> bool:
    """Returns whether a call was to be served by an instance in touch."""
    return (
        call.outcome is not records.Outcome.LEFT
        and call.status not in (401, 404)
        and call.part not in crash_causes
        and call.body.decode() not in crash_causes
        and record.is_uninterrupted(
            call.instance, call.sent_at_s - SETTLE_S, call.ended_at_s
        )
    )


def check_rate_limits(record: records.Record) -> Iterator[Finding]:
    """An endpoint gets no more requests than the rate that it names allows."""
    by_name = {endpoint.name: endpoint for endpoint in record.endpoints}
    calls = {call.request_id: call for call in record.calls}
    for span in record.limit_spans:
        arrivals = [
            (arrival.at_s, call.instance)
            for arrival in by_name[span.endpoint].arrivals
            if (call := calls.get(arrival.request_id)) is not None
            and span.begins_at_s <= arrival.at_s <= span.ends_at_s
        ]
        told_at_s: dict[str, float] = {}
        for at_s, instance in sorted(arrivals):
            told_at_s.setdefault(instance, at_s + TOLD_S)
        times = [
            at_s
            for at_s, instance in sorted(arrivals)
            if at_s >= max(span.begins_at_s + SETTLE_S, told_at_s[instance])
            and record.is_uninterrupted(instance, at_s - SETTLE_S, at_s)
        ]
        allowed = LIMIT_FACTOR * span.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for first, at_s in enumerate(times):
            count = bisect.bisect_right(times, at_s + LIMIT_WINDOW_S) - first
            if count > allowed:
                text = (
                    f"{span.endpoint}: {count} requests in 4 s, {allowed:.0f}"
                )
                yield Finding("limits", "", at_s, text)
                break


def check_idle_reservations(record: records.Record) -> Iterator[Finding]:
    """Reserved memory is released after its last use."""
    for idle in record.idle_reservations:
        if record.has_no_faults(idle.at_s - MEMORY_RELEASE_S, idle.at_s):
            text = (
                f"{idle.endpoint}: reservation {idle.reservation} "
                f"idle for {idle.idle_s:.1f} s"
            )
            yield Finding("memory", "", idle.at_s, text)


def check_planned_operations(record: records.Record) -> Iterator[Finding]:
    """Planned operations interrupt no request in progress."""
    executions = record.group_executions()
    for call in record.calls:
        if call.outcome not in (
            records.Outcome.CUT,
            records.Outcome.UNANSWERED,
        ):
            continue
        if not record.has_no_faults(call.sent_at_s - SETTLE_S, call.ended_at_s):
            continue
        took_s = call.ended_at_s - call.sent_at_s
        if executions.get(call.request_id) or took_s > REQUEST_READ_S:
            yield _make_finding(
                "planned",
                call,
                f"{call.outcome.value} during planned operations",
            )


def check_deadlines(record: records.Record) -> Iterator[Finding]:
    """Each call has its final response by its deadline."""
    for call in record.calls:
        late_s = call.ended_at_s - call.sent_at_s - call.deadline_s
        if late_s <= RESPONSE_SLACK_S:
            continue
        if record.is_uninterrupted(
            call.instance, call.sent_at_s - SETTLE_S, call.ended_at_s
        ):
            yield _make_finding(
                "ends", call, f"ended {late_s:.2f} s after its deadline"
            )


def check_aborted_calls(record: records.Record) -> Iterator[Finding]:
    """Endpoints stop executing calls that their callers have aborted."""
    executions = record.group_executions()
    aborted = [
        call
        for call in record.calls
        if call.outcome is records.Outcome.LEFT
        and record.has_no_faults(call.sent_at_s - SETTLE_S, call.ended_at_s + 1)
    ]
    executing = [
        call
        for call in aborted
        if any(
            (execution.ended_at_s or float("inf"))
            > call.ended_at_s + RESPONSE_SLACK_S
            for execution in executions.get(call.request_id, [])
        )
    ]
    if len(executing) > ABORTED_SHARE * len(aborted):
        text = f"{len(executing)} of {len(aborted)} aborted calls still execute"
        yield _make_finding("left", executing[0], text)


SAFETY: tuple[Check, ...] = (
    check_answers,
    check_at_most_once,
    check_refusals,
    check_requests,
    check_reservations,
    check_unreleased_memory,
    check_unexpected_exits,
    check_configuration_rollback,
    check_recovery,
)
"""Checks that hold regardless of the speed of the machine."""

TIMED: tuple[Check, ...] = (
    check_drain,
    check_domain_drain,
    check_configuration,
    check_cold_start_limit,
    check_retries,
    check_crashing_parts,
    check_crashing_requests,
    check_cut_instances,
    check_slow_callers,
    check_rate_limits,
    check_idle_reservations,
    check_planned_operations,
    check_deadlines,
    check_aborted_calls,
)
"""Checks of time limits, which can fail on an overloaded machine."""


def find_violations(
    record: records.Record, checks: tuple[Check, ...]
) -> list[Finding]:
    """Runs checks on a record.

    Args:
        record: The record of a soak.
        checks: The checks to run.

    Returns:
        The findings of all checks, in the order of the checks.
    """
    return [finding for check in checks for finding in check(record)]


def _find_late_arrivals(
    record: records.Record,
    check: str,
    endpoint: platform_replica.Replica,
    begins_at_s: float,
    ends_at_s: float = float("inf"),
) -> Iterator[Finding]:
    by_request = {call.request_id: call for call in record.calls}
    for arrival in endpoint.arrivals:
        call = by_request.get(arrival.request_id)
        if call is None or arrival.status == MISDIRECTED:
            continue
        if begins_at_s < arrival.at_s < ends_at_s and record.is_uninterrupted(
            call.instance, arrival.at_s - SETTLE_S, arrival.at_s
        ):
            late_s = arrival.at_s - begins_at_s
            text = f"reached {endpoint.name} {late_s:.2f} s after the limit"
            yield _make_finding(check, call, text)


def _is_route_removed(record: records.Record, call: records.Call) -> bool:
    return any(
        change.kind is records.ChangeKind.ROUTE_REMOVED
        and change.subject == call.route
        and change.at_s <= call.ended_at_s
        for change in record.changes
    )


def _make_finding(check: str, call: records.Call, text: str) -> Finding:
    kind = f"{call.kind.value} at {call.instance}"
    return Finding(check, call.request_id, call.sent_at_s, f"{kind}: {text}")


def make_bounds() -> dict[str, float]:
    """Returns the limits in the instances' settings by platform name."""
    return platform_documents.make_bounds(
        drain_s=DRAIN_S,
        configuration_s=CONFIGURATION_S,
        evacuation_s=EVACUATION_S,
        retry_ratio=RETRY_RATIO,
        retry_window_s=RETRY_WINDOW_S,
        extra_retries=RETRY_EXTRA,
        cold_factor=COLD_FACTOR,
        cold_slack=COLD_SLACK,
        free_s=MEMORY_RELEASE_S,
    )
