"""Tests of instruments that count before their exporter is loaded.

An instance serves before it has loaded the exporter; what it counts until then
must not be lost.
"""

from __future__ import annotations

from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export

from poplarwick_core import metrics


def collect(*instruments):
    """Installs instruments; returns a function that reads their points."""
    reader = export.InMemoryMetricReader()
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    for instrument in instruments:
        instrument.install(provider.get_meter("test"))

    def read():
        scopes = reader.get_metrics_data().resource_metrics[0].scope_metrics
        return {
            metric.name: list(metric.data.data_points)
            for metric in scopes[0].metrics
        }

    return read


def test_counter_keeps_what_it_counts_before_it_is_installed():
    counter = metrics.Counter("kept", "")
    counter.add(1, {"a": "x", "b": "y"})
    counter.add(2, {"b": "y", "a": "x"})
    counter.add(4)
    read = collect(counter)
    counter.add(8, {"a": "x", "b": "y"})
    points = read()["poplarwick_kept"]
    assert {(tuple(p.attributes.items()), p.value) for p in points} == {
        ((("a", "x"), ("b", "y")), 11),
        ((), 4),
    }


def test_up_down_counter_keeps_its_balance():
    counter = metrics.UpDownCounter("open", "")
    counter.add(1)
    counter.add(1)
    counter.add(-1)
    read = collect(counter)
    counter.add(-1)
    assert [p.value for p in read()["poplarwick_open"]] == [0]


def test_histogram_keeps_a_bounded_number_of_values(monkeypatch):
    monkeypatch.setattr(metrics, "MAX_KEPT_VALUES", 3)
    histogram = metrics.Histogram("seconds", "")
    for _ in range(5):
        histogram.record(0.2, {"route": "r"})
    read = collect(histogram)
    histogram.record(0.2, {"route": "r"})
    (point,) = read()["poplarwick_seconds"]
    assert point.count == 4
    assert point.explicit_bounds == metrics.SECONDS_BOUNDARIES
    assert histogram.dropped == 2
