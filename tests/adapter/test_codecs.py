"""Decoding of the platform's entries, settings and headers."""

from __future__ import annotations

import json

import platform_cluster
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_adapter import settings
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import types
from poplarwick_coordination import wire_codec
from poplarwick_core import errors
from poplarwick_forwarding import admission
from poplarwick_forwarding import dialect
from poplarwick_peers.wire import placement_pb2

SERVER = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 1_500,
    "born": 7,
}


def decode(key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return entry_codec.decode_entry(key, data)


def test_configuration_is_decoded_to_catalogue_types():
    item = decode("op/config", platform_cluster.make_configuration(version=9))
    routing = item.routing
    route = routing.find_route("FRONT.example:80", "/label/x")
    assert routing.version == 9
    assert route.kind is types.RequestKind.STREAM
    assert route.pause_limit_s == 0.25
    profile = routing.services["pool"].engine
    assert profile.prefill_pair_s == pytest.approx(0.162e-9)
    assert profile.step_per_context_token_s == pytest.approx(2e-9)
    assert routing.organisations_by_key[platform_cluster.KEY].id == "one"


def test_longest_path_prefix_is_matched():
    routes = [
        platform_cluster.make_route("a", "idempotent", "orders"),
        platform_cluster.make_route("a/b", "streaming", "pool"),
    ]
    rules = decode(
        "op/config", platform_cluster.make_configuration(1, routes)
    ).routing
    assert rules.find_route(platform_cluster.HOST, "/a/b/c").name == "a/b"
    assert rules.find_route(platform_cluster.HOST, "/a/c").name == "a"
    assert rules.find_route(platform_cluster.HOST, "/ab/") is None
    assert rules.find_route("other.example", "/a/") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"address": None},
        {"address": "nowhere"},
        {"slots": "many"},
        {"state": "sleeping"},
        {"born": 1.5},
    ],
)
def test_invalid_entry_is_not_decoded_as_endpoint(changes):
    item = decode("servers/x", {**SERVER, **changes})
    assert isinstance(item, catalogue.InvalidItem)
    assert item.problem


def test_entry_is_decoded_as_endpoint():
    endpoint = decode("servers/i-1", SERVER).endpoint
    assert endpoint.id == "i-1"
    assert endpoint.cold_left_s == 1.5
    assert endpoint.started_at_ms == 7


@given(
    st.sampled_from(["op/config", "servers/x", "poplarwick/instances/x"]),
    st.binary()
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(lambda value: json.dumps(value).encode()),
)
def test_decoder_tolerates_arbitrary_bytes(key, value):
    item = entry_codec.decode_entry(key, value)
    assert item is not None


@given(st.dictionaries(st.sampled_from(sorted(SERVER)), st.none() | st.text()))
def test_decoder_tolerates_any_combination_of_fields(changes):
    item = decode("servers/x", {**SERVER, **changes})
    assert isinstance(item, catalogue.EndpointItem | catalogue.InvalidItem)


def test_unused_key_is_ignored():
    assert decode("poplarwick/placer", b"front-1") is None


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "s.json"
    path.write_text(
        json.dumps(
            platform_cluster.make_settings(
                "front-1", [1, 2, 3, 4], "127.0.0.1:9"
            )
        )
    )
    deployment = settings.read_settings(path)
    assert deployment.instance == "front-1"
    assert deployment.bounds.grace_s == 8.0
    assert deployment.bounds.free_s == 4.0
    assert deployment.peer_address == "127.0.0.1:3"


def test_missing_settings_field_is_named_in_error(tmp_path):
    path = tmp_path / "s.json"
    document = platform_cluster.make_settings(
        "front-1", [1, 2, 3, 4], "127.0.0.1:9"
    )
    del document["bounds"]["grace_s"]
    path.write_text(json.dumps(document))
    with pytest.raises(errors.DocumentError, match=r"grace_s") as caught:
        settings.read_settings(path)
    assert caught.value.path == "$.bounds"


DIALECT = platform_dialect.PlatformDialect()


@given(st.text(max_size=20))
@example("0\x1f")
@example("9" * 5_000)
@example("-5,3")
def test_invalid_header_is_named_in_error(text):
    for name in ("Deadline-Ms", "Token-Counts", "Last-Event-Id"):
        try:
            DIALECT.parse_request({name: text})
        except dialect.HeaderError as error:
            assert name in str(error)


def test_refusal_has_retry_after_header():
    headers = DIALECT.make_refusal_headers(0.25)
    assert headers == {"Retry-After": "0.250"}


def test_route_and_organisation_restrict_regions():
    def admit(route_regions, tenant_regions):
        configuration = platform_cluster.make_configuration(
            1,
            [
                platform_cluster.make_route(
                    "a", "idempotent", "orders", allowed_regions=route_regions
                )
            ],
            [
                {
                    "name": "one",
                    "api_keys": [platform_cluster.KEY],
                    "allowed_regions": tenant_regions,
                }
            ],
        )
        metadata = DIALECT.parse_request({"X-Api-Key": platform_cluster.KEY})
        rules = decode("op/config", configuration).routing
        return admission.admit(
            rules, platform_cluster.HOST, "/a/", metadata
        ).regions

    assert admit([], []) == frozenset()
    assert admit(["n"], []) == {"n"}
    assert admit([], ["s"]) == {"s"}
    assert admit(["n", "s"], ["s"]) == {"s"}
    assert admit(["n"], ["s"]) is None


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        (None, ()),
        ("", ()),
        ("e4402b7d:250", ()),
        ("5c1e07a2:800,91BD3F06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5c1e07a2,x y:4,:9,e4402b7d:250", ("5c1e07a2",)),
        ("ab:1," * 1_000, ("ab",) * platform_dialect.MAX_SHARED_PARTS),
        ("f" * 65 + ":1,ab:1", ()),
    ],
)
def test_shared_parts_of_a_prompt_exclude_its_last_part(text, parts):
    headers = {} if text is None else {"Prompt-Prefix": text}
    parsed = platform_dialect.PlatformDialect().parse_request(headers)
    assert parsed.shared_parts == parts


@pytest.mark.parametrize(
    "quarantine",
    [
        quarantines.Quarantine("pool", frozenset({"a", "b"}), 3, True, "v1"),
        quarantines.Quarantine(
            "pool",
            frozenset(),
            endpoints=("i-1", "i-2"),
            imposed_by="front-1",
            fingerprint="f0",
        ),
    ],
)
def test_quarantine_survives_the_store_and_the_wire(quarantine):
    stored = entry_codec.encode_quarantine(quarantine)
    item = entry_codec.decode_entry(keys.QUARANTINE_PREFIX + "id", stored)
    assert item == catalogue.QuarantineItem(quarantine)
    sent = wire_codec.encode_quarantine(quarantine).SerializeToString()
    received = placement_pb2.Quarantine.FromString(sent)
    assert wire_codec.decode_quarantine(received) == quarantine


def test_quarantine_that_would_refuse_everything_is_ignored():
    value = b'{"service": "pool", "generation": 1, "parts": []}'
    item = entry_codec.decode_entry(keys.QUARANTINE_PREFIX + "id", value)
    assert isinstance(item, catalogue.InvalidItem)
