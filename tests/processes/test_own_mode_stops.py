"""A stop of a real instance in the product's own mode, under load."""

from __future__ import annotations

import asyncio

import own_mode_stops
import pytest


@pytest.fixture(name="result", scope="module")
def fixture_result(tmp_path_factory):
    """What a play of one stop has shown."""
    # Long enough for the end on a machine that is slow.
    kill_after_s = 4 * own_mode_stops.GRACE_S
    folder = tmp_path_factory.mktemp("stop")
    return asyncio.run(
        own_mode_stops.play(1, folder, kill_after_s=kill_after_s)
    )


@pytest.fixture(name="report")
def fixture_report(result):
    """Description of the play, for failures."""
    return "\n".join(own_mode_stops.describe(result))


# Guards against a stop that waits for callers who go on sending.
def test_instance_ends_while_callers_go_on_sending(result, report):
    after = [a for a in result.attempts if a.began_at_s > result.stopped_at_s]
    assert after, report
    assert result.exit_code == 0, report


# Guards against requests on open connections that vanish without an answer.
def test_stop_loses_no_request(result, report):
    assert own_mode_stops.find_lost(result, slack_s=None) == [], report


# Guards against requests that wait until the end of the grace period cuts them.
def test_request_that_begins_during_the_stop_is_answered(result, report):
    assert own_mode_stops.find_begun_in_vain(result) == [], report


def test_requests_refused_as_not_run_were_not_run(result, report):
    assert own_mode_stops.find_untrue(result) == [], report


def test_log_explains_each_end(result, report):
    assert own_mode_stops.find_unexplained(result) == [], report
