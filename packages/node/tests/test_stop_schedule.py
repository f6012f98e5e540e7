"""How a grace period is divided when the event loop runs late."""

from __future__ import annotations

import math

import hypothesis
import pytest
from hypothesis import strategies as st

from poplarwick_node import stop_schedule

GRACE_S = 8.0


LAST_PART_S = GRACE_S * 5 / 6
"""Time after the signal from which endpoints have to end (RULES.md, LOST)."""

PERIOD_S = 0.25


def make_schedule(
    lateness_s=0.0, *, noticed_at_s=100.0, handled_at_s=None, grace_s=GRACE_S
):
    return stop_schedule.make_schedule(
        stop_schedule.StopSignal(100.0, noticed_at_s),
        noticed_at_s if handled_at_s is None else handled_at_s,
        grace_s,
        lateness_s,
    )


def test_machine_that_has_time_uses_its_grace_period():
    schedule = make_schedule()
    assert schedule.refuses_from_s == 102.6
    assert schedule.listens_until_s == 102.6
    assert schedule.prepares_at_s == pytest.approx(100.0 + LAST_PART_S)
    assert schedule.ends_at_s == 107.4
    assert schedule.cuts_at_s == 107.5
    assert schedule.killed_at_s == 108.0


# Guards against processes that are killed while they still answer, as their
# event loop is late at the end of the grace period.
def test_late_event_loop_answers_sooner():
    schedule = make_schedule(0.3)
    assert schedule.ends_at_s <= 108.0 - 0.3 - stop_schedule.ANSWER_MARGIN_S


# Guards against requests that are cut before the last sixth of the grace
# period, as the event loop was late in the seconds before (LOST).
@hypothesis.given(
    st.floats(0.0, 1e3), st.floats(0.0, 60.0), st.floats(0.0, 1e3)
)
def test_nothing_is_ended_before_the_last_part(
    noticed_after_s, grace_s, lateness_s
):
    noticed_at_s = 100.0 + noticed_after_s
    schedule = make_schedule(
        lateness_s, noticed_at_s=noticed_at_s, grace_s=grace_s
    )
    last_part_at_s = noticed_at_s + grace_s * LAST_PART_S / GRACE_S
    assert schedule.ends_at_s >= last_part_at_s - 1e-9
    assert schedule.cuts_at_s >= schedule.ends_at_s


def test_streams_go_on_while_the_event_loop_is_late():
    assert make_schedule(0.5).cuts_at_s == make_schedule().cuts_at_s


def test_signal_that_was_noticed_late_counts_from_when_it_may_have_come():
    schedule = make_schedule(noticed_at_s=100.9)
    assert schedule.refuses_from_s == 102.6
    assert schedule.listens_until_s == 103.5
    assert schedule.killed_at_s == 108.0


# Guards against answers and log lines that a kill takes along, as the signal
# came at the beginning of a standstill (LOST).
@hypothesis.given(st.floats(0.0, 1e3), st.floats(0.0, 60.0))
def test_kill_is_prepared_for_however_late_the_signal_was_noticed(
    noticed_after_s, grace_s
):
    schedule = make_schedule(
        noticed_at_s=100.0 + noticed_after_s, grace_s=grace_s
    )
    assert schedule.prepares_at_s <= schedule.killed_at_s - grace_s / 6 + 1e-9
    assert schedule.prepares_at_s <= schedule.ends_at_s + 1e-9


# Guards against requests without an answer at the kill, as a long step of the
# event loop lay between the signal and its handling (LOST).
@hypothesis.given(st.floats(0.0, 2.0), st.floats(0.0, 1e3))
def test_late_handling_does_not_move_the_end(handled_after_s, lateness_s):
    late = make_schedule(lateness_s, handled_at_s=100.0 + handled_after_s)
    assert late.ends_at_s == make_schedule(lateness_s).ends_at_s
    assert late.listens_until_s == 102.6 + handled_after_s


def test_lateness_is_that_of_recent_checks():
    lateness = stop_schedule.LoopLateness(PERIOD_S)
    assert lateness.worst_s == 0.0
    assert lateness.record_check(10.0) == 0.0
    assert lateness.record_check(10.65) == pytest.approx(0.4)
    assert lateness.record_check(10.8) == 0.0
    assert lateness.worst_s == pytest.approx(0.4)
    for number in range(stop_schedule.LATENESS_WINDOW):
        lateness.record_check(10.8 + PERIOD_S * number)
    assert lateness.worst_s == pytest.approx(0.0)


def test_check_that_is_overdue_tells_how_long_the_process_did_not_run():
    lateness = stop_schedule.LoopLateness(PERIOD_S)
    assert lateness.calculate_overdue_s(10.0) == 0.0
    lateness.record_check(10.0)
    assert lateness.calculate_overdue_s(10.2) == 0.0
    assert lateness.calculate_overdue_s(11.25) == pytest.approx(1.0)


def test_stop_without_a_grace_period_has_no_end():
    schedule = make_schedule(0.3, grace_s=math.inf)
    assert schedule.refuses_from_s == 102.6
    assert schedule.listens_until_s == 102.6
    assert set(schedule[2:]) == {math.inf}


# Guards against requests that are passed on over 3 s after the signal, as a
# standstill is taken to have begun only when the next check was due (LOST).
def test_signal_in_a_standstill_may_have_come_after_the_last_check():
    lateness = stop_schedule.LoopLateness(PERIOD_S)
    assert lateness.locate_signal(9.0) == (9.0, 9.0)
    lateness.record_check(10.0)
    assert lateness.locate_signal(10.2) == (10.2, 10.2)
    assert lateness.locate_signal(11.25) == (10.0, 11.25)


@hypothesis.given(
    st.floats(0.0, 60.0), st.floats(0.0, 1e3), st.floats(0.0, 1e6)
)
def test_parts_follow_each_other(grace_s, lateness_s, now_s):
    schedule = stop_schedule.make_schedule(
        stop_schedule.StopSignal(now_s, now_s), now_s, grace_s, lateness_s
    )
    assert schedule.refuses_from_s <= schedule.listens_until_s
    assert schedule.listens_until_s <= schedule.ends_at_s
    assert schedule.ends_at_s <= schedule.cuts_at_s
    assert schedule.cuts_at_s <= schedule.closes_until_s
    assert schedule.closes_until_s <= schedule.releases_until_s
    assert schedule.releases_until_s <= schedule.killed_at_s
