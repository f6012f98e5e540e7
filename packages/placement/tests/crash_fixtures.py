"""Endpoints and requests of the tests on the evidence of crashes."""

from __future__ import annotations

from poplarwick_catalogue import types
from poplarwick_core import ids
from poplarwick_placement import messages


def make_endpoint(name, *, service="pool", version="v1", domain="a"):
    return types.Endpoint(
        ids.EndpointId(f"i-{name}"),
        ids.ServiceId(service),
        f"10.0.0.{name}:80",
        ids.DomainId(domain),
        types.EndpointState.READY,
        8,
        0.0,
        1,
        version,
    )


def make_request(*parts, service="pool", was_cut_off=False, fingerprint=None):
    return messages.PlacementRequest(
        ids.RequestId("r"),
        ids.ServiceId(service),
        5_000,
        170,
        1.0,
        10.0,
        1.0,
        shared_parts=tuple(ids.PromptPartId(p) for p in parts),
        was_cut_off=was_cut_off,
        fingerprint=fingerprint,
    )
