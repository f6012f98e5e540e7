"""Divides the grace period of a stop into its parts.

Load pattern: the machine is so busy that the event loop runs late, or the
process has stood still. The signal is handled late then, and so is each step of
the end. What callers need before the process is killed, the answers and the log
lines, is done early by that lateness. Streams that endpoints still write lose
nothing by a kill, so they go on until shortly before it, however late the
event loop is.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

BALANCER_DELAY_S = 2.6
"""Time from turning readiness off until the load balancer has noticed: two
checks one second apart, plus the network round trip."""

ANSWER_MARGIN_S = 0.6
"""Part of the grace period reserved for the last answers and log lines on a
machine that has time."""

EXIT_MARGIN_S = 0.5
"""Part of the grace period reserved for the end of the process."""

LAST_SHARE = 1 / 6
"""Last part of the grace period, in which endpoints have to end. Nothing is
ended before it begins."""

CLOSE_SHARE = 0.3
"""Part of the exit margin in which callers close their connections."""

RELEASE_SHARE = 0.4
"""Part of the exit margin that is left once releases of memory are not awaited
any longer; connections and tasks end in it."""

LATENESS_FACTOR = 2.0
"""Multiple of the event loop's lateness that is added to the margin of answers:
they are sent in several steps, each of which runs late."""

LATENESS_WINDOW = 40
"""Number of samples of the lateness that are kept."""


class StopSignal(NamedTuple):
    """When the signal to stop arrived.

    A process that stood still doesn't know it exactly.

    Attributes:
        earliest_at_s: Earliest monotonic time at which it may have arrived.
        latest_at_s: Monotonic time at which it was noticed.
    """

    earliest_at_s: float
    latest_at_s: float


class StopSchedule(NamedTuple):
    """Times of a stop, on the monotonic clock.

    Attributes:
        refuses_from_s: Time from which requests are refused.
        listens_until_s: Time until which callers may connect.
        prepares_at_s: Time at which the kernel takes what is unsent and the log
            names the requests that are left, which costs callers nothing.
        ends_at_s: Time at which requests whose callers have received nothing
            are answered.
        cuts_at_s: Time at which streams are cut off.
        closes_until_s: Time until which callers may close connections.
        releases_until_s: Time until which releases of memory are awaited.
        killed_at_s: Earliest time at which the platform kills the process.
    """

    refuses_from_s: float
    listens_until_s: float
    prepares_at_s: float
    ends_at_s: float
    cuts_at_s: float
    closes_until_s: float
    releases_until_s: float
    killed_at_s: float


class LoopLateness:
    """How late the event loop runs, from a check that it repeats.

    Args:
        period_s: Period of the check.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._last_check_s: float | None = None
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=LATENESS_WINDOW
        )

    def record_check(self, now_s: float) -> float:
        """Records a check, and returns by how much it is late."""
        lateness_s = self.calculate_overdue_s(now_s)
        self._samples_s.append(lateness_s)
        self._last_check_s = now_s
        return lateness_s

    def calculate_overdue_s(self, now_s: float) -> float:
        """Returns for how long the next check has been due; 0 if it is not."""
        if self._last_check_s is None:
            return 0.0
        return max(now_s - self._last_check_s - self._period_s, 0.0)

    def locate_signal(self, now_s: float) -> StopSignal:
        """Returns when a signal arrived that is noticed now.

        If the next check is overdue, the process may have stood still since the
        last one.
        """
        if self._last_check_s is None or not self.calculate_overdue_s(now_s):
            return StopSignal(now_s, now_s)
        return StopSignal(self._last_check_s, now_s)

    @property
    def worst_s(self) -> float:
        """Largest lateness of the recent checks."""
        return max(self._samples_s, default=0.0)


def make_schedule(
    signal: StopSignal,
    handled_at_s: float,
    grace_s: float,
    lateness_s: float,
) -> StopSchedule:
    """Returns the times of a stop.

    The kill, the preparations for it and the time from which requests are
    refused are counted from the earliest time of the signal, and the last part
    of the grace period from the latest one. The load balancer's delay is
    counted from the handling, which may follow a long step of the event loop.

    Args:
        signal: When the signal arrived.
        handled_at_s: Monotonic time at which readiness was turned off.
        grace_s: Time from the signal to the kill; may be infinite.
        lateness_s: Time by which the event loop runs late.
    """
    killed_at_s = signal.earliest_at_s + grace_s
    last_part_at_s = signal.latest_at_s + (1 - LAST_SHARE) * grace_s
    answer_margin_s = ANSWER_MARGIN_S + LATENESS_FACTOR * lateness_s
    ends_at_s = max(killed_at_s - answer_margin_s, last_part_at_s)
    cuts_at_s = max(killed_at_s - EXIT_MARGIN_S, ends_at_s)
    margin_s = 0.0
    if cuts_at_s < killed_at_s:
        margin_s = killed_at_s - cuts_at_s
    return StopSchedule(
        refuses_from_s=min(signal.earliest_at_s + BALANCER_DELAY_S, ends_at_s),
        listens_until_s=min(handled_at_s + BALANCER_DELAY_S, ends_at_s),
        prepares_at_s=signal.earliest_at_s + (1 - LAST_SHARE) * grace_s,
        ends_at_s=ends_at_s,
        cuts_at_s=cuts_at_s,
        closes_until_s=cuts_at_s + CLOSE_SHARE * margin_s,
        releases_until_s=cuts_at_s + (1 - RELEASE_SHARE) * margin_s,
        killed_at_s=killed_at_s,
    )
