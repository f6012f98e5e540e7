"""Measures how long requests are decoded, relative to their estimates.

Load pattern: overload by requests whose estimates are far off, at endpoints
that do not say how much they have written, so that no better estimates are
learned. A forecast from the estimates alone refuses requests that would be
served, or lets them wait in vain. How long requests have held their slots is
always known, also where answers come as a whole: it corrects the forecast for
all of a service together.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from poplarwick_core import ids
from poplarwick_placement import engine_model
from poplarwick_placement import loads

MAX_SAMPLES = 64
"""Latest requests of a service that are compared."""

MIN_SAMPLES = 8
"""Requests from which on the measurement is used."""

MAX_AGE_S = 30.0
"""Time for which a request counts; two of the longest deadlines."""


class _Sample(NamedTuple):
    at_s: float
    estimated_s: float
    measured_s: float


class MeasuredStretch:
    """Ratio of measured to estimated decoding times, by service."""

    def __init__(self) -> None:
        self._samples: dict[ids.ServiceId, collections.deque[_Sample]] = {}

    def record_end(
        self,
        load: loads.EndpointLoad,
        allocation: loads.Allocation,
        now_s: float,
    ) -> None:
        """Records that an engine has decoded a request completely."""
        profile, begun_at_s = load.profile, allocation.first_event_at_s
        if profile is None:
            return
        iteration_s = load.calculate_iteration_s()
        if begun_at_s is None or now_s - begun_at_s < iteration_s:
            # The answer has come as a whole, after it was decoded.
            begun_at_s = min(allocation.prefill_due_at_s, now_s)
        estimated_s = engine_model.calculate_slot_s(
            profile, allocation.request.output_tokens, iteration_s
        )
        samples = self._samples.setdefault(
            load.endpoint.service, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(_Sample(now_s, estimated_s, now_s - begun_at_s))

    def get(self, service: ids.ServiceId, now_s: float) -> float | None:
        """Returns the ratio; None without enough requests.

        It includes what the prefills of others delay.
        """
        samples = self._samples.get(service)
        if samples is None:
            return None
        while samples and samples[0].at_s < now_s - MAX_AGE_S:
            samples.popleft()
        if len(samples) < MIN_SAMPLES:
            return None
        measured_s = sum(sample.measured_s for sample in samples)
        return measured_s / sum(sample.estimated_s for sample in samples)
