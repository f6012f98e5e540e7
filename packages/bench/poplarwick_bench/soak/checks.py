"""Promises that are checked on what a soak has seen.

Bounds are those of the settings that the soak gives its instances; the time
that a machine needs to settle after harm is the platform's rule.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator

from poplarwick_bench.soak import records
from poplarwick_standins import platform_calls
from poplarwick_standins import platform_documents
from poplarwick_standins import platform_replica

SETTLE_S = 3.0
"""Time after harm in which bounds do not hold (the platform's rule)."""

DRAIN_S = 2.0
"""Bound on new work to a leaving endpoint."""

EVACUATION_S = 5.0
"""Bound on new work in a failure domain that was taken out."""

CONFIGURATION_S = 2.0
"""Bound on applying a configuration."""

ROLLBACK_SLACK_S = 0.25
"""Time for calls that cross a change."""

LOSS_SLACK_S = 0.2
"""Time in which an instance reads a request."""

ANSWER_SLACK_S = 0.5
"""Time past its end in which a call has its final answer."""

RECOVERY_S = 12.0
"""Time after which the system serves again when all were killed."""

RECOVERED_SHARE = 0.25
"""Part of calls that are served then."""

COLD_PER_S = 4.0
"""Requests in a second that a cold endpoint bears in the soak."""

COLD_FACTOR = 1.5
"""Multiple of them that is allowed."""

COLD_SLACK = 5
"""Requests allowed beside that."""

REPEAT_RATIO = 0.2
"""Repeats allowed for each request of a service."""

REPEAT_EXTRA = 24
"""Repeats allowed in a window beside that."""

REPEAT_WINDOW_S = 10.0
"""Window over which repeats are counted."""

FREE_S = 4.0
"""Time in which unused memory is given back."""

LEFT_SHARE = 0.25
"""Part of the calls left by their callers that may still be worked on."""

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""

MISDIRECTED = 421

ORGANISATION = "one"
"""The one organisation that calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise.

    Attributes:
        check: Name of the check.
        request: Id of the request; empty where it concerns none.
        at_s: Monotonic time.
        text: What was seen.
    """

    check: str
    request: str
    at_s: float
    text: str


Check = Callable[[records.Record], Iterator[Finding]]


def check_answers(record: records.Record) -> Iterator[Finding]:
    """Answers are whole, unmixed and signed by an endpoint that ran them."""
    runs = record.find_runs()
    names = {
        (endpoint.name, run.request_id)
        for endpoint in record.endpoints
        for run in endpoint.executions
    }
    for call in record.calls:
        if call.problem is not None:
            yield _make("answers", call, call.problem)
        elif call.status == 200 and call.outcome is records.Outcome.WHOLE:
            signer = (call.signature or "").removeprefix(
                platform_calls.SIGNATURE_PREFIX
            )
            if (signer, call.request) not in names:
                yield _make(
                    "answers",
                    call,
                    f"signed by {call.signature}, run "
                    f"{len(runs.get(call.request, []))} times",
                )


def check_once(record: records.Record) -> Iterator[Finding]:
    """Calls that must not be repeated run at most once."""
    runs = record.find_runs()
    for call in record.calls:
        count = len(runs.get(call.request, []))
        if call.kind is records.CallKind.ONCE and count > 1:
            yield _make("once", call, f"run {count} times")


def check_refusals(record: records.Record) -> Iterator[Finding]:
    """A refusal that says that a request has not run is true."""
    runs = record.find_runs()
    for call in record.calls:
        if call.status in PROMISES and runs.get(call.request):
            yield _make("refusals", call, f"{call.status} after a run")


def check_requests(record: records.Record) -> Iterator[Finding]:
    """Endpoints run what callers sent, for the right organisation."""
    by_request = {call.request: call for call in record.calls}
    for endpoint in record.endpoints:
        for run in endpoint.executions:
            call = by_request.get(run.request_id)
            if call is None:
                yield Finding(
                    "requests", run.request_id, run.began_at_s, "nobody sent it"
                )
            elif run.body != call.body or platform_calls.has_key(run.headers):
                yield _make("requests", call, "changed on its way")
            elif platform_calls.read_tenant(run.headers) != ORGANISATION:
                yield _make("requests", call, "runs for another organisation")


def check_tickets(record: records.Record) -> Iterator[Finding]:
    """No two requests use one reservation at a time."""
    for endpoint in record.endpoints:
        for ticket in (
            *endpoint.reservations.values(),
            *endpoint.ended_reservations,
        ):
            if ticket.peak_users > 1:
                yield Finding(
                    "tickets",
                    "",
                    ticket.idle_since_s,
                    f"{endpoint.name}: used by {ticket.peak_users} at once",
                )


def check_left_over(record: records.Record) -> Iterator[Finding]:
    """After the load, endpoints have all of their memory back."""
    for text in record.left_over:
        yield Finding("left_over", "", 0.0, text)


def check_own_ends(record: records.Record) -> Iterator[Finding]:
    """Instances do not end by themselves."""
    for name in record.own_ends:
        yield Finding("own_ends", "", 0.0, f"{name} ended by itself")


def check_no_return(record: records.Record) -> Iterator[Finding]:
    """A process that has served a route knows it until it is removed."""
    removed = {
        change.subject: change.at_s
        for change in record.changes
        if change.kind is records.ChangeKind.ROUTE_REMOVED
    }
    served: dict[tuple[str, int, str], float] = {}
    for call in sorted(record.calls, key=lambda call: call.sent_at_s):
        if call.status is None:
            continue
        where = (call.instance, call.start, call.route)
        if call.status == 404:
            known_at_s = served.get(where)
            is_late = call.ended_at_s > removed.get(call.route, float("inf"))
            if (
                known_at_s is not None
                and call.sent_at_s > known_at_s + ROLLBACK_SLACK_S
                and not is_late
            ):
                yield _make("no_return", call, f"404 on {call.route} again")
        elif call.status == 200:
            served.setdefault(where, call.ended_at_s)


def check_recovery(record: records.Record) -> Iterator[Finding]:
    """The system serves again after all instances were killed."""
    if record.killed_all_at_s is None:
        return
    began_s = record.killed_all_at_s + RECOVERY_S
    later = [call for call in record.calls if call.sent_at_s > began_s]
    whole = sum(call.status == 200 for call in later)
    if whole < RECOVERED_SHARE * len(later):
        yield Finding(
            "recovery", "", began_s, f"{whole} of {len(later)} are served"
        )


def check_drain(record: records.Record) -> Iterator[Finding]:
    """A leaving endpoint gets no new work after its bound."""
    left = {
        change.subject: change.at_s
        for change in record.changes
        if change.kind is records.ChangeKind.ENDPOINT_LEAVES
    }
    for endpoint in record.endpoints:
        if endpoint.name in left:
            bound_s = left[endpoint.name] + DRAIN_S
            yield from _find_late(record, "drain", endpoint, bound_s)


def check_domains(record: records.Record) -> Iterator[Finding]:
    """A failure domain that was taken out gets no new work."""
    out_at_s: dict[str, float] = {}
    spans: list[tuple[str, float, float]] = []
    for change in record.changes:
        if change.kind is records.ChangeKind.DOMAIN_OUT:
            out_at_s[change.subject] = change.at_s
        elif change.kind is records.ChangeKind.DOMAIN_BACK:
            began_s = out_at_s.pop(change.subject)
            spans.append((change.subject, began_s, change.at_s))
    spans.extend((d, at_s, float("inf")) for d, at_s in out_at_s.items())
    for domain, began_s, ended_s in spans:
        for endpoint in record.endpoints:
            if endpoint.zone == domain:
                yield from _find_late(
                    record, "domains", endpoint, began_s + EVACUATION_S, ended_s
                )


def check_configuration(record: records.Record) -> Iterator[Finding]:
    """Changes are in force within their bound where nothing was harmed."""
    runs = record.find_runs()
    for change in record.changes:
        bound_s = change.at_s + CONFIGURATION_S
        for call in record.calls:
            if call.sent_at_s <= bound_s or not record.is_calm(
                call.instance, call.sent_at_s - SETTLE_S, call.ended_at_s
            ):
                continue
            ran = bool(runs.get(call.request))
            match change.kind:
                case records.ChangeKind.KEY_TAKEN_AWAY:
                    if call.key == change.subject and ran:
                        yield _make("configuration", call, "old key runs")
                case records.ChangeKind.ROUTE_REMOVED:
                    if call.route == change.subject and ran:
                        yield _make("configuration", call, "old route runs")
                case records.ChangeKind.ROUTE_ADDED:
                    if call.route == change.subject and call.status == 404:
                        if not _is_removed(record, call):
                            yield _make("configuration", call, "404 on new")
                case _:
                    pass


def check_cold(record: records.Record) -> Iterator[Finding]:
    """A cold endpoint gets no more in a second than it bears."""
    bound = COLD_PER_S * COLD_FACTOR + COLD_SLACK
    by_name = {endpoint.name: endpoint for endpoint in record.endpoints}
    for span in record.cold:
        times = [
            arrival.at_s
            for arrival in by_name[span.endpoint].arrivals
            if span.begins_at_s <= arrival.at_s <= span.ends_at_s
        ]
        for first, at_s in enumerate(times):
            count = bisect.bisect_right(times, at_s + 1.0) - first
            if count > bound:
                text = f"{span.endpoint}: {count} requests in a second"
                yield Finding("cold", "", at_s, text)
                break


def check_repeats(record: records.Record) -> Iterator[Finding]:
    """Repeats of all instances together stay within the allowance."""
    services = collections.defaultdict(list)
    for endpoint in record.endpoints:
        for arrival in endpoint.arrivals:
            services[endpoint.service].append(
                (arrival.at_s, arrival.request_id)
            )
    sent = sorted(call.sent_at_s for call in record.calls)
    for service, arrivals in services.items():
        seen: set[str] = set()
        repeats = []
        for at_s, request in sorted(arrivals):
            if request in seen:
                repeats.append(at_s)
            seen.add(request)
        for first, at_s in enumerate(repeats):
            ends_s = at_s + REPEAT_WINDOW_S
            count = bisect.bisect_right(repeats, ends_s) - first
            calls = bisect.bisect_right(sent, ends_s) - bisect.bisect_left(
                sent, at_s - REPEAT_WINDOW_S / 2
            )
            if count > REPEAT_RATIO * calls + REPEAT_EXTRA:
                text = f"{service}: {count} repeats for {calls} calls"
                yield Finding("repeats", "", at_s, text)
                break


def check_memory(record: records.Record) -> Iterator[Finding]:
    """Reserved memory is given back after its last use."""
    for idle in record.idle_tickets:
        if record.is_unharmed(idle.at_s - FREE_S, idle.at_s):
            text = f"{idle.endpoint}: {idle.ticket} idle for {idle.idle_s:.1f}"
            yield Finding("memory", "", idle.at_s, text)


def check_planned(record: records.Record) -> Iterator[Finding]:
    """Planned work cuts no request in progress."""
    runs = record.find_runs()
    for call in record.calls:
        if call.outcome not in (
            records.Outcome.CUT,
            records.Outcome.UNANSWERED,
        ):
            continue
        if not record.is_unharmed(call.sent_at_s - SETTLE_S, call.ended_at_s):
            continue
        took_s = call.ended_at_s - call.sent_at_s
        if runs.get(call.request) or took_s > LOSS_SLACK_S:
            yield _make("planned", call, f"{call.outcome.value} by plan")


def check_ends(record: records.Record) -> Iterator[Finding]:
    """Each call has its final answer when its time is over."""
    for call in record.calls:
        late_s = call.ended_at_s - call.sent_at_s - call.deadline_s
        if late_s <= ANSWER_SLACK_S:
            continue
        if record.is_calm(
            call.instance, call.sent_at_s - SETTLE_S, call.ended_at_s
        ):
            yield _make("ends", call, f"ended {late_s:.2f} s late")


def check_left(record: records.Record) -> Iterator[Finding]:
    """Endpoints stop work on calls that their callers have left."""
    runs = record.find_runs()
    left = [
        call
        for call in record.calls
        if call.outcome is records.Outcome.LEFT
        and record.is_unharmed(call.sent_at_s - SETTLE_S, call.ended_at_s + 1)
    ]
    working = [
        call
        for call in left
        if any(
            (run.ended_at_s or float("inf")) > call.ended_at_s + ANSWER_SLACK_S
            for run in runs.get(call.request, [])
        )
    ]
    if len(working) > LEFT_SHARE * len(left):
        text = f"work goes on for {len(working)} of {len(left)} left calls"
        yield _make("left", working[0], text)


SAFETY: tuple[Check, ...] = (
    check_answers,
    check_once,
    check_refusals,
    check_requests,
    check_tickets,
    check_left_over,
    check_own_ends,
    check_no_return,
    check_recovery,
)
"""Checks that hold on a machine of any speed."""

TIMED: tuple[Check, ...] = (
    check_drain,
    check_domains,
    check_configuration,
    check_cold,
    check_repeats,
    check_memory,
    check_planned,
    check_ends,
    check_left,
)
"""Checks of bounds in time; a busy machine may break them."""


def find_broken(
    record: records.Record, checks: tuple[Check, ...]
) -> list[Finding]:
    """Returns what the checks find."""
    return [finding for check in checks for finding in check(record)]


def _find_late(
    record: records.Record,
    check: str,
    endpoint: platform_replica.Replica,
    begins_at_s: float,
    ends_at_s: float = float("inf"),
) -> Iterator[Finding]:
    by_request = {call.request: call for call in record.calls}
    for arrival in endpoint.arrivals:
        call = by_request.get(arrival.request_id)
        if call is None or arrival.status == MISDIRECTED:
            continue
        if begins_at_s < arrival.at_s < ends_at_s and record.is_calm(
            call.instance, arrival.at_s - SETTLE_S, arrival.at_s
        ):
            late_s = arrival.at_s - begins_at_s
            text = f"{endpoint.name} gets it {late_s:.2f} s past the bound"
            yield _make(check, call, text)


def _is_removed(record: records.Record, call: records.Call) -> bool:
    return any(
        change.kind is records.ChangeKind.ROUTE_REMOVED
        and change.subject == call.route
        and change.at_s <= call.ended_at_s
        for change in record.changes
    )


def _make(check: str, call: records.Call, text: str) -> Finding:
    kind = f"{call.kind.value} at {call.instance}"
    return Finding(check, call.request, call.sent_at_s, f"{kind}: {text}")


def make_bounds() -> dict[str, float]:
    """Returns the bounds that instances are given, by the platform's names."""
    return platform_documents.make_bounds(
        drain_s=DRAIN_S,
        configuration_s=CONFIGURATION_S,
        evacuation_s=EVACUATION_S,
        retry_ratio=REPEAT_RATIO,
        retry_window_s=REPEAT_WINDOW_S,
        extra_retries=REPEAT_EXTRA,
        cold_factor=COLD_FACTOR,
        cold_slack=COLD_SLACK,
        free_s=FREE_S,
    )
