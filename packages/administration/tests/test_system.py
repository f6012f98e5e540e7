"""Tests of documents with real protocols: etcd gateway and gRPC."""

import asyncio
import contextlib
import random

import aiohttp
import msgspec
import pytest
import serving
import texts
from aiohttp import test_utils

from poplarwick_configuration import changes
from poplarwick_configuration import drain_controller
from poplarwick_configuration import drain_marks
from poplarwick_configuration import follower
from poplarwick_configuration import store
from poplarwick_core import ids
from poplarwick_peers import configurations
from poplarwick_peers import membership
from poplarwick_peers import transport
from poplarwick_platform import gateway
from poplarwick_standins import _http
from poplarwick_standins import _kv_faults
from poplarwick_standins import kv as kv_standin

DOMAIN = drain_marks.Target(drain_marks.TargetKind.DOMAIN, "d1")
DOMAINS = [{"id": "d1", "region": "r1"}, {"id": "d2", "region": "r1"}]
ENDPOINTS = [
    {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"},
    {"id": "e2", "address": "h:2", "domain": "d2", "model": "lm"},
    {"id": "e3", "address": "h:3", "domain": "d2", "service": "orders"},
]


class StaticMembership:
    """Membership with a fixed set of members."""

    def __init__(self, own, members):
        self.own = own
        self.members = members

    def find(self, instance):
        return next((m for m in self.members if m.instance == instance), None)


@contextlib.asynccontextmanager
async def run_kv_service():
    runner = await _http.start_application(
        kv_standin.make_application(), "127.0.0.1:0"
    )
    try:
        yield _http.find_address(runner)
    finally:
        await runner.cleanup()


async def set_faults(address, **faults):
    body = msgspec.json.encode(_kv_faults.Faults(**faults))
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/control/faults"
        async with session.post(url, data=body) as response:
            assert response.status == 200


@contextlib.asynccontextmanager
async def run_instances(address, count):
    """Runs followers that are connected over gRPC."""
    members = tuple(
        membership.Member(
            ids.InstanceId(f"i{number}"),
            f"127.0.0.1:{test_utils.unused_port()}",
            ids.DomainId("d1"),
            ids.RegionId("r1"),
            1,
        )
        for number in range(count)
    )
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        instances = []
        for own in members:
            client = await enter(
                gateway.connect((address,), instance=own.instance)
            )
            channels = await enter(transport.ChannelPool())
            exchange = configurations.ConfigurationExchange(
                StaticMembership(own, members), channels
            )
            instance_follower = follower.Follower(client, "trial", exchange)
            served = configurations.ConfigurationService(instance_follower)
            await enter(transport.PeerServer(own.address, (served,)))
            await enter(instance_follower)
            instances.append((client, exchange, instance_follower))
        yield instances


@pytest.mark.parametrize("seed", range(3))
def test_concurrent_pushes_are_neither_lost_nor_duplicated(seed):
    async def push_versions(name, documents, rng, version_by_change):
        for number in range(15):
            change_id = f"{name}-{number}"
            text = texts.make_text(weight=rng.randrange(1, 1_000))
            while True:
                outcome = await documents.push(
                    text, author=name, change_id=change_id
                )
                if outcome.is_ok():
                    version_by_change[change_id] = outcome.unwrap().version
                    break
                if not isinstance(outcome.unwrap_err(), changes.Unresolved):
                    version_by_change[change_id] = None
                    break

    async def check():
        rng = random.Random(seed)
        version_by_change = {}
        async with (
            run_kv_service() as address,
            run_instances(address, 3) as instances,
        ):
            seen_versions = [[] for _ in instances]
            for (_, _, instance_follower), versions in zip(
                instances, seen_versions, strict=True
            ):
                instance_follower.add_listener(
                    lambda v, into=versions: into.append(v.version)
                )
            await set_faults(address, lost_write_probability=0.3, seed=seed)
            stores = [
                store.DocumentStore(client, "trial")
                for client, _, _ in instances
            ]
            await asyncio.gather(
                push_versions("anna", stores[0], rng, version_by_change),
                push_versions("bert", stores[1], rng, version_by_change),
            )
            await set_faults(address)
            head = (await stores[2].read_head()).record
            for _, _, instance_follower in instances:
                await instance_follower.wait_for_version(head.version)
            history = await stores[2].read_history()
        accepted = {c: v for c, v in version_by_change.items() if v is not None}
        assert len(version_by_change) == 30
        assert {r.change_id: r.version for r in history} == accepted
        assert [r.version for r in history] == list(range(1, head.version + 1))
        assert len(accepted) == len(history)
        for versions in seen_versions:
            assert versions == sorted(set(versions))

    serving.run(check())


def test_domain_drained_in_outage_reaches_all_instances_and_is_stored():
    async def check():
        async with (
            run_kv_service() as address,
            run_instances(address, 3) as instances,
        ):
            client, exchange, first = instances[0]
            documents = store.DocumentStore(client, "trial")
            text = texts.make_text(domains=DOMAINS, endpoints=ENDPOINTS)
            await documents.push(text, author="anna", change_id="c1")
            for _, _, instance_follower in instances:
                await instance_follower.wait_for_version(1)
            await set_faults(address, outage=True)
            control = drain_controller.DrainController(
                client, "trial", first, exchange
            )
            outcome = await control.take_out(
                DOMAIN, author="bert", change_id="out-1"
            )
            held = outcome.unwrap()
            assert set(held.held_by) == {"i0", "i1", "i2"}
            for _, _, instance_follower in instances:
                assert not instance_follower.view.find_domain("d1").in_service
            await set_faults(address)
            for _, _, instance_follower in instances:
                await instance_follower.wait_for_version(2)
                assert not instance_follower.view.find_domain("d1").in_service
            history = await documents.read_history()
            assert [r.change_id for r in history] == ["c1", "out-1"]

    serving.run(check())
