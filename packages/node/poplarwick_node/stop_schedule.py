"""Divides the grace period of a stop into its parts.

Load pattern: the machine is so busy that the event loop runs late. The signal
is handled late then, and so is the end: a process that counts its grace period
from the time at which it handles the signal, with a fixed margin for its end,
is killed while it still answers, and takes along what it has not sent or
logged.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

BALANCER_DELAY_S = 2.6
"""Time from turning readiness off until the load balancer has noticed: two
checks one second apart, plus the network round trip."""

EXIT_MARGIN_S = 0.6
"""Part of the grace period reserved for the end on a machine that has time."""

CLOSE_SHARE = 0.4
"""Part of that margin in which callers close their connections."""

RELEASE_SHARE = 0.3
"""Part of that margin that is left once releases of memory are not awaited any
longer; connections and tasks end in it."""

LATENESS_FACTOR = 2.0
"""Multiple of the event loop's lateness that is added to the margin: the steps
of the end run late one after the other."""

MAX_MARGIN_SHARE = 0.25
"""Largest margin, as a part of the grace period."""

LATENESS_WINDOW = 40
"""Number of samples of the lateness that are kept."""


class StopSchedule(NamedTuple):
    """Times of a stop, on the monotonic clock.

    Attributes:
        listens_until_s: Time until which callers may connect.
        ends_at_s: Time at which requests in progress are cut off.
        closes_until_s: Time until which callers may close connections.
        releases_until_s: Time until which releases of memory are awaited.
        killed_at_s: Time at which the platform kills the process.
    """

    listens_until_s: float
    ends_at_s: float
    closes_until_s: float
    releases_until_s: float
    killed_at_s: float


class LoopLateness:
    """How late the event loop has run recently."""

    def __init__(self) -> None:
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=LATENESS_WINDOW
        )

    def record(self, lateness_s: float) -> None:
        """Records by how much a timer has fired late."""
        self._samples_s.append(max(lateness_s, 0.0))

    @property
    def worst_s(self) -> float:
        """Largest lateness of the recent timers."""
        return max(self._samples_s, default=0.0)


def make_schedule(
    signalled_at_s: float, grace_s: float, lateness_s: float
) -> StopSchedule:
    """Returns the times of a stop.

    Args:
        signalled_at_s: Monotonic time at which the signal arrived.
        grace_s: Time from the signal to the kill.
        lateness_s: Time by which the event loop runs late.
    """
    killed_at_s = signalled_at_s + grace_s
    margin_s = min(
        EXIT_MARGIN_S + LATENESS_FACTOR * lateness_s,
        max(MAX_MARGIN_SHARE * grace_s, EXIT_MARGIN_S),
    )
    ends_at_s = killed_at_s - margin_s
    return StopSchedule(
        listens_until_s=min(signalled_at_s + BALANCER_DELAY_S, ends_at_s),
        ends_at_s=ends_at_s,
        closes_until_s=ends_at_s + CLOSE_SHARE * margin_s,
        releases_until_s=killed_at_s - RELEASE_SHARE * margin_s,
        killed_at_s=killed_at_s,
    )
