"""Waits of instances that start at once, as after a loss of power.

Callers are already there, so a wait that is longer than needed costs their
requests. The store still holds the members of the fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import types

import pytest
import role_fakes

from poplarwick_catalogue import catalogue
from poplarwick_catalogue import deployment
from poplarwick_coordination import former_members
from poplarwick_coordination import placer
from poplarwick_coordination import registration
from poplarwick_coordination import tenure
from poplarwick_core import clock
from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import kv
from poplarwick_platform import mirror

KEY = "placer"
REFUSED = ConnectionRefusedError()
NAMES = ("a", "b", "c", "d", "e")

DEPLOYMENT = deployment.Deployment(
    **dict.fromkeys(
        ("instance", "domain", "region", "caller_address", "peer_address"), "a"
    ),
    regions_by_domain={"a": "a"},
    readiness_address="a",
    relay_address="a",
    metrics_address="a",
    store_address="a",
    lease_ttl_min_s=1.0,
    strength=1.0,
    bounds=deployment.Bounds(8.0, 0.2, 10.0, 100.0, 1.5, 5.0, 20.0, 4.0),
)


def make_members(names=NAMES):
    return {
        name: catalogue.MemberItem(name, f"{name}:1", 100 - number)
        for number, name in enumerate(names)
    }


def make_tenure(store, store_mirror, read_members, name="a"):
    return tenure.Tenure(
        store,
        store_mirror,
        KEY,
        name,
        read_members,
        1.0,
        lambda: tenure.TakeoverState(False, 0.0, 0),
    )


def read_store(store_mirror, *entries):
    store_mirror.apply_snapshot(
        kv.Snapshot((kv.Entry("m", b"", 1, 1), *entries), kv.Revision(9), 0)
    )


@contextlib.asynccontextmanager
async def running(coroutine):
    task = asyncio.create_task(coroutine)
    try:
        yield
    finally:
        task.cancel()


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.001)


def test_first_of_the_fleet_campaigns_as_soon_as_it_has_read_the_store(
    monkeypatch,
):
    # A delay for a fleet of unknown size would outlast the test.
    monkeypatch.setattr(tenure, "CAMPAIGN_SPREAD_S", 1_000.0)
    monkeypatch.setattr(tenure, "POLL_PERIOD_S", 1_000.0)
    members = {}

    async def run():
        store = role_fakes.RecordingStore()
        store_mirror = mirror.Mirror()
        holder = make_tenure(store, store_mirror, lambda: members)
        async with running(holder.run()):
            await asyncio.sleep(0.05)
            assert not store.commits
            members.update(make_members())
            read_store(store_mirror)
            await wait_until(lambda: holder.epoch is not None)

    asyncio.run(run())


def test_last_of_the_fleet_leaves_the_tenure_to_others(monkeypatch):
    # A delay drawn before the store was read would end too early.
    monkeypatch.setattr(tenure.random, "uniform", lambda low, high: 0.1)
    members = {}

    async def run():
        store = role_fakes.RecordingStore()
        store_mirror = mirror.Mirror()
        holder = make_tenure(store, store_mirror, lambda: members, "e")
        async with running(holder.run()):
            await asyncio.sleep(0.05)
            members.update(make_members())
            read_store(store_mirror)
            await asyncio.sleep(2 * tenure.CAMPAIGN_STEP_S)
            assert not store.commits

    asyncio.run(run())


def test_restarted_placer_does_not_wait_for_its_own_lease_to_expire():
    async def run():
        store = role_fakes.RecordingStore()
        store_mirror = mirror.Mirror()
        holder = make_tenure(store, store_mirror, make_members)
        read_store(store_mirror, kv.Entry(KEY, b"a 01", 5, 5, kv.LeaseId(7)))
        async with running(holder.run()):
            await wait_until(lambda: holder.epoch is not None)
        conditions, _ = store.commits[0]
        assert conditions == (kv.KeyUnchanged(KEY, kv.Revision(5)),)

    asyncio.run(run())


def test_key_of_another_placer_is_left_until_its_lease_expires():
    async def run():
        store = role_fakes.RecordingStore()
        store_mirror = mirror.Mirror()
        holder = make_tenure(store, store_mirror, make_members)
        read_store(store_mirror, kv.Entry(KEY, b"b 01", 5, 5, kv.LeaseId(7)))
        async with running(holder.run()):
            await asyncio.sleep(0.3)
            assert not store.commits
            store_mirror.apply_changes(
                (kv.Change(KEY, None, kv.Revision(10)),),
                kv.Position(0, kv.Revision(10)),
            )
            await wait_until(lambda: holder.epoch is not None)

    asyncio.run(run())


def test_instance_registers_as_soon_as_it_has_read_the_store(monkeypatch):
    monkeypatch.setattr(registration, "CHECK_PERIOD_S", 1_000.0)

    async def run():
        store = role_fakes.RecordingStore()
        store_mirror = mirror.Mirror()
        instance_catalogue = catalogue.Catalogue(store_mirror, lambda *_: None)
        registered = registration.Registration(
            store, store_mirror, instance_catalogue, "a", "a:1", "key", b""
        )
        async with running(registered.run()):
            await asyncio.sleep(0.02)
            assert not store.commits
            instance_catalogue.routing = types.SimpleNamespace()
            instance_catalogue.refresh()
            await wait_until(lambda: store.commits)

    asyncio.run(run())


class Channel:
    """Channel whose next connections fail, or not where the error is None.

    It serves no calls, so that a stream that is opened on it fails.
    """

    def __init__(self, errors):
        self._errors = errors

    async def __connect__(self):
        error = next(self._errors)
        if error is not None:
            raise error

    def close(self):
        pass


def make_placer(errors, fleet_starts_until_s, *, hears_store=True, known=None):
    instance_catalogue = known or catalogue.Catalogue(
        mirror.Mirror(), lambda *_: None
    )
    instance_catalogue.members.update(make_members())
    # The last error repeats.
    errors_by_address = {
        member.address: itertools.chain(errors, itertools.repeat(errors[-1]))
        for member in instance_catalogue.members.values()
    }
    return placer.Placer(
        "a",
        instance_catalogue,
        mirror.Mirror(),
        DEPLOYMENT,
        lambda address: Channel(errors_by_address[address]),
        1,
        None,
        lambda: hears_store,
        types.SimpleNamespace(is_paused=lambda address: False),
        fleet_starts_until_s,
    )


@pytest.mark.parametrize(
    ("errors", "fleet_starts_in_s", "has_majority"),
    [
        pytest.param((REFUSED,), 5.0, True, id="not_started"),
        pytest.param((REFUSED,), -1.0, False, id="refused_after_the_start"),
        pytest.param((TimeoutError(),), 5.0, False, id="not_reached"),
        pytest.param((None, REFUSED), 5.0, False, id="started_and_ended"),
    ],
)
def test_majority_includes_only_instances_that_have_not_started(
    errors, fleet_starts_in_s, has_majority, monkeypatch
):
    # A placer without a majority gives the tenure up.
    monkeypatch.setattr(placer, "REDIAL_DELAY_S", 0.01)

    async def run():
        local_placer = make_placer(errors, clock.now_s() + fleet_starts_in_s)
        local_placer._dial_members()
        await asyncio.sleep(0.1)
        assert local_placer.has_majority is has_majority
        local_placer.stop()

    asyncio.run(run())


# Guards against ended instances that count, by their entries in the store.
@pytest.mark.parametrize(
    ("is_leaving", "has_majority"), [(True, True), (False, False)]
)
def test_placer_of_a_fleet_that_became_smaller(
    is_leaving, has_majority, monkeypatch
):
    monkeypatch.setattr(placer, "REDIAL_DELAY_S", 0.01)
    message = placement_pb2.EntryMessage()
    message.beat.is_leaving = is_leaving

    async def run():
        serving = make_placer((REFUSED,), 0.0)
        for instance in ("b", "c", "d", "e"):
            session = serving.open_session(instance, lambda message: None)
            if instance != "b":
                serving.handle(session, message)
                serving.close_session(session, "stream_ended")
        serving._dial_members()
        await wait_until(lambda: len(serving._unreachable_since_s) == 3)
        await asyncio.sleep(0.05)
        assert serving.has_majority is has_majority
        ended = {"c", "d", "e"} if is_leaving else set()
        assert set(serving.find_ended(clock.now_s())) == ended
        members = dict(serving._catalogue.members)
        serving._catalogue.members.clear()
        serving._catalogue.refresh()
        serving._catalogue.members.update(members)
        serving._catalogue.refresh()
        # Guards against the removal of an entry that was written anew.
        assert serving.find_ended(clock.now_s()) == []
        assert not serving.has_majority
        serving.stop()

    asyncio.run(run())


# Guards against a new process that is taken for the one before it, as the
# placer hears of its entry and of the removal at once.
def test_instance_that_came_back_between_two_changes_has_not_ended():
    async def run():
        store_mirror = mirror.Mirror()
        known = catalogue.Catalogue(
            store_mirror, lambda key, value: catalogue.MemberItem(key, "c:1")
        )
        read_store(store_mirror)
        serving = make_placer((REFUSED,), 0.0, known=known)
        electorate = serving._electorate
        store_mirror.apply_changes(
            (kv.Change("c", kv.Entry("c", b"", 10, 10), 10),),
            kv.Position(0, 10),
        )
        electorate.record_heartbeat("c", is_leaving=True)
        electorate.record_refused("c")
        known.refresh()
        assert electorate.has_ended("c")
        store_mirror.apply_changes(
            (
                kv.Change("c", None, 11),
                kv.Change("c", kv.Entry("c", b"", 12, 12), 12),
            ),
            kv.Position(0, 12),
        )
        assert not electorate.has_ended("c")
        serving.stop()

    asyncio.run(run())


# Guards against two placers: those that are gone may be back behind a cut.
@pytest.mark.parametrize(
    ("hears_store", "error", "has_majority"),
    [
        pytest.param(True, TimeoutError(), True, id="store_would_tell"),
        pytest.param(False, TimeoutError(), False, id="cut_off"),
        pytest.param(False, REFUSED, True, id="nobody_listens"),
    ],
)
def test_members_that_were_removed_lately(
    hears_store, error, has_majority, monkeypatch
):
    monkeypatch.setattr(placer, "REDIAL_DELAY_S", 0.01)

    async def run():
        serving = make_placer((error,), 0.0, hears_store=hears_store)
        serving._catalogue.refresh()
        for instance in ("c", "d", "e"):
            del serving._catalogue.members[instance]
        serving._catalogue.refresh()
        serving.open_session("b", lambda message: None)
        serving._dial_members()
        await asyncio.sleep(0.1)
        assert serving.has_majority is has_majority
        assert serving.find_ended(-1.0) == []
        monkeypatch.setattr(former_members, "RETENTION_S", 0.0)
        assert serving.has_majority
        serving.stop()

    asyncio.run(run())


# Guards against an instance that has no placer for as long as this one places.
@pytest.mark.parametrize("is_cancelled", [False, True])
def test_instance_is_dialled_again_whatever_ended_the_last_attempt(
    is_cancelled, monkeypatch
):
    monkeypatch.setattr(placer, "REDIAL_DELAY_S", 0.01)
    dialled = []

    def fail(address):
        dialled.append(address)
        raise ValueError("not an address")

    async def run():
        serving = make_placer((REFUSED,), 0.0)
        serving._open_channel = fail
        serving._dial_members()
        await wait_until(lambda: len(dialled) >= 4)
        if is_cancelled:
            # As when a library cancels the task that uses a lost connection.
            for dial in serving._dials.values():
                dial.cancel()
            await asyncio.wait(serving._dials.values())
        dialled.clear()
        serving._dial_members()
        await wait_until(lambda: len(set(dialled)) == 4)
        serving.stop()

    asyncio.run(run())
