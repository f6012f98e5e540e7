"""Explaining a request from logs."""

from __future__ import annotations

import json

import pytest

from poplarwick_administration import explanation
from poplarwick_administration import main
from poplarwick_core import log_lines

TIME = "2026-12-04T10:00:{:09.6f}Z"


def make_line(second, event, instance="front-1", **fields):
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    time = TIME.format(second)
    return (
        f"time={time} level=info event={event} at_s=1 instance={instance} "
        f"{pairs}\n"
    )


def make_log(*lines):
    return lambda: iter(lines)


ENDED = dict(request="r1", outcome="failed", reason="may_have_run")


def test_the_story_tells_the_cause_and_what_was_believed():
    story = explanation.explain(
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
                make_line(2.5, "request_ended", **ENDED),
            ),
        ],
    )
    assert story.endings == 1
    assert "must not run twice" in story.cause
    assert "endpoint e1 was broken: answer broke off" in story.cause
    assert [b.fields["endpoint"] for b in story.beliefs] == ["e1"]
    assert len(story.steps) == 4


@pytest.mark.parametrize(
    ("reason", "told"),
    [
        ("no_endpoint", "no endpoint of the service"),
        ("no_time", "within the time left"),
        ("repeat_budget_spent", "allowance of repeats"),
    ],
)
def test_a_refusal_is_told_in_words(reason, told):
    line = make_line(
        1, "request_ended", request="r1", outcome="failed", reason=reason
    )
    assert told in explanation.explain("r1", [make_log(line)]).cause


def test_a_request_without_an_ending_is_told():
    line = make_line(1, "request_received", request="r1")
    cause = explanation.explain("r1", [make_log(line)]).cause
    assert "no ending" in cause


def test_a_collectors_prefix_and_other_lines_are_ignored():
    parsed = log_lines.parse_line("12.5 front-1 " + make_line(1, "started"))
    assert parsed.event == "started"
    assert log_lines.parse_line("Traceback (most recent call last):") is None


def test_quoted_values_are_read_back_whole():
    line = 'time=T event=e reason="a \\"b\\" = c\\n\\\\" instance=i'
    assert log_lines.parse_line(line).fields == {"reason": 'a "b" = c\n\\'}


def test_the_command_prints_text_and_json(tmp_path, capsys):
    log = tmp_path / "front-1.log"
    log.write_text(make_line(1, "request_ended", **ENDED))
    assert main.main(["explain", "r1", str(log)]) == 0
    assert "must not run twice" in capsys.readouterr().out
    assert main.main(["explain", "--json", "r1", str(log)]) == 0
    assert json.loads(capsys.readouterr().out)["endings"] == 1


def test_the_command_tells_of_missing_logs_and_unknown_requests(
    tmp_path, capsys
):
    log = tmp_path / "front-1.log"
    log.write_text("")
    assert main.main(["explain", "r1", str(tmp_path / "none")]) == 2
    assert "no such log file" in capsys.readouterr().err
    assert main.main(["explain", "r1", str(log)]) == 1
