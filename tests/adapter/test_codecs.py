"""What the platform sends is decoded once, and strangers' bytes are left."""

from __future__ import annotations

import json

import pytest
import world as worlds
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_adapter import entry_codec
from poplarwick_adapter import settings
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import types
from poplarwick_core import errors
from poplarwick_forwarding import admission
from poplarwick_forwarding import dialect

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


def test_a_configuration_becomes_the_products_types():
    item = decode("op/config", worlds.make_configuration(version=9))
    routing = item.routing
    route = routing.find_route("FRONT.example:80", "/label/x")
    assert routing.version == 9
    assert route.kind is types.RequestKind.STREAM
    assert route.pause_limit_s == 0.25
    profile = routing.services["pool"].engine
    assert profile.prefill_pair_s == pytest.approx(0.162e-9)
    assert profile.step_per_context_token_s == pytest.approx(2e-9)
    assert routing.organisations_by_key[worlds.KEY].id == "one"


def test_the_longest_prefix_wins():
    routes = [
        worlds.make_route("a", "idempotent", "orders"),
        worlds.make_route("a/b", "streaming", "pool"),
    ]
    rules = decode("op/config", worlds.make_configuration(1, routes)).routing
    assert rules.find_route(worlds.HOST, "/a/b/c").name == "a/b"
    assert rules.find_route(worlds.HOST, "/a/c").name == "a"
    assert rules.find_route(worlds.HOST, "/ab/") is None
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
def test_an_entry_of_another_writer_names_no_endpoint(changes):
    item = decode("servers/x", {**SERVER, **changes})
    assert isinstance(item, catalogue.InvalidItem)
    assert item.problem


def test_an_entry_becomes_an_endpoint():
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
def test_no_bytes_break_the_decoder(key, value):
    item = entry_codec.decode_entry(key, value)
    assert item is not None


@given(st.dictionaries(st.sampled_from(sorted(SERVER)), st.none() | st.text()))
def test_no_mix_of_fields_breaks_the_decoder(changes):
    item = decode("servers/x", {**SERVER, **changes})
    assert isinstance(item, catalogue.EndpointItem | catalogue.InvalidItem)


def test_a_key_of_no_interest_is_left_alone():
    assert decode("poplarwick/placer", b"front-1") is None


def test_the_settings_file_is_read_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "s.json"
    path.write_text(
        json.dumps(worlds.make_settings("front-1", [1, 2, 3, 4], "127.0.0.1:9"))
    )
    place = settings.read_settings(path)
    assert place.instance == "front-1"
    assert place.bounds.grace_s == 8.0
    assert place.bounds.free_s == 4.0
    assert place.peer_address == "127.0.0.1:3"


def test_a_settings_file_without_a_field_is_refused_by_name(tmp_path):
    path = tmp_path / "s.json"
    found = worlds.make_settings("front-1", [1, 2, 3, 4], "127.0.0.1:9")
    del found["bounds"]["grace_s"]
    path.write_text(json.dumps(found))
    with pytest.raises(errors.DocumentError, match=r"grace_s") as caught:
        settings.read_settings(path)
    assert caught.value.path == "$.bounds"


NAMES = platform_dialect.PlatformDialect()


@given(st.text(max_size=20))
@example("0\x1f")
@example("9" * 5_000)
@example("-5,3")
def test_headers_are_read_or_refused_by_name(text):
    for name in ("Deadline-Ms", "Token-Counts", "Last-Event-Id"):
        try:
            NAMES.parse_request({name: text})
        except dialect.HeaderError as error:
            assert name in str(error)


def test_a_refusal_tells_when_to_come_back():
    told = NAMES.make_refusal_headers(0.25)
    assert told == {"Retry-After": "0.250"}


def test_routes_and_organisations_keep_requests_in_regions():
    def admit(route_regions, tenant_regions):
        found = worlds.make_configuration(
            1,
            [
                worlds.make_route(
                    "a", "idempotent", "orders", allowed_regions=route_regions
                )
            ],
            [
                {
                    "name": "one",
                    "api_keys": [worlds.KEY],
                    "allowed_regions": tenant_regions,
                }
            ],
        )
        call = NAMES.parse_request({"X-Api-Key": worlds.KEY})
        rules = decode("op/config", found).routing
        return admission.admit(rules, worlds.HOST, "/a/", call).regions

    assert admit([], []) == frozenset()
    assert admit(["n"], []) == {"n"}
    assert admit([], ["s"]) == {"s"}
    assert admit(["n", "s"], ["s"]) == {"s"}
    assert admit(["n"], ["s"]) is None
