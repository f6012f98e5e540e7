"""How a grace period is divided when the event loop runs late."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from poplarwick_node import stop_schedule

GRACE_S = 8.0


def test_machine_that_has_time_uses_its_grace_period():
    schedule = stop_schedule.make_schedule(100.0, GRACE_S, 0.0)
    assert schedule.listens_until_s == 102.6
    assert schedule.ends_at_s == 107.4
    assert schedule.killed_at_s == 108.0


# Guards against processes that are killed while they still answer, as their
# event loop is late at the end of the grace period.
def test_late_event_loop_ends_sooner():
    schedule = stop_schedule.make_schedule(100.0, GRACE_S, 0.3)
    assert schedule.ends_at_s <= 108.0 - 0.3 - stop_schedule.EXIT_MARGIN_S


def test_lateness_is_that_of_recent_timers():
    lateness = stop_schedule.LoopLateness()
    assert lateness.worst_s == 0.0
    lateness.record(0.4)
    lateness.record(-0.1)
    assert lateness.worst_s == 0.4
    for _ in range(stop_schedule.LATENESS_WINDOW):
        lateness.record(0.0)
    assert lateness.worst_s == 0.0


@hypothesis.given(
    st.floats(0.0, 60.0), st.floats(0.0, 1e3), st.floats(0.0, 1e6)
)
def test_parts_follow_each_other(grace_s, lateness_s, now_s):
    schedule = stop_schedule.make_schedule(now_s, grace_s, lateness_s)
    assert schedule.listens_until_s <= schedule.ends_at_s
    assert schedule.ends_at_s <= schedule.closes_until_s
    assert schedule.closes_until_s <= schedule.releases_until_s
    assert schedule.releases_until_s <= schedule.killed_at_s
