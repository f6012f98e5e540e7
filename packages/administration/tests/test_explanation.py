"""Tests for the explanation of requests from logs."""

from __future__ import annotations

import json

import pytest

from poplarwick_administration import explanation
from poplarwick_administration import main
from poplarwick_core import log_lines

TIME_FORMAT = "2026-12-04T10:00:{:09.6f}Z"


def make_line(time_s, event, instance="front-1", **fields):
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    time = TIME_FORMAT.format(time_s)
    return (
        f"time={time} level=info event={event} at_s=1 instance={instance} "
        f"{pairs}\n"
    )


def make_log(*lines):
    return lambda: iter(lines)


ENDED_FIELDS = dict(request="r1", outcome="failed", reason="may_have_run")


def test_timeline_contains_cause_and_state_changes():
    timeline = explanation.explain(
        "r1",
        [
            make_log(
                make_line(1, "endpoint_doubted", "front-2", endpoint="e1"),
                make_line(1, "endpoint_doubted", "front-2", endpoint="e9"),
            ),
            make_log(
                make_line(2, "request_received", request="r1"),
                make_line(2.1, "request_placed", request="r1", endpoint="e1"),
                make_line(2.2, "request_received", request="r2"),
                make_line(
                    2.5,
                    "attempt_failed",
                    request="r1",
                    endpoint="e1",
                    result="broken",
                    reason='"answer broke off"',
                ),
                make_line(2.5, "request_ended", **ENDED_FIELDS),
            ),
        ],
    )
    assert timeline.endings == 1
    assert "must not run twice" in timeline.cause
    assert "endpoint e1 was broken: answer broke off" in timeline.cause
    assert [b.fields["endpoint"] for b in timeline.beliefs] == ["e1"]
    assert len(timeline.steps) == 4


@pytest.mark.parametrize(
    ("reason", "expected"),
    [
        ("no_endpoint", "no endpoint of the service"),
        ("no_time", "within the time left"),
        ("repeat_budget_spent", "retry budget was exhausted"),
    ],
)
def test_reason_is_described(reason, expected):
    line = make_line(
        1, "request_ended", request="r1", outcome="failed", reason=reason
    )
    assert expected in explanation.explain("r1", [make_log(line)]).cause


@pytest.mark.parametrize(
    ("estimate", "expected"),
    [
        (
            {"expected_tokens": 900, "cost_samples": 40},
            "expected by 40 earlier requests: 900 output tokens; it had 1200",
        ),
        (
            {"expected_tokens": 900, "cost_samples": 0},
            "expected by the caller: 900 output tokens; it had 1200",
        ),
        ({}, None),
    ],
)
def test_estimated_and_actual_cost_are_shown(estimate, expected):
    log = make_log(
        make_line(1, "request_placed", request="r1", **estimate),
        make_line(2, "request_ended", request="r1", output_tokens=1200),
    )
    assert explanation.explain("r1", [log]).cost == expected


def test_missing_ending_is_reported():
    line = make_line(1, "request_received", request="r1")
    cause = explanation.explain("r1", [make_log(line)]).cause
    assert "no ending" in cause


def test_prefix_of_log_collector_and_other_lines_are_ignored():
    parsed = log_lines.parse_line("12.5 front-1 " + make_line(1, "started"))
    assert parsed.event == "started"
    assert log_lines.parse_line("Traceback (most recent call last):") is None


def test_quoted_values_are_parsed():
    line = 'time=T event=e reason="a \\"b\\" = c\\n\\\\" instance=i'
    assert log_lines.parse_line(line).fields == {"reason": 'a "b" = c\n\\'}


def test_command_prints_text_and_json(tmp_path, capsys):
    log = tmp_path / "front-1.log"
    log.write_text(make_line(1, "request_ended", **ENDED_FIELDS))
    assert main.main(["explain", "r1", str(log)]) == 0
    assert "must not run twice" in capsys.readouterr().out
    assert main.main(["explain", "--json", "r1", str(log)]) == 0
    assert json.loads(capsys.readouterr().out)["endings"] == 1


def test_command_fails_for_missing_log_or_unknown_request(tmp_path, capsys):
    log = tmp_path / "front-1.log"
    log.write_text("")
    assert main.main(["explain", "r1", str(tmp_path / "none")]) == 2
    assert "no such log file" in capsys.readouterr().err
    assert main.main(["explain", "r1", str(log)]) == 1
