"""Explains the outcome of a request from logs."""

from __future__ import annotations

import datetime
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from poplarwick_core import log_lines

STATE_LOOKBACK_S = 3.0
"""Time before a request from which state changes are shown, in seconds.

It exceeds the duration of a lease and the watch timeout of the store.
"""

MAX_STATE_CHANGES = 200
"""Maximum number of state changes that are kept.

Thousands may occur during a long request if many faults occur at once.
"""

MAX_STEPS = 1_000
"""Maximum number of log lines of one request that are kept.

A request logs a few lines per attempt.
"""

TERMINAL_EVENTS = frozenset(
    {
        "request_ended",
        "request_refused",
        "request_rejected",
        "request_unreadable",
    }
)
"""Events of which exactly one is logged for each HTTP request of a caller."""

INSTANCE_STATE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "freeze_noticed",
        "instance_cut_off",
        "instance_reaches_endpoints",
        "placer_followed",
        "placer_lost",
        "quarantine_imposed",
        "quarantine_lifted",
        "started",
        "stopping",
        "stop_cuts_requests",
        "store_lost",
        "store_reached",
        "tenure_ended",
        "tenure_taken",
    }
)
"""Events that affect all requests of the instance that logs them."""

CAUSES = {
    "no_endpoint": "no endpoint of the service was in service",
    "no_time": "no endpoint could have responded within the time left",
    "too_large": "no group of engines has enough memory for the prompt",
    "may_have_run": "an endpoint may have run it, and it must not run twice",
    "attempts_spent": "it reached the maximum number of attempts of its route",
    "sends_spent": "too many endpoints refused it",
    "repeat_budget_spent": "the retry budget was exhausted",
    "time_over": "its deadline passed while an endpoint was processing it",
    "quarantined": "it, or a part of its prompt, crashes endpoints",
    "suspected": "it, or a part of its prompt, may have crashed two endpoints",
    "stopping": "the instance was stopping",
    "no_configuration": "the instance had not loaded a configuration yet",
    "too_many_requests": "the instance had too many requests in progress",
}
"""Descriptions of the reasons in terminal events."""


class RequestTimeline(msgspec.Struct):
    """Log lines that concern a request, and the cause of its outcome.

    Attributes:
        request: Id of the request.
        steps: Log lines of the request, in order of time.
        beliefs: State changes that the instances involved logged at the same
            time, such as the suspicion of an endpoint.
        endings: Number of terminal events; more than one is a fault.
        cause: Cause of the outcome, in one sentence.
        cost: Estimated and actual cost, in one sentence; None if it was not
            estimated.
    """

    request: str
    steps: list[log_lines.LogLine] = msgspec.field(default_factory=list)
    beliefs: list[log_lines.LogLine] = msgspec.field(default_factory=list)
    endings: int = 0
    cause: str = "no line names this request"
    cost: str | None = None


LogOpener = Callable[[], Iterable[str]]
"""Function that opens a log from its start and returns its lines."""


def explain(request: str, logs: list[LogOpener]) -> RequestTimeline:
    """Reads logs twice and returns the timeline of a request.

    Args:
        request: Id of the request.
        logs: Logs of any instances, in any order.
    """
    timeline = RequestTimeline(request)
    for line in _read_lines(logs, request):
        if line.fields.get("request") == request:
            if len(timeline.steps) < MAX_STEPS:
                timeline.steps.append(line)
    timeline.steps.sort(key=lambda line: line.time)
    if not timeline.steps:
        return timeline
    timeline.endings = sum(s.event in TERMINAL_EVENTS for s in timeline.steps)
    timeline.cause = find_cause(timeline.steps)
    timeline.cost = describe_cost(timeline.steps)
    timeline.beliefs = _find_state_changes(timeline.steps, logs)
    return timeline


def find_cause(steps: list[log_lines.LogLine]) -> str:
    """Returns the cause of the outcome of a request.

    Args:
        steps: Log lines of the request, in order of time.
    """
    ends = [step for step in steps if step.event == "request_ended"]
    failures = [step for step in steps if step.event == "attempt_failed"]
    if not ends:
        rejections = [s for s in steps if s.event in TERMINAL_EVENTS]
        if rejections:
            return _describe_rejection(rejections[-1])
        return "it has no ending: its instance was killed or still processes it"
    outcome = ends[-1].fields.get("outcome", "")
    reason = ends[-1].fields.get("reason", "")
    cause = CAUSES.get(reason, reason)
    last = _describe_failure(failures[-1]) if failures else ""
    match outcome:
        case "answered" | "streamed" if not failures:
            return f"it was {outcome} at the first attempt"
        case "answered" | "streamed":
            return (
                f"it was {outcome} after another attempt; before that, {last}"
            )
        case "caller_left":
            return "the caller closed its connection"
        case _:
            return f"{cause}; {last}" if last else cause


def describe_cost(steps: list[log_lines.LogLine]) -> str | None:
    """Returns what a request was expected to cost, and what it did.

    Args:
        steps: Log lines of the request, in order of time.
    """
    placed = [s for s in steps if "cost_samples" in s.fields]
    if not placed:
        return None
    fields = placed[-1].fields
    samples = fields["cost_samples"]
    source = "the caller" if samples == "0" else f"{samples} earlier requests"
    if fields.get("expected_tokens", "0") == "0":
        expected = f"{fields.get('expected_first_s')} s"
    else:
        expected = f"{fields['expected_tokens']} output tokens"
    ends = [s for s in steps if "output_tokens" in s.fields]
    actual = f"; it had {ends[-1].fields['output_tokens']}" if ends else ""
    return f"expected by {source}: {expected}{actual}"


def _describe_rejection(step: log_lines.LogLine) -> str:
    fields = step.fields
    match step.event:
        case "request_rejected":
            return (
                f"version {fields.get('version')} of the configuration "
                f"rejects it with status {fields.get('status')}"
            )
        case "request_unreadable":
            return f"its headers cannot be read: {fields.get('reason')}"
        case _:
            reason = fields.get("reason", "")
            return CAUSES.get(reason, reason)


def _describe_failure(step: log_lines.LogLine) -> str:
    fields = step.fields
    return (
        f"endpoint {fields.get('endpoint')} was {fields.get('result')}: "
        f"{fields.get('reason')}"
    )


def _find_state_changes(
    steps: list[log_lines.LogLine], logs: list[LogOpener]
) -> list[log_lines.LogLine]:
    start = _shift_time(steps[0].time, -STATE_LOOKBACK_S)
    end = steps[-1].time
    endpoints = {s.fields["endpoint"] for s in steps if "endpoint" in s.fields}
    instances = {s.instance for s in steps}
    instances |= {s.fields["placer"] for s in steps if "placer" in s.fields}
    found: list[log_lines.LogLine] = []
    for line in _read_lines(logs, ""):
        if not start <= line.time <= end or "request" in line.fields:
            continue
        is_instance_state = (
            line.instance in instances and line.event in INSTANCE_STATE_EVENTS
        )
        if is_instance_state or line.fields.get("endpoint") in endpoints:
            found.append(line)
        if len(found) >= MAX_STATE_CHANGES:
            break
    return sorted(found, key=lambda line: line.time)


def _read_lines(
    logs: list[LogOpener], substring: str
) -> Iterator[log_lines.LogLine]:
    for open_log in logs:
        for text in open_log():
            if substring not in text:
                continue
            line = log_lines.parse_line(text)
            if line is not None:
                yield line


def _shift_time(time: str, offset_s: float) -> str:
    parsed = datetime.datetime.strptime(time, "%Y-%m-%dT%H:%M:%S.%fZ")
    shifted = parsed + datetime.timedelta(seconds=offset_s)
    return shifted.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
