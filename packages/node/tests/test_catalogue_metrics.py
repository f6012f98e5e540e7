"""Tests for the gauges of an instance's catalogue."""

from __future__ import annotations

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_node import catalogue_metrics
from poplarwick_platform import mirror


def make_endpoint(name, domain, state=types.EndpointState.READY):
    return types.Endpoint(
        id=ids.EndpointId(name),
        service=ids.ServiceId("pool"),
        address="127.0.0.1:1",
        domain=ids.DomainId(domain),
        slots=8,
        state=state,
        cold_left_s=0.0,
        started_at_ms=1,
    )


def test_endpoint_gauge_counts_by_service_and_state():
    instance_catalogue = catalogue.Catalogue(mirror.Mirror(), lambda *_: None)
    for endpoint in (
        make_endpoint("e0", "a"),
        make_endpoint("e1", "a"),
        make_endpoint("e2", "b"),
        make_endpoint("e3", "a", types.EndpointState.DRAINING),
    ):
        instance_catalogue.endpoints[endpoint.id] = catalogue.TrackedEndpoint(
            endpoint, 0.0
        )
    instance_catalogue.endpoints["e1"].lapsed_at_s = 1.0
    instance_catalogue.evacuated.add("b")
    seen = {
        o.attributes["state"]: o.value
        for o in catalogue_metrics._observe_endpoints(instance_catalogue)
    }
    assert seen == {"ready": 1, "lapsed": 1, "taken_out": 1, "draining": 1}
