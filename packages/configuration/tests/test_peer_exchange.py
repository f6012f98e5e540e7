"""Tests for exchanging versions and held drain marks between instances."""

import asyncio
import contextlib
import random

import fake_exchange
import fake_kv
import pytest
import texts

from poplarwick_configuration import _mark_writer
from poplarwick_configuration import changes
from poplarwick_configuration import drain_controller
from poplarwick_configuration import drain_marks
from poplarwick_configuration import follower
from poplarwick_configuration import store

WAIT_S = 30
DOMAIN = drain_marks.Target(drain_marks.TargetKind.DOMAIN, "d1")
TWO_DOMAINS = {
    "domains": [
        {"id": "d1", "region": "r1"},
        {"id": "d2", "region": "r1"},
    ],
    "endpoints": [
        {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"},
        {"id": "e2", "address": "h:2", "domain": "d2", "model": "lm"},
        {"id": "e3", "address": "h:3", "domain": "d2", "service": "orders"},
    ],
}


@pytest.fixture(autouse=True)
def reduce_delays(monkeypatch):
    monkeypatch.setattr(follower, "MIN_RETRY_DELAY_S", 0.001)
    monkeypatch.setattr(follower, "MAX_RETRY_DELAY_S", 0.01)
    monkeypatch.setattr(follower, "PEER_PULL_INTERVAL_S", 0.02)
    monkeypatch.setattr(_mark_writer, "STORE_JITTER_S", 0.01)
    monkeypatch.setattr(_mark_writer, "MAX_RETRY_DELAY_S", 0.05)


class Fleet:
    """Followers of several instances with a network and a key-value service."""

    def __init__(self, kv):
        self.kv = kv
        self.network = fake_exchange.Network()
        self.documents = store.DocumentStore(kv, "trial")
        self._stacks = {}

    async def start(self, name, client=None):
        exchange = self.network.open(name)
        one = follower.Follower(client or self.kv, "trial", exchange)
        stack = contextlib.AsyncExitStack()
        self._stacks[name] = stack
        await stack.enter_async_context(one)
        self.network.followers[name] = one
        return one

    async def stop(self, name):
        del self.network.followers[name]
        await self._stacks.pop(name).aclose()

    async def stop_all(self):
        for name in tuple(self._stacks):
            await self.stop(name)

    async def push(self, change_id, **options):
        pushed = await self.documents.push(
            texts.make_text(**options), author="anna", change_id=change_id
        )
        return pushed.unwrap().version

    async def wait_for(self, version):
        for one in tuple(self.network.followers.values()):
            await one.wait_for_version(version)

    def control(self, name):
        return drain_controller.DrainController(
            self.kv,
            "trial",
            self.network.followers[name],
            self.network.open(name),
        )


@contextlib.asynccontextmanager
async def running(size):
    fleet = Fleet(fake_kv.FakeKv())
    try:
        await fleet.push("c1", **TWO_DOMAINS)
        for number in range(size):
            await fleet.start(f"i{number}")
        await fleet.wait_for(1)
        yield fleet
    finally:
        await fleet.stop_all()


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, WAIT_S))


def is_out_of_service(one):
    return not one.view.find_domain("d1").in_service


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def test_domain_taken_out_in_an_outage_stays_out_and_is_stored_once():
    async def check():
        async with running(5) as fleet:
            await fleet.kv.set_down(True)
            made = await fleet.control("i0").take_out(
                DOMAIN, author="bert", change_id="out-1"
            )
            held = made.unwrap()
            assert isinstance(held, drain_controller.Held)
            assert set(held.held_by) == set(fleet.network.followers)
            assert held.missing == ()
            assert all(map(is_out_of_service, fleet.network.followers.values()))

            # Rolling replacement of all instances.
            for number in range(5):
                await fleet.stop(f"i{number}")
                fresh = await fleet.start(f"n{number}")
                await fresh.wait_for_version(1)
                await wait_until(lambda one=fresh: is_out_of_service(one))

            await fleet.kv.set_down(False)
            await fleet.wait_for(2)
            await wait_until(
                lambda: (
                    not any(
                        one.held for one in fleet.network.followers.values()
                    )
                )
            )
            assert all(map(is_out_of_service, fleet.network.followers.values()))
            history = await fleet.documents.read_history()
            assert [r.change_id for r in history] == ["c1", "out-1"]
            assert history[1].author == "bert"

            put = await fleet.control("n1").put_in(
                DOMAIN, author="bert", change_id="in-1"
            )
            assert put.unwrap() == changes.Accepted(3)
            await fleet.wait_for(3)
            # An instance that still holds the mark cannot reactivate it.
            fleet.network.followers["n0"].hold((held.mark,))
            assert not any(
                map(is_out_of_service, fleet.network.followers.values())
            )

    run(check())


def test_put_in_is_refused_while_drain_mark_is_not_stored():
    async def check():
        async with running(2) as fleet:
            await fleet.kv.set_down(True)
            control = fleet.control("i0")
            await control.take_out(DOMAIN, author="b", change_id="out-1")
            put = await control.put_in(DOMAIN, author="b", change_id="in-1")
            assert isinstance(put.unwrap_err(), changes.NotStored)
            assert is_out_of_service(fleet.network.followers["i1"])

    run(check())


def test_take_out_in_an_outage_reports_unconfirmed_instances():
    async def check():
        async with running(3) as fleet:
            await fleet.kv.set_down(True)
            fleet.network.cut.add(("i0", "i2"))
            made = await fleet.control("i0").take_out(
                DOMAIN, author="b", change_id="out-1"
            )
            assert made.unwrap().missing == ("i2",)
            # Other instances forward the mark.
            await wait_until(
                lambda: is_out_of_service(fleet.network.followers["i2"])
            )

    run(check())


def test_last_endpoint_is_not_taken_out_unless_forced():
    async def check():
        async with running(1) as fleet:
            target = drain_marks.Target(drain_marks.TargetKind.DOMAIN, "d2")
            control = fleet.control("i0")
            made = await control.take_out(target, author="b", change_id="o1")
            assert made.unwrap_err() == changes.LeavesIdle(("orders",))
            made = await control.take_out(
                target, author="b", change_id="o2", is_forced=True
            )
            assert made.unwrap() == changes.Accepted(2)

    run(check())


def test_push_does_not_put_a_domain_back_in():
    async def check():
        async with running(2) as fleet:
            control = fleet.control("i0")
            await control.take_out(DOMAIN, author="b", change_id="out-1")
            await fleet.push("c2", weight=5, **TWO_DOMAINS)
            await fleet.wait_for(3)
            assert all(map(is_out_of_service, fleet.network.followers.values()))

    run(check())


def test_instance_started_in_an_outage_pulls_from_peers():
    async def check():
        async with running(2) as fleet:
            await fleet.kv.set_down(True)
            fresh = await fleet.start("new")
            view = await fresh.wait_for_version(1)
            assert view.find_model("lm") is not None
            assert not fresh.is_connected

    run(check())


def test_instance_disconnected_from_the_service_pulls_from_peers():
    async def check():
        async with running(2) as fleet:
            unavailable_kv = fake_kv.FakeKv()
            await unavailable_kv.set_down(True)
            disconnected = await fleet.start("disconnected", unavailable_kv)
            await disconnected.wait_for_version(1)
            version = await fleet.push("c2", weight=2, **TWO_DOMAINS)
            disconnected.record_peer_version("i0", version)
            await disconnected.wait_for_version(2)
            before = disconnected.isolated_s
            names = set(fleet.network.followers)
            fleet.network.cut |= {("disconnected", name) for name in names}
            await wait_until(lambda: disconnected.isolated_s > before + 0.05)
            fleet.network.cut.clear()
            await wait_until(lambda: disconnected.isolated_s < 0.05)

    run(check())


def test_paused_parent_does_not_block_versions_for_its_children():
    async def check():
        async with running(6) as fleet:
            fleet.network.paused.update(fleet.network.followers)
            version = await fleet.push("c2", **make_wide_text({1}))
            await fleet.wait_for(version)

    run(check())


def test_failing_listener_does_not_block_later_versions():
    async def check():
        async with running(1) as fleet:

            def fail(view):
                raise ValueError("injected")

            one = fleet.network.followers["i0"]
            with pytest.raises(ValueError):
                one.add_listener(fail)
            for number in (2, 3):
                await fleet.push(f"c{number}", weight=number, **TWO_DOMAINS)
                await one.wait_for_version(number)

    run(check())


def test_instance_without_peers_probes_the_service(monkeypatch):
    monkeypatch.setattr(follower, "PROBE_AFTER_S", 0.01)

    async def check():
        async with running(1) as fleet:
            alone = fleet.network.followers["i0"]
            reads = fleet.kv.reads
            await wait_until(lambda: fleet.kv.reads > reads + 2)
            await fleet.kv.set_down(True)
            await wait_until(lambda: not alone.is_connected)
            await wait_until(lambda: alone.isolated_s > 0.1)
            await fleet.kv.set_down(False)
            await wait_until(
                lambda: alone.is_connected and alone.isolated_s < 0.05
            )

    run(check())


def make_wide_text(changed):
    organisations = [
        {"id": f"o{i}", "keys": [], "weight": 2 if i in changed else 1}
        for i in range(3_000)
    ]
    return {**TWO_DOMAINS, "organisations": organisations}


@pytest.mark.parametrize("size", [4, 24])
def test_store_reads_do_not_grow_with_the_fleet_size(size):
    async def check():
        async with running(size) as fleet:
            before = fleet.kv.reads
            await fleet.push("c2", **make_wide_text(set()))
            await fleet.wait_for(2)
            pushed = 2
            sections = len((await fleet.documents.read_head()).record.sections)
            assert sections > 10
            reads = fleet.kv.reads - before
            # The root reads each section once; a slow parent can cause
            # additional reads.
            assert reads <= pushed + 1 + 2 * sections

    run(check())


def test_restart_in_an_outage_skips_version_of_lagging_peer():
    async def check():
        async with running(3) as fleet:
            unavailable_kv = fake_kv.FakeKv()
            await unavailable_kv.set_down(True)
            await fleet.start("lagging", unavailable_kv)
            await fleet.wait_for(1)
            peers = fleet.network.followers
            fleet.network.cut |= {("lagging", name) for name in peers}
            await fleet.push("c2", weight=2, **TWO_DOMAINS)
            for name in ("i0", "i1", "i2"):
                await peers[name].wait_for_version(2)
            assert peers["lagging"].version == 1
            await fleet.kv.set_down(True)
            for _ in range(10):
                await fleet.stop("i0")
                seen = []
                fresh = await fleet.start("i0")
                fresh.add_listener(lambda view, into=seen: into.append(view))
                await fresh.wait_for_version(1)
                assert [view.version for view in seen] == [2]

    run(check())


def test_versions_never_decrease_under_restarts_partitions_and_outages():
    async def scenario(seed):
        rng = random.Random(seed)
        async with running(5) as fleet:
            peers = fleet.network.followers
            version = 1
            restarts = 0
            for step in range(60):
                await asyncio.sleep(0.002 * rng.random())
                names = sorted(peers)
                name = rng.choice(names)
                match rng.randrange(5):
                    case 0:
                        await fleet.kv.set_down(not fleet.kv.is_down)
                    case 1:
                        previous = peers[name].version
                        await fleet.stop(name)
                        others = max(one.version for one in peers.values())
                        fleet.network.cut -= {(name, n) for n in names}
                        fresh = await fleet.start(name)
                        seen = []
                        fresh.add_listener(
                            lambda view, into=seen: into.append(view.version)
                        )
                        await fresh.wait_for_version(1)
                        assert seen[0] >= min(previous, others)
                        restarts += 1
                    case 2:
                        pair = tuple(rng.sample(names, 2))
                        fleet.network.cut ^= {pair}
                    case 3:
                        await fleet.kv.compact()
                    case 4 if not fleet.kv.is_down:
                        version = await fleet.push(
                            f"p{step}", weight=step + 1, **TWO_DOMAINS
                        )
            await fleet.kv.set_down(False)
            await fleet.wait_for(version)
            assert restarts
            assert {one.version for one in peers.values()} == {version}

    for seed in range(8):
        run(scenario(seed))
