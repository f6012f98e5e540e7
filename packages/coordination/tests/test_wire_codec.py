"""What instances tell each other, also those of a later version."""

from __future__ import annotations

import dataclasses

import pytest

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import types
from poplarwick_coordination import wire_codec
from poplarwick_core import ids
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_platform import kv
from poplarwick_platform import mirror

ENDPOINT = types.Endpoint(
    "i-1", "pool", "10.0.0.1:80", "a", types.EndpointState.READY, 8, 0.0, 7
)


def make_catalogue(endpoint):
    store_mirror = mirror.Mirror()
    found = catalogue.Catalogue(
        store_mirror, lambda key, value: catalogue.EndpointItem(endpoint)
    )
    entry = kv.Entry("servers/i-1", b"", 1, 1)
    store_mirror.apply_changes(
        [kv.Change(entry.key, entry, 1)], kv.Position(kv.FIRST_ERA, 1)
    )
    return found


@pytest.mark.parametrize("started_at_ms", [7, 0])
def test_drain_and_limit_are_found_also_if_the_start_time_is_unknown(
    started_at_ms,
):
    endpoint = dataclasses.replace(ENDPOINT, started_at_ms=started_at_ms)
    told = make_catalogue(endpoint)
    start = make_catalogue(endpoint).find_start(endpoint.id)
    told.record_leaving(wire_codec.decode_start(wire_codec.encode_start(start)))
    wire_codec.apply_limit(
        told.rate_limits, wire_codec.encode_limit(start, 1.5)
    )
    assert told.leaving == {endpoint.id}
    assert told.find_rate_limit(endpoint.id) == 1.5


@pytest.mark.parametrize(
    "outlook",
    [
        None,
        messages.CapacityOutlook(0, None),
        messages.CapacityOutlook(7, 1.5),
    ],
)
def test_refusal_survives_the_wire(outlook):
    refusal = messages.Refusal(messages.RefusalReason.NO_TIME, 1.5, outlook)
    sent = wire_codec.encode_decision(1, refusal).SerializeToString()
    message = placement_pb2.PlacerMessage.FromString(sent)
    assert wire_codec.decode_decision(message.decision) == refusal


@pytest.mark.parametrize("estimate", [(1_200, 40), (0, 0), (None, None)])
def test_estimate_of_a_placement_is_told_or_absent(estimate):
    placement = messages.Placement(
        ids.EndpointId("i-1"), "10.0.0.1:80", (), 0.1, "packed", *estimate
    )
    encoded = wire_codec.encode_decision(1, placement)
    assert wire_codec.decode_decision(encoded.decision) == placement


def test_refusal_with_a_reason_of_a_later_version_remains_a_refusal():
    """Without a decision, the request would wait until its deadline."""
    message = placement_pb2.Decision(
        ask=1,
        refusal=placement_pb2.Refusal(reason="later", retry_after_s=2.5),
    )
    assert wire_codec.decode_decision(message) == messages.Refusal(
        messages.RefusalReason.NO_TIME, 2.5
    )


def test_result_of_a_later_version_ends_the_request():
    """Otherwise its allocation would outlive the request."""
    message = placement_pb2.Ended(ask=1, result="later")
    assert wire_codec.decode_result(message) is messages.Result.GIVEN_UP
