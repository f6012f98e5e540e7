"""Tests for the check that the log of a leaving instance explains each end."""

from __future__ import annotations

import dataclasses

import explained_ends
import planned_stops
import pytest
import stop_orders

GRACE_S = 8.0
STOP = stop_orders.Stop("front-0", 1, 100.0, 107.5)
KILLED = stop_orders.Stop("front-0", 1, 100.0, 107.5, was_killed=True)


def make_attempt(**changes):
    values = {
        "request_id": "c1-1",
        "route": "short",
        "instance": "front-0",
        "incarnation": 1,
        "in_chunks": False,
        "is_first": False,
        "deadline_s": 10.0,
        "began_at_s": 101.0,
        "sent_at_s": 101.0,
        "ended_at_s": 107.4,
        "status": 200,
        "end": "IncompleteReadError",
    }
    return planned_stops.Attempt(**{**values, **changes})


def make_line(event, at_s=107.4, **fields):
    return explained_ends.Line(event, at_s, fields)


def make_stopping(outcome, at_s=107.4, status="502"):
    return make_line(
        "request_ended",
        at_s,
        outcome=outcome,
        status="200" if outcome == "cut" else status,
        reason="stopping",
    )


def make_left(stage="running", at_s=107.4):
    return make_line("request_left_at_stop", at_s, stage=stage)


def explain(attempt, *lines, stop=STOP):
    logs = {"front-0": {"c1-1": list(lines)}}
    return list(explained_ends.explain_ends([attempt], [stop], logs, GRACE_S))


def test_cut_in_the_last_sixth_is_explained():
    (explained,) = explain(
        make_attempt(),
        make_line("request_received", 101.0),
        make_line("connection_cut", stage="running"),
        make_line("request_ended", outcome="caller_left"),
    )
    assert explained.finding == ""
    assert explained.reason == (
        "request_ended caller_left + connection_cut running"
    )


@pytest.mark.parametrize(
    ("changes", "lines", "finding"),
    [
        (
            {"ended_at_s": 106.6},
            [make_line("request_ended", 106.6, outcome="caller_left")],
            "cut before the last sixth",
        ),
        (
            {"began_at_s": 103.1, "sent_at_s": 103.1},
            [make_line("request_ended", outcome="caller_left")],
            "taken over 3 s after SIGTERM",
        ),
        (
            {},
            [
                make_line(
                    "request_ended", outcome="cut", reason="repeat_budget_spent"
                )
            ],
            "cut before its end",
        ),
        (
            {},
            [make_line("request_ended", outcome="streamed")],
            "complete here, not there",
        ),
        ({}, [make_line("request_placed", 101.1)], "no line ends it"),
        ({}, [], "no line"),
        (
            {},
            [
                make_line("request_ended", outcome="caller_left"),
                make_line("request_refused", reason="stopping"),
            ],
            "2 lines",
        ),
        (
            {},
            [make_line("request_ended", 104.0, outcome="caller_left")],
            "the line is of another time",
        ),
        (
            {"status": None},
            [make_line("request_refused", reason="stopping")],
            "refusal did not arrive",
        ),
        (
            {},
            [make_line("request_abandoned", stage="reading")],
            "read whole and not run",
        ),
        (
            {},
            [make_line("request_abandoned", stage="answering")],
            "answer cut on its way",
        ),
    ],
)
def test_insufficient_line_is_a_finding(changes, lines, finding):
    (explained,) = explain(make_attempt(**changes), *lines)
    assert explained.finding == finding


@pytest.mark.parametrize(
    ("changes", "lines"),
    [
        ({"sent_at_s": 107.3, "began_at_s": 107.3, "status": None}, []),
        ({"is_first": True, "status": None}, []),
        ({"sent_at_s": None, "status": None}, []),
        (
            {"sent_at_s": None, "status": None},
            [make_line("request_abandoned", stage="reading")],
        ),
        ({}, [make_line("request_ended", outcome="cut", reason="time_over")]),
        (
            {},
            [
                make_line("request_ended", outcome="streamed"),
                make_line("answer_not_delivered", reason="reset"),
            ],
        ),
    ],
)
def test_sufficient_or_crossing_end_is_no_finding(changes, lines):
    (explained,) = explain(make_attempt(**changes), *lines)
    assert explained.finding == ""


@pytest.mark.parametrize(
    ("changes", "line", "finding"),
    [
        ({}, make_stopping("cut"), ""),
        (
            {"ended_at_s": 106.6},
            make_stopping("cut", 106.6),
            "cut before the last sixth",
        ),
        (
            {"began_at_s": 103.1, "sent_at_s": 103.1},
            make_stopping("cut"),
            "taken over 3 s after SIGTERM",
        ),
        (
            {"ended_at_s": 108.0},
            make_stopping("cut"),
            "the line is of another time",
        ),
        ({}, make_stopping("failed"), "answer of the stop did not arrive"),
        (
            {"status": None},
            make_stopping("failed", status="503"),
            "answer of the stop did not arrive",
        ),
    ],
)
def test_end_by_the_stop_is_judged_by_its_line(changes, line, finding):
    left = make_left(at_s=line.at_s)
    (explained,) = explain(make_attempt(**changes), left, line)
    assert explained.finding == finding
    told = make_line("answer_not_delivered", line.at_s, reason="reset")
    (explained,) = explain(make_attempt(**changes), left, line, told)
    assert explained.finding == finding


@pytest.mark.parametrize(
    ("status", "line", "finding"),
    [
        (502, make_stopping("failed"), ""),
        (503, make_stopping("failed", 102.7, "503"), ""),
        (502, make_stopping("failed", 106.6), "cut before the last sixth"),
        (200, make_stopping("failed"), "its caller has status 200"),
        (200, make_stopping("cut"), "its caller has a whole answer"),
    ],
)
def test_whole_answer_by_the_stop_has_the_status_of_its_line(
    status, line, finding
):
    attempt = make_attempt(is_complete=True, end="", status=status)
    (explained,) = explain(attempt, line)
    assert explained.finding == finding


@pytest.mark.parametrize(
    ("stop", "changes", "lines", "finding"),
    [
        (KILLED, {}, [make_left()], ""),
        (STOP, {}, [make_left()], "no line ends it, and no kill"),
        (
            KILLED,
            {"ended_at_s": 106.9},
            [make_left(at_s=106.8)],
            "no line ends it, and the kill is of another time",
        ),
        (
            KILLED,
            {},
            [make_left(at_s=106.6)],
            "cut before the last sixth",
        ),
        (
            dataclasses.replace(KILLED, exited_at_s=106.6),
            {"ended_at_s": 106.6},
            [make_left()],
            "cut before the last sixth",
        ),
        (
            KILLED,
            {"began_at_s": 103.1, "sent_at_s": 103.1},
            [make_left()],
            "taken over 3 s after SIGTERM",
        ),
        (KILLED, {}, [make_left(), make_left()], "2 lines"),
        (KILLED, {}, [make_left("answering")], "answer cut on its way"),
        (KILLED, {}, [make_left("reading")], "read whole and not run"),
        (KILLED, {"sent_at_s": None}, [make_left("reading")], ""),
        (KILLED, {}, [make_line("request_placed")], "no line ends it"),
    ],
)
def test_request_left_at_stop_is_explained_by_a_kill_in_the_last_sixth(
    stop, changes, lines, finding
):
    (explained,) = explain(make_attempt(**changes), *lines, stop=stop)
    assert explained.finding == finding


def test_line_of_a_cut_that_no_caller_saw_is_a_finding():
    (explained,) = explain(
        make_attempt(is_complete=True),
        make_line("request_ended", outcome="caller_left"),
    )
    assert explained.finding == "its caller has a whole answer"


def test_caller_that_reads_slowly_sees_the_end_later():
    line = make_stopping("cut")
    late = make_attempt(ended_at_s=112.0, reads_slowly=True)
    (explained,) = explain(late, line)
    assert explained.finding == ""
    (explained,) = explain(late, make_stopping("cut", 106.6))
    assert explained.finding == "cut before the last sixth"
    (explained,) = explain(make_attempt(ended_at_s=108.5), line)
    assert explained.finding == "the line is of another time"
    (explained,) = explain(
        make_attempt(ended_at_s=106.8, reads_slowly=True), line
    )
    assert explained.finding == "the line is of another time"
    assert not explain(make_attempt(ended_at_s=112.0), line)


def test_ends_away_from_a_stop_and_callers_that_gave_up_are_left_out():
    assert not explain(make_attempt(ended_at_s=99.0))
    assert not explain(make_attempt(end="deadline"))


def test_lines_are_read_by_request(tmp_path):
    log = tmp_path / "front-0.log"
    log.write_text(
        "time=2026-01-01T00:00:00Z level=info event=stopping at_s=100.0"
        " instance=front-0\n"
        "time=2026-01-01T00:00:01Z level=info event=request_ended at_s=101.5"
        ' instance=front-0 request=c1-1 outcome=cut reason="a b"\n'
    )
    lines = explained_ends.read_lines(log)
    assert list(lines) == ["c1-1"]
    (line,) = lines["c1-1"]
    assert (line.event, line.at_s) == ("request_ended", 101.5)
    assert line.fields["reason"] == "a b"
