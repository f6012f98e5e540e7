"""What a placer sends to the instances that it serves."""

from __future__ import annotations

import asyncio
import json
import secrets

import platform_cluster
import pytest

from poplarwick_adapter import entry_codec
from poplarwick_adapter import settings
from poplarwick_catalogue import catalogue
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import store_changes
from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import kv
from poplarwick_platform import mirror
from poplarwick_standins import platform_replica


def make_placer(tmp_path, store_mirror):
    path = tmp_path / "front-0.json"
    path.write_text(
        json.dumps(
            platform_cluster.make_settings(
                "front-0", platform_cluster.PORTS, "127.0.0.1:1"
            )
        )
    )
    known = catalogue.Catalogue(store_mirror, entry_codec.decode_entry)
    notices = endpoint_notices.EndpointNotices(
        known, lambda start: None, lambda start, per_s: None
    )
    return placer.Placer(
        "front-0",
        known,
        store_mirror,
        settings.read_settings(path),
        lambda address: None,
        1_000,
        None,
        lambda: True,
        notices,
    )


def make_ask(number):
    """Returns a prompt beside which no second one fits into an engine."""
    return placement_pb2.Ask(
        ask=number,
        service="pool",
        prompt_tokens=200_000,
        output_tokens=170,
        on_time_s=60.0,
        deadline_s=60.0,
        pause_limit_s=1.0,
    )


def send_heartbeat(tmp_path, value=b"{}", **beat):
    """Returns the kinds of messages that answer it, and the changes."""

    async def run():
        store_mirror = mirror.Mirror()
        store_mirror.apply_snapshot(kv.Snapshot((), 1, 0))
        serving = make_placer(tmp_path, store_mirror)
        entry = kv.Entry("op/x", value, 2, 2)
        store_mirror.apply_changes(
            [kv.Change(entry.key, entry, 2)], kv.Position(0, 2)
        )
        sent = []
        session = serving.open_session("front-1", sent.append)
        message = placement_pb2.EntryMessage(beat=placement_pb2.Beat(**beat))
        serving.handle(session, message)
        serving.handle(session, message)
        return sent[1:]

    return asyncio.run(run())


def test_instance_that_does_not_follow_the_store_gets_missed_changes_at_once(
    tmp_path,
):
    """It may be the next placer, and must know the members by then."""
    [message] = send_heartbeat(tmp_path, revision=1, hears_store=False)
    receiver = mirror.Mirror()
    receiver.apply_snapshot(kv.Snapshot((), 1, 0))
    store_changes.apply_changes(receiver, message.changes)
    assert receiver.get("op/x").value == b"{}"


@pytest.mark.parametrize(
    "beat",
    [
        {"revision": 1, "hears_store": True},
        {"revision": 0, "hears_store": False},
        {"revision": 2, "hears_store": False},
    ],
)
def test_instance_that_gets_changes_otherwise_is_sent_none(tmp_path, beat):
    assert send_heartbeat(tmp_path, **beat) == []


def test_large_changes_are_announced_only(tmp_path):
    value = secrets.token_bytes(2 * store_changes.PUSH_LIMIT_BYTES)
    sent = send_heartbeat(tmp_path, value, revision=1, hears_store=False)
    assert {message.WhichOneof("kind") for message in sent} == {"beat"}


# Guards against a successor that cannot blame a request that is all that comes.
@pytest.mark.parametrize(("protocol", "is_told"), [(1, False), (2, True)])
def test_new_placer_is_told_what_an_instance_saw_answered(
    tmp_path, protocol, is_told
):
    async def run():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            client = cluster.instances[0].node.placement_client
            async with cluster.call("/stock/") as response:
                assert response.status == 200
            sent = []
            client.attach(
                placement_client.PlacerConnection(
                    "next", 10**6, sent.append, 0.0, protocol=protocol
                )
            )
            successor = make_placer(tmp_path, mirror.Mirror())
            session = successor.open_session("front-0", lambda message: None)
            for message in sent:
                successor.handle(session, message)
            told = [m for m in sent if m.WhichOneof("kind") == "earlier_answer"]
            known = successor._scheduler.evidence.list_sound_answers()
            assert [scope.service for scope, _ in known] == ["orders"] * is_told
            assert len(told) == is_told

    asyncio.run(run())


# Guards against a second prompt at an engine that is full.
@pytest.mark.parametrize("is_running", [False, True])
def test_new_placer_counts_what_runs_before_its_first_round(
    tmp_path, is_running
):
    async def run():
        store_mirror = mirror.Mirror()
        engine = platform_replica.Replica("i-0", "pool").make_entry()
        documents = {
            "op/config": platform_cluster.make_configuration(),
            "servers/i-0": {**engine, "address": "127.0.0.1:1"},
        }
        entries = tuple(
            kv.Entry(key, json.dumps(document).encode(), 1, 1)
            for key, document in documents.items()
        )
        serving = make_placer(tmp_path, store_mirror)
        store_mirror.apply_snapshot(kv.Snapshot(entries, 1, 0))
        sent = []
        session = serving.open_session("front-0", sent.append)
        if is_running:
            running = placement_pb2.Running(ask=make_ask(1), endpoint="i-0")
            serving.handle(session, placement_pb2.EntryMessage(running=running))
        serving.handle(session, placement_pb2.EntryMessage(ask=make_ask(2)))
        kinds = [message.WhichOneof("kind") for message in sent]
        assert ("decision" in kinds) is not is_running

    asyncio.run(run())
