"""Tests for the check that the log of a leaving instance explains each end."""

from __future__ import annotations

import explained_ends
import planned_stops
import pytest
import stop_orders

GRACE_S = 8.0
STOP = stop_orders.Stop("front-0", 1, 100.0, 107.5)


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


def explain(attempt, *lines):
    logs = {"front-0": {"c1-1": list(lines)}}
    return list(explained_ends.explain_ends([attempt], [STOP], logs, GRACE_S))


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


def test_line_of_a_cut_that_no_caller_saw_is_a_finding():
    (explained,) = explain(
        make_attempt(is_complete=True),
        make_line("request_ended", outcome="caller_left"),
    )
    assert explained.finding == "its caller has a whole answer"


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
