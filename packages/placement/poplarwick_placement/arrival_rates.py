"""Measures the rate at which new requests of each service arrive.

Load pattern: sustained overload, in which new requests that can still be on
time keep going ahead of the late ones in the queue. A burst is none: the rate
is the lowest one of the last three windows. Requests of about the same size are
counted together.
"""

from __future__ import annotations

import dataclasses
import itertools

from poplarwick_core import ids
from poplarwick_placement import messages

WINDOW_S = 0.3
"""Time over which arrivals are counted. A burst that is shorter leaves one of
three windows empty. Three windows are the time in which an overload is noticed,
which is to be less than the second after which a refused request counts as
having waited in vain."""

WINDOWS = 3
"""Windows of which the one with the fewest arrivals counts."""

MEAN_WEIGHT = 0.05
"""Weight of the newest request in the mean lengths; some twenty requests give
the mean of a mix that changes within seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrivals:
    """New requests of one size of a service.

    Attributes:
        size: Size class of the requests.
        per_s: Arrivals a second.
        mean: A request with the mean lengths.
        target_s: Mean time from their arrival in which they are on time.
    """

    size: int
    per_s: float
    mean: messages.PlacementRequest
    target_s: float


def get_size(request: messages.PlacementRequest) -> int:
    """Returns the size class of a request: each is twice the one below."""
    return request.memory_tokens.bit_length()


@dataclasses.dataclass(slots=True)
class _Counts:
    """Arrivals of one size in successive windows, and their mean lengths."""

    last: messages.PlacementRequest
    prompt_tokens: float
    output_tokens: float
    memory_tokens: float
    target_s: float
    window: int = 0
    counts: tuple[int, ...] = (0,) * (WINDOWS + 1)

    def record(self, request: messages.PlacementRequest, now_s: float) -> None:
        """Counts a request."""
        self._advance(now_s)
        self.counts = (self.counts[0] + 1, *self.counts[1:])
        self.last = request
        self.prompt_tokens += MEAN_WEIGHT * (
            request.prompt_tokens - self.prompt_tokens
        )
        self.output_tokens += MEAN_WEIGHT * (
            request.output_tokens - self.output_tokens
        )
        self.memory_tokens += MEAN_WEIGHT * (
            request.memory_tokens - self.memory_tokens
        )
        self.target_s += MEAN_WEIGHT * (
            request.on_time_at_s - now_s - self.target_s
        )

    def estimate(self, size: int, now_s: float) -> Arrivals:
        """Returns the rate and the mean of the arrivals."""
        self._advance(now_s)
        # Of the sliding windows, the last of which ends now.
        passed = now_s / WINDOW_S - self.window
        newest = self.counts[0] + (1 - passed) * self.counts[1]
        least = min(
            newest,
            *(
                passed * newer + (1 - passed) * older
                for newer, older in itertools.pairwise(self.counts[1:])
            ),
        )
        prompt_tokens = int(self.prompt_tokens)
        mean = dataclasses.replace(
            self.last,
            prompt_tokens=prompt_tokens,
            output_tokens=int(self.output_tokens),
            booked_output_tokens=max(
                int(self.memory_tokens) - prompt_tokens, 0
            ),
        )
        return Arrivals(size, least / WINDOW_S, mean, self.target_s)

    def _advance(self, now_s: float) -> None:
        window = int(now_s / WINDOW_S)
        passed = min(window - self.window, len(self.counts))
        if passed > 0:
            kept = self.counts[: len(self.counts) - passed]
            self.counts = (*(0,) * passed, *kept)
            self.window = window


def _make_counts(request: messages.PlacementRequest, now_s: float) -> _Counts:
    return _Counts(
        request,
        request.prompt_tokens,
        request.output_tokens,
        request.memory_tokens,
        request.on_time_at_s - now_s,
    )


class ArrivalRates:
    """Rates of the new requests by service and size."""

    def __init__(self) -> None:
        self._counts: dict[ids.ServiceId, dict[int, _Counts]] = {}

    def record(self, request: messages.PlacementRequest, now_s: float) -> None:
        """Counts a new request."""
        by_size = self._counts.setdefault(request.service, {})
        size = get_size(request)
        counts = by_size.get(size)
        if counts is None:
            counts = by_size[size] = _make_counts(request, now_s)
        counts.record(request, now_s)

    def estimate(self, service: ids.ServiceId, now_s: float) -> list[Arrivals]:
        """Returns the arrivals at a service, the smallest requests first."""
        by_size = self._counts.get(service, {})
        return [by_size[size].estimate(size, now_s) for size in sorted(by_size)]
