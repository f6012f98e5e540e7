"""The key of the tenure after a hand-over, which needs no store."""

from __future__ import annotations

import asyncio
import contextlib

import role_fakes

from poplarwick_bench import examples
from poplarwick_catalogue import catalogue
from poplarwick_coordination import placement_client
from poplarwick_coordination import tenure
from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import kv
from poplarwick_platform import mirror

KEY = "placer"
MEMBERS = {
    name: catalogue.MemberItem(name, f"{name}:1", 100 - number)
    for number, name in enumerate(("a", "b", "c"))
}
HELD_BY_B = kv.Entry(KEY, b"b 01", 5, 5, kv.LeaseId(7))
HANDED_OVER = 5_001
"""Epoch that `b` hands over."""


class Candidate:
    """An instance's tenure, and what decides about it."""

    def __init__(self, name):
        self.store = role_fakes.RecordingStore()
        self.mirror = mirror.Mirror()
        self.mirror.apply_snapshot(kv.Snapshot((HELD_BY_B,), 9, 0))
        self.disconnected_s = None
        self.tenure = tenure.Tenure(
            self.store,
            self.mirror,
            KEY,
            name,
            lambda: MEMBERS,
            1.0,
            lambda: tenure.TakeoverState(False, self.disconnected_s, 5_000),
        )

    def write_key(self, revision, value=None):
        """Applies a change of the key, or its end if there is no value."""
        entry = value and kv.Entry(KEY, value, revision, revision)
        self.mirror.apply_changes(
            (kv.Change(KEY, entry, revision),), kv.Position(0, revision)
        )

    async def has_campaigned(self, within_s):
        """Returns whether it tries to take the key within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not self.store.commits:
                    await asyncio.sleep(0.005)
        return bool(self.store.commits)


def run_candidate(name, scenario):
    async def run():
        candidate = Candidate(name)
        task = asyncio.create_task(candidate.tenure.run())
        try:
            await scenario(candidate)
        finally:
            task.cancel()

    asyncio.run(run())


# Otherwise the key is free for all once the lease of `b` has ended.
def test_successor_replaces_the_key_of_its_predecessor_and_keeps_its_epoch():
    async def scenario(candidate):
        candidate.tenure.accept_handover(HANDED_OVER, "b")
        assert await candidate.has_campaigned(2.0)
        conditions, (put,) = candidate.store.commits[0]
        assert conditions == (kv.KeyUnchanged(KEY, 5),)
        assert put.value.startswith(b"c ")
        assert candidate.tenure.epoch == HANDED_OVER

    run_candidate("c", scenario)


def test_successor_leaves_the_key_that_another_instance_has_taken():
    async def scenario(candidate):
        candidate.write_key(10, b"a 02")
        candidate.tenure.accept_handover(HANDED_OVER, "b")
        assert not await candidate.has_campaigned(0.3)

    run_candidate("c", scenario)


def test_first_of_the_fleet_leaves_a_vacant_key_to_a_connected_placer():
    async def scenario(candidate):
        candidate.write_key(10)
        assert not await candidate.has_campaigned(0.5 * tenure.INCUMBENT_WAIT_S)
        candidate.write_key(11, b"c 02")
        assert not await candidate.has_campaigned(tenure.INCUMBENT_WAIT_S)

    run_candidate("a", scenario)


def test_vacant_key_is_taken_as_soon_as_the_placer_is_lost():
    async def scenario(candidate):
        candidate.write_key(10)
        await asyncio.sleep(0.2 * tenure.INCUMBENT_WAIT_S)
        candidate.disconnected_s = 0.0
        assert await candidate.has_campaigned(0.5 * tenure.INCUMBENT_WAIT_S)

    run_candidate("a", scenario)


def test_vacant_key_is_taken_if_the_connected_placer_does_not():
    async def scenario(candidate):
        candidate.write_key(10)
        assert await candidate.has_campaigned(3 * tenure.INCUMBENT_WAIT_S)

    run_candidate("a", scenario)


def make_client(candidate):
    return placement_client.PlacementClient(
        catalogue.Catalogue(candidate.mirror, lambda *_: None),
        candidate.mirror,
        examples.make_deployment(),
        candidate.tenure.observe_epoch,
        lambda: True,
        candidate.tenure.accept_handover,
    )


def make_connection(placer, epoch):
    return placement_client.PlacerConnection(
        placer, epoch, lambda message: None, 0.0
    )


# Guards against instances that follow two placers of one epoch in turn: both
# were handed it, or began in an outage with the same rank.
def test_instances_choose_the_same_of_two_placers_with_one_epoch():
    async def scenario(candidate):
        for order in (("b", "c"), ("c", "b")):
            client = make_client(candidate)
            for placer in (*order, *order):
                client.attach(make_connection(placer, HANDED_OVER))
            assert client.connection.placer == "c"

    run_candidate("a", scenario)


def test_one_of_two_placers_with_one_epoch_ends_its_tenure():
    async def scenario(candidate):
        candidate.tenure.accept_handover(HANDED_OVER, "a")
        for placer, is_kept in (("a", True), ("b", True), ("c", False)):
            make_client(candidate).attach(make_connection(placer, HANDED_OVER))
            assert (candidate.tenure.epoch is not None) is is_kept

    run_candidate("b", scenario)


def test_hand_over_by_a_placer_that_is_no_longer_followed_is_ignored():
    async def scenario(candidate):
        client = make_client(candidate)
        former = make_connection("b", HANDED_OVER - 1)
        client.attach(former)
        client.attach(make_connection("a", HANDED_OVER + 1))
        message = placement_pb2.PlacerMessage()
        message.handover.epoch = HANDED_OVER
        client.handle(former, message)
        assert candidate.tenure.epoch is None

    run_candidate("c", scenario)
