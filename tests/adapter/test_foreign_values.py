"""Values that others wrote: one odd value costs its own entry or answer."""

from __future__ import annotations

import asyncio
import json

import platform_cluster
import pytest
import raw_requests

from poplarwick_adapter import engine_client
from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_catalogue import catalogue
from poplarwick_coordination import reports
from poplarwick_coordination import wire_codec
from poplarwick_node import quarantine_command
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_standins import platform_replica

SERVER = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 7,
}
DEEP = b"[" * 100_000 + b"]" * 100_000

ODD_FIELDS = [
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:\u0668\u0660"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1\r\nHost: x:80"},
    {"address": "10.0.0.1\u0000:80"},
    {"address": "a b:80"},
    {"address": "h" * 300 + ":80"},
    {"slots": -1},
    {"slots": 2**64},
    {"born": -1},
    {"born": 2**63},
    {"cold_left_ms": 1e300},
    {"version": [1]},
    {"version": "v" * 1_000},
    {"zone": "a\nb"},
    {"service": "pool\u0000"},
]


def make_values():
    values = [json.dumps({**SERVER, **odd}).encode() for odd in ODD_FIELDS]
    whole = json.dumps(SERVER).encode()
    values += [
        whole[:-1] + b',"version":' + DEEP + b"}",
        whole[:-1] + b',"unknown":' + DEEP + b"}",
        DEEP,
        b"\xff\xfe",
    ]
    return values


@pytest.mark.parametrize("value", make_values())
def test_odd_entry_of_an_endpoint_names_no_endpoint(value):
    item = entry_codec.decode_entry(keys.ENDPOINT_PREFIX + "x", value)
    assert isinstance(item, catalogue.InvalidItem)
    assert 0 < len(item.problem) < 300


@pytest.mark.parametrize("name", ["", "a\r\nB: c", "a b", "\u0668", "x,y"])
def test_endpoint_whose_id_cannot_be_sent_is_not_used(name):
    item = entry_codec.decode_entry(
        keys.ENDPOINT_PREFIX + name, json.dumps(SERVER).encode()
    )
    assert isinstance(item, catalogue.InvalidItem)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (keys.MEMBER_PREFIX + "x", {"address": "10.0.0.1:70000"}),
        (keys.MEMBER_PREFIX + "x", {"address": "h:1", "strength": -1}),
        (keys.MEMBER_PREFIX + "x", {"address": "h:1", "strength": 1e300}),
        (
            keys.QUARANTINE_PREFIX + "x",
            {"service": "pool", "generation": 2**64, "parts": ["ab"]},
        ),
        (
            keys.QUARANTINE_PREFIX + "x",
            {"service": "pool", "generation": -1, "parts": ["ab"]},
        ),
        (
            keys.QUARANTINE_PREFIX + "x",
            {"service": "pool", "generation": 1, "parts": ["not hex"]},
        ),
        (
            keys.QUARANTINE_PREFIX + "x",
            {"service": "pool", "generation": 1, "fingerprint": "\n"},
        ),
    ],
)
def test_odd_entry_of_an_instance_or_a_quarantine_is_not_used(key, value):
    item = entry_codec.decode_entry(key, json.dumps(value).encode())
    assert isinstance(item, catalogue.InvalidItem)


@pytest.mark.parametrize(
    "key", [keys.ROUTING, keys.MEMBER_PREFIX + "x", keys.QUARANTINE_PREFIX]
)
def test_deeply_nested_entry_of_any_kind_is_not_used(key):
    for value in (DEEP, b'{"unknown":' + DEEP + b"}"):
        item = entry_codec.decode_entry(key, value)
        assert isinstance(item, catalogue.InvalidItem)


def test_instances_follow_the_list_beside_odd_entries(tmp_path):
    async def scenario():
        async with platform_cluster.run_cluster(
            tmp_path, instances=2
        ) as cluster:
            for number, value in enumerate(make_values()):
                await cluster.store.put(f"servers/odd-{number}", value)
            quarantine = {"service": "pool", "generation": 2**64, "parts": []}
            await cluster.store.put("poplarwick/quarantines/x", quarantine)
            await cluster.store.put("poplarwick/quarantines/y", DEEP)
            replica = cluster.replicas[0]
            late = replica.make_entry(slots=5)
            await cluster.store.put(f"servers/{replica.name}", late)
            for number, instance in enumerate(cluster.instances):
                endpoints = instance.node.catalogue.endpoints
                await platform_cluster.wait_until(
                    lambda known=endpoints: (
                        known[replica.name].endpoint.slots == 5
                    )
                )
                assert set(endpoints) == {r.name for r in cluster.replicas}
                async with cluster.call(
                    "/label/", number, tokens=5_000
                ) as response:
                    assert response.status == 200

    asyncio.run(scenario())


def test_quarantine_command_lists_the_others_beside_odd_entries(
    tmp_path, capsys
):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            await cluster.store.put("poplarwick/quarantines/a", DEEP)
            await cluster.store.put(
                "poplarwick/quarantines/b",
                {"service": "pool", "generation": 1, "parts": ["ab"]},
            )
            return await asyncio.to_thread(
                quarantine_command.main,
                ["--store", cluster.store.address, "list"],
            )

    assert asyncio.run(scenario()) == 0
    output = capsys.readouterr()
    assert "parts ab" in output.out
    assert "poplarwick/quarantines/a" in output.err


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (["impose", "pool\udcff", "ab"], "SERVICE"),
        (["impose", "po\nol", "ab"], "SERVICE"),
        (["impose", "pool", "x" * 100], "PART"),
    ],
)
def test_quarantine_command_names_the_field_that_it_rejects(
    arguments, field, capsys
):
    code = quarantine_command.main(["--store", "127.0.0.1:9", *arguments])
    assert code == 2
    assert field in capsys.readouterr().err


@pytest.mark.parametrize(
    "counts", [b"999999999999999999,999999999999999999", b"0,0"]
)
def test_request_with_odd_token_counts_is_ended(tmp_path, counts):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            answer = await raw_requests.send_raw(
                cluster, b"Request-Id: r1", b"Token-Counts: " + counts
            )
            assert answer.split(b" ")[1] in (b"200", b"503")

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "headers",
    [
        {"At-Server": "127.0.0.1:99999"},
        {"At-Server": "\udcff\udcfe"},
        {"Retry-After": "9" * 18},
        {"Server-Limit": "9" * 18},
        {"Server-Leaving": "\udcff"},
        {"Content-Type": "\udcff"},
    ],
)
def test_refusal_of_an_endpoint_with_odd_headers_is_passed_on_truthfully(
    tmp_path, headers
):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path, pool=1) as cluster:
            (engine, *_) = cluster.replicas
            engine.fault = platform_replica.Fault.FULL
            engine.notice_headers = headers
            answer = await raw_requests.send_raw(
                cluster,
                b"Request-Id: r1",
                b"Token-Counts: 50,10",
                b"Deadline-Ms: 1000",
            )
            assert answer.startswith(b"HTTP/1.1 503")
            assert not engine.executions

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "body",
    [DEEP, b'{"pace":1e300}', b'{"pace":-5}', b'{"x":' + DEEP[:50_000]],
)
def test_odd_report_of_an_engine_counts_as_none(tmp_path, body):
    async def scenario():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            engine = cluster.replicas[0]
            engine.report_body = body
            node = cluster.instances[0].node
            async with engine_client.ReportReader(
                node.reach, node.notices.record_from_address
            ) as reader:
                with pytest.raises(reports.ReportError):
                    await reader.read_report(engine.address)

    asyncio.run(scenario())


def make_decisions():
    decisions = []
    for number in (float("nan"), float("inf"), -float("inf")):
        placement = placement_pb2.Decision(ask=1)
        placement.placement.endpoint = "e"
        placement.placement.address = "h:1"
        placement.placement.expected_first_s = number
        refusal = placement_pb2.Decision(ask=1)
        refusal.refusal.reason = "no_time"
        refusal.refusal.retry_after_s = number
        decisions += [placement, refusal]
    return decisions


@pytest.mark.parametrize("message", make_decisions())
# Guards against requests that wait until their deadline for a decision.
def test_decision_with_a_number_that_is_not_finite_remains_one(message):
    match wire_codec.decode_decision(message):
        case messages.Placement(expected_first_s=duration_s):
            assert duration_s == 0
        case messages.Refusal(retry_after_s=duration_s):
            assert duration_s == 0


def test_end_of_a_request_with_a_time_that_is_not_finite_remains_one():
    ended = placement_pb2.Ended(ask=1, result="done")
    ended.answer.written_s = float("nan")
    assert wire_codec.decode_result(ended) is messages.Result.DONE
    assert wire_codec.decode_answer(ended) is None


def test_texts_that_are_no_unicode_are_sent_to_other_instances():
    ended = wire_codec.encode_ended(
        1, messages.Result.FULL, "127.0.0.1:\udcff", None
    )
    assert ended.blamed == "127.0.0.1:?"
