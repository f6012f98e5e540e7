"""Measures how fast queued long prompts really start.

Load pattern: sustained overload of a mix of prompts. A long prompt starts only
where several engines can prefill it together without long pauses for what they
run. Free slots, memory and prefill time alone say much too early that it can
start, and a forecast from them lets callers wait until their deadline. How many
have started while others waited is known, and so is how many arrive, which are
too few for a rate over fractions of a second.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from poplarwick_core import ids
from poplarwick_placement import arrival_rates
from poplarwick_placement import messages

DECAY_S = 15.0
"""Time constant of the measurement; about one of the longest deadlines."""

MAX_ROUND_S = 0.1
"""Longest time between two rounds in which requests count as having waited all
the while; several rounds of decisions."""

MIN_WAITED_S = 1.5
"""Time for which prompts have waited before the measurement is used."""

EXPECTED_STARTS = 1.0
"""Starts that count besides those that were seen: the next one may be about to
happen, and a prompt that is refused wrongly is worse off than one that waits."""


class Pace(NamedTuple):
    """How long prompts of one size start while others wait.

    Attributes:
        start_s: Mean time from one start to the next.
        arrivals_per_s: Arrivals a second.
    """

    start_s: float
    arrivals_per_s: float


@dataclasses.dataclass(slots=True)
class _Counts:
    """Sums with exponential decay.

    Attributes:
        waited_s: Time in which prompts waited.
        starts: Starts in that time.
        arrivals: Arrivals.
        measured_s: Time in which arrivals were counted.
        at_s: Monotonic time of the sums.
        waits_until_s: Monotonic time until which a prompt counts as waiting.
    """

    waited_s: float = 0.0
    starts: float = 0.0
    arrivals: float = 0.0
    measured_s: float = 0.0
    at_s: float = 0.0
    waits_until_s: float = -math.inf

    def advance(self, now_s: float) -> None:
        """Lets the sums decay until a time."""
        elapsed_s = max(now_s - self.at_s, 0.0)
        decay = math.exp(-elapsed_s / DECAY_S)
        waited_s = max(min(now_s, self.waits_until_s) - self.at_s, 0.0)
        self.waited_s = self.waited_s * decay + waited_s
        self.starts *= decay
        self.arrivals *= decay
        self.measured_s = self.measured_s * decay + elapsed_s
        self.at_s = now_s


class LongPromptPace:
    """Paces of the long prompts of each service, by size."""

    def __init__(self) -> None:
        self._counts: dict[ids.ServiceId, dict[int, _Counts]] = {}

    def record_submission(
        self, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Counts a new request."""
        counts = self._counts.get(request.service, {}).get(
            arrival_rates.get_size(request)
        )
        if counts is not None:
            counts.advance(now_s)
            counts.arrivals += 1

    def record_waiting(
        self, service: ids.ServiceId, sizes: Collection[int], now_s: float
    ) -> None:
        """Records which sizes of long prompts wait in a round of decisions."""
        by_size = self._counts.setdefault(service, {})
        for size in sizes:
            counts = by_size.get(size)
            if counts is None:
                # The prompt that waits has arrived.
                counts = by_size[size] = _Counts(arrivals=1.0, at_s=now_s)
            counts.advance(now_s)
            counts.waits_until_s = now_s + MAX_ROUND_S

    def record_start(
        self, request: messages.PlacementRequest, now_s: float
    ) -> None:
        """Counts a request that starts."""
        counts = self._counts.get(request.service, {}).get(
            arrival_rates.get_size(request)
        )
        if counts is None:
            return
        counts.advance(now_s)
        if now_s <= counts.waits_until_s:
            counts.starts += 1

    def measure(
        self, service: ids.ServiceId, now_s: float
    ) -> Mapping[int, Pace]:
        """Returns the paces by size; without sizes that hardly waited."""
        paces = {}
        for size, counts in self._counts.get(service, {}).items():
            counts.advance(now_s)
            if counts.waited_s >= MIN_WAITED_S:
                paces[size] = Pace(
                    counts.waited_s / (counts.starts + EXPECTED_STARTS),
                    counts.arrivals / max(counts.measured_s, MIN_WAITED_S),
                )
        return paces
