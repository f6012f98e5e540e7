"""Malformed messages and unexpected errors concern one request or message."""

from __future__ import annotations

import asyncio
import functools
import math

import platform_cluster
import pytest

from poplarwick_adapter import entry_codec
from poplarwick_catalogue import catalogue
from poplarwick_coordination import message_streams
from poplarwick_forwarding import request_runner
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import scheduler
from poplarwick_platform import kv
from poplarwick_platform import mirror
from poplarwick_standins import platform_store


def run_scenario(tmp_path, scenario, **options):
    async def run():
        async with platform_cluster.run_cluster(tmp_path, **options) as cluster:
            await platform_cluster.wait_until(
                lambda: all(
                    i.node.placement_client.connection
                    for i in cluster.instances
                )
            )
            await scenario(cluster)

    asyncio.run(run())


async def call(cluster, path="/label/", instance=0):
    async with cluster.call(path, instance, tokens=5_000) as response:
        await response.read()
        return response.status


def make_malformed_messages():
    changes = placement_pb2.EntryMessage()
    changes.changes.compressed = b"no compressed message"
    ask = placement_pb2.EntryMessage()
    ask.ask.ask = 10**9
    ask.ask.service = "pool"
    ask.ask.on_time_s = ask.ask.deadline_s = math.nan
    result = placement_pb2.EntryMessage()
    result.running.ask.ask = 10**9 + 1
    result.running.ask.deadline_s = math.inf
    ended = placement_pb2.EntryMessage()
    ended.ended.result = "no such result"
    return [changes, ask, result, ended, placement_pb2.EntryMessage()]


def test_malformed_messages_end_neither_placer_nor_stream(tmp_path):
    async def scenario(cluster):
        for instance in cluster.instances:
            connection = instance.node.placement_client.connection
            for message in make_malformed_messages():
                connection.send(message)
        await asyncio.sleep(0.3)
        for number, instance in enumerate(cluster.instances):
            assert await call(cluster, instance=number) == 200
            assert (
                instance.node.placement_client.connection.epoch
                == cluster.instances[0].node.placement_client.connection.epoch
            )

    run_scenario(tmp_path, scenario, instances=2)


def test_malformed_messages_of_a_placer_do_not_end_the_stream(tmp_path):
    async def scenario(cluster):
        for instance in cluster.instances:
            connection = instance.node.placement_client.connection
            changes = placement_pb2.PlacerMessage()
            changes.changes.compressed = b"no compressed message"
            decision = placement_pb2.PlacerMessage()
            decision.decision.refusal.reason = "no such reason"
            service = instance.node.placement_client
            for message in (changes, decision, placement_pb2.PlacerMessage()):
                message_streams.handle_message(
                    connection.placer,
                    message,
                    functools.partial(service.handle, connection),
                )
            assert service.connection is connection
        assert await call(cluster) == 200

    run_scenario(tmp_path, scenario, instances=2)


def test_placer_that_fails_is_started_again(tmp_path, monkeypatch):
    original = scheduler.Scheduler.decide
    failures = iter([True])

    def fail_once(self, now_s):
        if self._is_global and next(failures, False):
            raise RuntimeError("unexpected")
        return original(self, now_s)

    async def scenario(cluster):
        clients = [i.node.placement_client for i in cluster.instances]
        before = [client.connection for client in clients]
        monkeypatch.setattr(scheduler.Scheduler, "decide", fail_once)
        assert await call(cluster) == 200
        await platform_cluster.wait_until(
            lambda: all(
                client.connection and client.connection is not connection
                for client, connection in zip(clients, before, strict=True)
            )
        )
        assert next(failures, None) is None
        assert await call(cluster, instance=1) == 200

    run_scenario(tmp_path, scenario, instances=2)


def test_unexpected_error_of_one_request_ends_that_request(
    tmp_path, monkeypatch
):
    async def scenario(cluster):
        original = request_runner.RequestRunner.run

        async def fail(self, exchange, sink):
            raise RuntimeError("unexpected")

        monkeypatch.setattr(request_runner.RequestRunner, "run", fail)
        assert await call(cluster) == 500
        monkeypatch.setattr(request_runner.RequestRunner, "run", original)
        assert await call(cluster) == 200

    run_scenario(tmp_path, scenario)


def test_value_that_is_not_base64_does_not_hide_other_keys(
    tmp_path, monkeypatch
):
    original = platform_store.Item.encode

    def encode_broken(item):
        encoded = original(item)
        if item.key == "servers/broken":
            encoded["value"] = "%%%"
        return encoded

    monkeypatch.setattr(platform_store.Item, "encode", encode_broken)

    async def scenario(cluster):
        await cluster.store.put("servers/broken", {"any": 1})
        await cluster.store.put(
            "op/config", platform_cluster.make_configuration(2)
        )
        await platform_cluster.wait_until(
            lambda: cluster.instances[0].node.catalogue.routing.version == 2
        )

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fails_in", ["decoder", "listener"])
def test_unexpected_error_in_one_part_does_not_hide_changes(fails_in):
    def decode(key, value):
        if key == "servers/poison":
            raise RuntimeError("unexpected")
        return entry_codec.decode_entry(key, value)

    store_mirror = mirror.Mirror()
    if fails_in == "listener":
        store_mirror.add_listener(lambda changes: 1 / 0)
    known = catalogue.Catalogue(store_mirror, decode)
    values = {
        "servers/poison": b"{}",
        "poplarwick/instances/a": entry_codec.encode_member(
            "1.2.3.4:5", 1.0, "a"
        ),
    }
    store_mirror.apply_changes(
        [
            kv.Change(key, kv.Entry(key, value, n, n), n)
            for n, (key, value) in enumerate(values.items(), 1)
        ],
        kv.Position(0, 2),
    )
    assert set(known.members) == {"a"}
