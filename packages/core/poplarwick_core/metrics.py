"""Instruments of metrics, which count before their exporter is loaded.

The exporter takes a fifth of the processor time of a start, so an instance
loads it only after it serves. Until `install` is called, instruments keep what
they count.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry import metrics as otel

METER_NAME = "poplarwick"
SECONDS_BOUNDARIES = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
"""Upper bucket bounds, in seconds, of the duration histograms."""

MAX_KEPT_VALUES = 2_000
"""Most values that a histogram keeps for the exporter; a busy instance records
some hundred before it is loaded. Counters keep sums, so they need no bound."""

RATIO_BOUNDARIES = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 9.0, 30.0)
"""Upper bucket bounds of the histograms of relative errors."""

Labels = Mapping[str, str]


class Observation(NamedTuple):
    """A value of a gauge.

    Attributes:
        value: The value.
        attributes: Its labels.
    """

    value: float
    attributes: Labels | None = None


class _Instrument:
    """Base class of all instruments.

    Args:
        name: Name without the prefix.
        description: Description shown with the metric.
    """

    def __init__(self, name: str, description: str) -> None:
        self.name = f"poplarwick_{name}"
        self._description = description
        # Measurements come from the event loop, the installation may not.
        self._lock = threading.Lock()

    def install(self, meter: otel.Meter) -> None:
        """Creates the instrument of the meter and passes on what was kept."""
        raise NotImplementedError


class Counter(_Instrument):
    """A sum that only rises, by labels."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__(name, description)
        self._target: otel.Counter | otel.UpDownCounter | None = None
        self._sums: dict[tuple[tuple[str, str], ...], float] = {}

    def add(self, amount: float, attributes: Labels | None = None) -> None:
        """Adds an amount to the sum of some labels."""
        if self._target is not None:
            self._target.add(amount, attributes)
            return
        key = tuple(sorted((attributes or {}).items()))
        with self._lock:
            self._sums[key] = self._sums.get(key, 0) + amount

    def install(self, meter: otel.Meter) -> None:
        """Creates the counter of the meter and adds the sums so far."""
        with self._lock:
            target = self._make_target(meter)
            for key, amount in self._sums.items():
                target.add(amount, dict(key))
            self._sums.clear()
            self._target = target

    def _make_target(
        self, meter: otel.Meter
    ) -> otel.Counter | otel.UpDownCounter:
        return meter.create_counter(self.name, description=self._description)


class UpDownCounter(Counter):
    """A sum that rises and falls."""

    def _make_target(
        self, meter: otel.Meter
    ) -> otel.Counter | otel.UpDownCounter:
        return meter.create_up_down_counter(
            self.name, description=self._description
        )


class Histogram(_Instrument):
    """A distribution of values, by labels.

    Args:
        name: Name without the prefix.
        description: Description shown with the metric.
        boundaries: Upper bucket bounds.
        unit: Unit of the values.

    Attributes:
        dropped: Values that were not kept because there were too many.
    """

    def __init__(
        self,
        name: str,
        description: str,
        boundaries: Sequence[float] = SECONDS_BOUNDARIES,
        unit: str = "s",
    ) -> None:
        super().__init__(name, description)
        self._boundaries = boundaries
        self._unit = unit
        self.dropped = 0
        self._target: otel.Histogram | None = None
        self._values: list[tuple[float, dict[str, str]]] = []

    def record(self, amount: float, attributes: Labels | None = None) -> None:
        """Records a value."""
        if self._target is not None:
            self._target.record(amount, attributes)
            return
        with self._lock:
            if len(self._values) >= MAX_KEPT_VALUES:
                self.dropped += 1
                return
            self._values.append((amount, dict(attributes or {})))

    def install(self, meter: otel.Meter) -> None:
        """Creates the histogram of the meter and records the values so far."""
        with self._lock:
            target = meter.create_histogram(
                self.name,
                unit=self._unit,
                description=self._description,
                explicit_bucket_boundaries_advisory=self._boundaries,
            )
            for amount, attributes in self._values:
                target.record(amount, attributes)
            self._values.clear()
            self._target = target


class _Gauge(_Instrument):
    """A value that is read at each collection of metrics."""

    def __init__(
        self,
        name: str,
        description: str,
        observe: Callable[[], Iterable[Observation]],
    ) -> None:
        super().__init__(name, description)
        self._observe = observe

    def install(self, meter: otel.Meter) -> None:
        """Registers the gauge with the meter."""
        from opentelemetry import metrics as otel

        meter.create_observable_gauge(
            self.name,
            callbacks=[
                lambda _: [
                    otel.Observation(o.value, o.attributes)
                    for o in self._observe()
                ]
            ],
            description=self._description,
        )


_instruments: list[_Instrument] = []
_meter: otel.Meter | None = None


def make_counter(name: str, description: str) -> Counter:
    """Returns a counter named `poplarwick_<name>`."""
    counter = Counter(name, description)
    _register(counter)
    return counter


def make_up_down_counter(name: str, description: str) -> UpDownCounter:
    """Returns a counter of what is open, named `poplarwick_<name>`."""
    counter = UpDownCounter(name, description)
    _register(counter)
    return counter


def make_gauge(
    name: str,
    description: str,
    observe: Callable[[], Iterable[Observation]],
) -> None:
    """Registers a gauge named `poplarwick_<name>`.

    Args:
        name: Name without the prefix.
        description: Description shown with the metric.
        observe: Returns the values with their labels; called at each
            collection of metrics.
    """
    _register(_Gauge(name, description, observe))


def make_histogram(name: str, description: str) -> Histogram:
    """Returns a histogram of seconds, named `poplarwick_<name>`."""
    histogram = Histogram(name, description)
    _register(histogram)
    return histogram


def install(meter: otel.Meter) -> int:
    """Passes all instruments, also later ones, to a meter; the first one stays.

    Args:
        meter: Meter of an exporter.

    Returns:
        Values of histograms that had been dropped.
    """
    global _meter
    if _meter is not None:
        return 0
    _meter = meter
    for instrument in _instruments:
        instrument.install(meter)
    return sum(
        instrument.dropped
        for instrument in _instruments
        if isinstance(instrument, Histogram)
    )


def make_ratio_histogram(name: str, description: str) -> Histogram:
    """Returns a histogram of relative errors, named `poplarwick_<name>`."""
    histogram = Histogram(name, description, RATIO_BOUNDARIES, unit="1")
    _register(histogram)
    return histogram


def is_installed() -> bool:
    """Returns whether an exporter receives what is counted."""
    return _meter is not None


def _register(instrument: _Instrument) -> None:
    _instruments.append(instrument)
    if _meter is not None:
        instrument.install(_meter)
