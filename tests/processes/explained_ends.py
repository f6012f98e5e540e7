"""Matches what callers saw at a stop with the log of the leaving instance.

Each connection that ended without a whole answer has exactly one line that ends
its request, and each such line has its connection. The line says why, and the
reason has to be one that RULES.md (LOST) allows.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
from collections.abc import Iterable

from poplarwick_core import log_lines

LAST_SHARE = 5 / 6
"""Part of the grace period after which slow endpoints excuse an end."""

EARLY_REQUEST_S = 3.0
"""Time after SIGTERM up to which requests are excused for slow endpoints."""

LOSS_SLACK_S = 0.2
"""Time in which a request may cross the close of its connection."""

LOG_SLACK_S = 0.5
"""Time by which a line and the end that the caller saw may differ."""

TERMINAL_EVENTS = frozenset(
    {
        "request_ended",
        "request_refused",
        "request_rejected",
        "request_unreadable",
        "request_abandoned",
    }
)
"""Events of which each request has one."""

UNDELIVERED_EVENTS = frozenset(
    {"answer_not_delivered", "caller_cut_off", "connection_cut"}
)
"""Events which say that a complete answer did not reach its caller."""

WHOLE_OUTCOMES = frozenset({"answered", "streamed", "failed"})
"""Outcomes after which the caller should have an answer."""

REPLICA_REASONS = frozenset({"time_over"})
"""Reasons of cut streams that are excused."""

LEFT_AT_STOP = "request_left_at_stop"
"""Event of a request that its instance may not have the time to end."""

NOT_RUN_STATUS = 503
"""Status of a request that no endpoint has run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line of a log that names a request.

    Attributes:
        event: Name of the event.
        at_s: Monotonic time.
        fields: Its other fields.
    """

    event: str
    at_s: float
    fields: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """An end that a caller saw at a stop, and what the log says of it.

    Attributes:
        request_id: Id of the request.
        after_s: Time from SIGTERM to the end.
        reason: What the log says.
        finding: Why this is not enough; empty if it is.
    """

    request_id: str
    after_s: float
    reason: str
    finding: str = ""


def read_lines(path: pathlib.Path) -> dict[str, list[Line]]:
    """Returns the lines of an instance's log by the request they name."""
    lines = collections.defaultdict(list)
    for text in path.read_text(errors="replace").splitlines():
        parsed = log_lines.parse_line(text)
        if parsed is None or "request" not in parsed.fields:
            continue
        at_s = float(parsed.fields["at_s"])
        line = Line(parsed.event, at_s, parsed.fields)
        lines[parsed.fields["request"]].append(line)
    return lines


def explain_ends(attempts, stops, logs, grace_s):
    """Returns an explanation of each end at a stop, and of each line too many.

    Args:
        attempts: What callers saw.
        stops: All stops.
        logs: Lines by request of each instance (`read_lines`).
        grace_s: Grace period.
    """
    by_id = {attempt.request_id: attempt for attempt in attempts}
    for stop in stops:
        lines = logs[stop.instance]
        for attempt in attempts:
            if (
                attempt.instance == stop.instance
                and not attempt.is_complete
                and attempt.end != "deadline"
                and stop.at_s
                <= attempt.ended_at_s
                <= find_last_end_s(attempt, stop, grace_s)
            ):
                yield explain_end(
                    attempt, stop, lines.get(attempt.request_id, ()), grace_s
                )
        yield from _find_unseen(by_id, stop, lines, grace_s)


def find_last_end_s(attempt, stop, grace_s):
    """Returns the monotonic time until which a caller may see a stop's ends."""
    read_s = attempt.deadline_s if attempt.reads_slowly else 0.0
    return stop.at_s + grace_s + 1 + read_s


def explain_end(
    attempt, stop, lines: Iterable[Line], grace_s: float
) -> Explanation:
    """Returns what an instance's log says of a connection's end.

    Args:
        attempt: What its caller saw.
        stop: Stop of the instance.
        lines: Lines of the instance that name the request.
        grace_s: Grace period.
    """
    reason, finding = _judge(attempt, stop, list(lines), grace_s)
    return Explanation(
        attempt.request_id, attempt.ended_at_s - stop.at_s, reason, finding
    )


def _judge(attempt, stop, lines, grace_s) -> tuple[str, str]:
    terminal = [line for line in lines if line.event in TERMINAL_EVENTS]
    if not terminal:
        if any(line.event == LEFT_AT_STOP for line in lines):
            return _judge_left(attempt, stop, lines, grace_s)
        return _judge_unnamed(attempt, lines)
    if len(terminal) > 1:
        return _describe(terminal[-1], lines), f"{len(terminal)} lines"
    (line,) = terminal
    reason = _describe(line, lines)
    if not _ended_at(attempt, line.at_s):
        return reason, "the line is of another time"
    late_s = attempt.ended_at_s - (attempt.sent_at_s or attempt.ended_at_s)
    crossed = late_s <= LOSS_SLACK_S
    is_stopping = line.fields.get("reason") == "stopping"
    match line.event, line.fields.get("outcome"):
        case "request_ended", "failed" if is_stopping:
            return reason, "answer of the stop did not arrive"
        case "request_ended", "cut" if is_stopping:
            return reason, _judge_cut(attempt, stop, line, grace_s)
        case "request_ended", outcome if outcome in WHOLE_OUTCOMES:
            is_told = any(x.event in UNDELIVERED_EVENTS for x in lines)
            return reason, "" if is_told else "complete here, not there"
        case "request_ended", "cut":
            excused = line.fields.get("reason") in REPLICA_REASONS
            return reason, "" if excused else "cut before its end"
        case "request_ended", _:
            return reason, _judge_cut(attempt, stop, line, grace_s)
        case "request_abandoned", _ if line.fields["stage"] == "reading":
            is_whole = attempt.sent_at_s is not None and not crossed
            return reason, "read whole and not run" if is_whole else ""
        case "request_abandoned", _:
            return reason, "answer cut on its way"
        case _:
            return reason, "" if crossed else "refusal did not arrive"


def _ended_at(attempt, at_s):
    """Whether an end at a monotonic time is the one that the caller saw.

    A caller that reads slowly sees it once it has read the rest.
    """
    late_s = attempt.ended_at_s - at_s
    return -LOG_SLACK_S <= late_s and (
        late_s <= LOG_SLACK_S or attempt.reads_slowly
    )


def _judge_unnamed(attempt, lines) -> tuple[str, str]:
    """Judges a connection whose request no line ends."""
    if lines:
        return "unfinished: " + lines[-1].event, "no line ends it"
    if attempt.sent_at_s is None:
        return "not sent whole", ""
    if attempt.is_first:
        return "not accepted", ""
    if attempt.ended_at_s - attempt.sent_at_s <= LOSS_SLACK_S:
        return "crossed the close, no line", ""
    return "no line", "no line"


def _judge_left(attempt, stop, lines, grace_s) -> tuple[str, str]:
    """Judges a request that its instance has left unended at its end.

    The process may only have had no time for a line if it was killed. What the
    kill ends is judged like what the instance ends.
    """
    (left, *more) = [line for line in lines if line.event == LEFT_AT_STOP]
    stage = left.fields["stage"]
    reason = f"{LEFT_AT_STOP} {stage}"
    if more:
        return reason, f"{len(more) + 1} lines"
    if not stop.was_killed:
        return reason, "no line ends it, and no kill"
    if not _ended_at(attempt, stop.exited_at_s):
        return reason, "no line ends it, and the kill is of another time"
    if stage == "answering":
        return reason, "answer cut on its way"
    if stage == "reading":
        late_s = attempt.ended_at_s - (attempt.sent_at_s or attempt.ended_at_s)
        is_whole = late_s > LOSS_SLACK_S
        return reason, "read whole and not run" if is_whole else ""
    if attempt.ended_at_s < stop.at_s + LAST_SHARE * grace_s:
        return reason, "cut before the last sixth"
    return reason, _judge_cut(attempt, stop, left, grace_s)


def _judge_cut(attempt, stop, line, grace_s) -> str:
    """Judges a request that its instance has ended itself."""
    if attempt.began_at_s > stop.at_s + EARLY_REQUEST_S:
        return "taken over 3 s after SIGTERM"
    if line.at_s < stop.at_s + LAST_SHARE * grace_s:
        return "cut before the last sixth"
    return ""


def _judge_whole(attempt, stop, line, grace_s) -> str:
    """Judges an answer of the stop itself that its caller has whole."""
    if attempt.status != int(line.fields["status"]):
        return f"its caller has status {attempt.status}"
    if attempt.status == NOT_RUN_STATUS:
        return ""
    return _judge_cut(attempt, stop, line, grace_s)


def _describe(line: Line, lines: list[Line]) -> str:
    fields = line.fields
    words = [line.event]
    names = ("outcome", "status", "stage", "reason")
    words += [fields[x] for x in names if x in fields]
    words += [
        f"+ {x.event} {x.fields.get('stage', x.fields.get('result', ''))}"
        for x in lines
        if x.event in UNDELIVERED_EVENTS or x.event == "attempt_failed"
    ]
    return " ".join(words)


def _find_unseen(by_id, stop, lines, grace_s):
    """Yields lines that do not fit the whole answers of their callers."""
    until_s = stop.at_s + grace_s + 1
    for request_id, of_request in lines.items():
        attempt = by_id.get(request_id)
        if attempt is None or not attempt.is_complete:
            continue
        for line in of_request:
            if not stop.at_s <= line.at_s <= until_s:
                continue
            after_s = line.at_s - stop.at_s
            ended = line.fields.get("outcome") in ("cut", "caller_left")
            abandoned = line.event in ("request_abandoned", "connection_cut")
            if ended or abandoned:
                yield Explanation(
                    request_id,
                    after_s,
                    _describe(line, []),
                    "its caller has a whole answer",
                )
            elif (
                line.event == "request_ended"
                and line.fields.get("reason") == "stopping"
            ):
                yield Explanation(
                    request_id,
                    after_s,
                    _describe(line, []),
                    _judge_whole(attempt, stop, line, grace_s),
                )


def tabulate(
    explanations: Iterable[Explanation], excused: Iterable[str] = ()
) -> list[str]:
    """Returns a line with the count of each reason, findings first.

    Args:
        explanations: The explanations.
        excused: Ids of requests that a disruption excuses.
    """
    counts = collections.Counter(
        (e.finding, e.request_id in excused, e.reason) for e in explanations
    )
    names = {True: "excused ", False: "FINDING "}
    return [
        f"{count:4} {names[is_excused] + finding if finding else 'allowed'}:"
        f" {reason}"
        for (finding, is_excused, reason), count in sorted(
            counts.items(), reverse=True
        )
    ]
