"""Tells from logs why a request ended as it did."""

from __future__ import annotations

import datetime
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from poplarwick_core import log_lines

BELIEFS_BEFORE_S = 3.0
"""Time before a request from which changes of belief are shown; longer than a
lease and the watch of the store."""

MOST_BELIEFS = 200
"""Changes of belief that are kept; a long request in a storm sees thousands."""

MOST_STEPS = 1_000
"""Lines of one request that are kept; a request has a few per attempt."""

ENDINGS = frozenset(
    {
        "request_ended",
        "request_refused",
        "request_rejected",
        "request_unreadable",
    }
)
"""Events of which each attempt of a caller has exactly one."""

INSTANCE_BELIEFS = frozenset(
    {
        "configuration_in_force",
        "freeze_noticed",
        "placer_followed",
        "placer_lost",
        "started",
        "stopping",
        "stop_cuts_requests",
        "store_lost",
        "store_reached",
        "tenure_ended",
        "tenure_taken",
    }
)
"""Events that bear on all requests of the instance that wrote them."""

CAUSES = {
    "no_endpoint": "no endpoint of the service was in service",
    "no_time": "no endpoint could have answered within the time left",
    "too_large": "no group of engines can hold the prompt",
    "may_have_run": "an endpoint may have run it and it must not run twice",
    "attempts_spent": "it was sent as often as its route allows",
    "sends_spent": "too many endpoints refused it",
    "repeat_budget_spent": "the allowance of repeats was used up",
    "time_over": "its time was over while an endpoint worked on it",
    "stopping": "the instance was stopping",
    "no_configuration": "the instance had not learned a configuration yet",
    "too_many_requests": "the instance had too many requests in progress",
}
"""What the reasons of an ending mean."""


class Story(msgspec.Struct):
    """What happened to a request.

    Attributes:
        request: Its id.
        steps: Its own lines, in order of time.
        beliefs: What the instances involved came to believe meanwhile.
        endings: Number of ending lines; more than one is a fault.
        cause: Why it ended as it did, in one sentence.
    """

    request: str
    steps: list[log_lines.LogLine] = msgspec.field(default_factory=list)
    beliefs: list[log_lines.LogLine] = msgspec.field(default_factory=list)
    endings: int = 0
    cause: str = "no line names this request"


Open = Callable[[], Iterable[str]]
"""Opens a log anew and returns its lines."""


def explain(request: str, logs: list[Open]) -> Story:
    """Reads logs twice and returns a request's story.

    Args:
        request: Id of the request.
        logs: Logs of any instances, in any order.
    """
    story = Story(request)
    for line in _read(logs, request):
        if line.fields.get("request") == request:
            if len(story.steps) < MOST_STEPS:
                story.steps.append(line)
    story.steps.sort(key=lambda line: line.time)
    if not story.steps:
        return story
    story.endings = sum(s.event in ENDINGS for s in story.steps)
    story.cause = find_cause(story.steps)
    story.beliefs = _find_beliefs(story.steps, logs)
    return story


def find_cause(steps: list[log_lines.LogLine]) -> str:
    """Returns why a request ended as it did."""
    ends = [step for step in steps if step.event == "request_ended"]
    failures = [step for step in steps if step.event == "attempt_failed"]
    if not ends:
        turned_away = [s for s in steps if s.event in ENDINGS]
        if turned_away:
            return _describe_rejection(turned_away[-1])
        return "it has no ending: its instance was killed or still works on it"
    outcome = ends[-1].fields.get("outcome", "")
    reason = ends[-1].fields.get("reason", "")
    told = CAUSES.get(reason, reason)
    last = _describe_failure(failures[-1]) if failures else ""
    match outcome:
        case "answered" | "streamed" if not failures:
            return f"it was {outcome} at the first attempt"
        case "answered" | "streamed":
            return f"it was {outcome} after another attempt; before, {last}"
        case "caller_left":
            return "the caller closed its connection"
        case _:
            return f"{told}; {last}" if last else told


def _describe_rejection(step: log_lines.LogLine) -> str:
    fields = step.fields
    match step.event:
        case "request_rejected":
            return (
                f"version {fields.get('version')} of the configuration "
                f"answers it with {fields.get('status')}"
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


def _find_beliefs(
    steps: list[log_lines.LogLine], logs: list[Open]
) -> list[log_lines.LogLine]:
    begin = _shift(steps[0].time, -BELIEFS_BEFORE_S)
    end = steps[-1].time
    endpoints = {s.fields["endpoint"] for s in steps if "endpoint" in s.fields}
    instances = {s.instance for s in steps}
    instances |= {s.fields["placer"] for s in steps if "placer" in s.fields}
    found: list[log_lines.LogLine] = []
    for line in _read(logs, ""):
        if not begin <= line.time <= end or "request" in line.fields:
            continue
        is_of_instance = (
            line.instance in instances and line.event in INSTANCE_BELIEFS
        )
        if is_of_instance or line.fields.get("endpoint") in endpoints:
            found.append(line)
        if len(found) >= MOST_BELIEFS:
            break
    return sorted(found, key=lambda line: line.time)


def _read(logs: list[Open], needle: str) -> Iterator[log_lines.LogLine]:
    for open_log in logs:
        for text in open_log():
            if needle not in text:
                continue
            line = log_lines.parse_line(text)
            if line is not None:
                yield line


def _shift(time: str, by_s: float) -> str:
    moment = datetime.datetime.strptime(time, "%Y-%m-%dT%H:%M:%S.%fZ")
    moved = moment + datetime.timedelta(seconds=by_s)
    return moved.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
