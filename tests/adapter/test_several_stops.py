"""Several instances stopped at once; the others go on with a placer."""

from __future__ import annotations

import asyncio

import platform_cluster
import pytest

from poplarwick_adapter import keys
from poplarwick_coordination import placer_role

GRACE_S = 2.0
"""An idle instance ends after a third of it."""


def find_placer(cluster):
    return next(
        (i for i in cluster.instances if i.node.tenure.epoch is not None), None
    )


def follow_one_placer(instances):
    followed = {
        connection and connection.placer
        for connection in (
            i.node.placement_client.connection for i in instances
        )
    }
    return len(followed) == 1 and None not in followed


async def wait_for_placer(cluster):
    await platform_cluster.wait_until(
        lambda: (
            follow_one_placer(cluster.instances)
            and all(
                len(i.node.catalogue.members) == len(cluster.instances)
                for i in cluster.instances
            )
        )
    )
    # A hand-over needs the first heartbeats.
    await asyncio.sleep(0.6)


async def watch(instances):
    """Returns the epochs of the placers, and the longest time without one.

    Lasts until a placer that counts the ended instances has stepped down.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + 3 * placer_role.ISOLATION_S + 1.0
    epochs, longest_s, last_at_s = set(), 0.0, loop.time()
    while loop.time() < until_s:
        held = {i.node.tenure.epoch for i in instances} - {None}
        epochs |= held
        if held and follow_one_placer(instances):
            last_at_s = loop.time()
        longest_s = max(longest_s, loop.time() - last_at_s)
        await asyncio.sleep(0.01)
    return epochs, longest_s


def stop_several(tmp_path, *, of, stopped, with_placer, store_is_away=False):
    async def run():
        async with platform_cluster.run_cluster(
            tmp_path, instances=of, grace_s=GRACE_S
        ) as cluster:
            await wait_for_placer(cluster)
            placer = find_placer(cluster)
            others = [i for i in cluster.instances if i is not placer]
            leaving = [placer, *others] if with_placer else others
            leaving = leaving[:stopped]
            staying = [i for i in cluster.instances if i not in leaving]
            cluster.store.is_unresponsive = store_is_away
            for instance in leaving:
                instance.stop.set()
            await asyncio.wait([i.task for i in leaving])
            await platform_cluster.wait_until(
                lambda: follow_one_placer(staying)
            )
            epochs, without_s = await watch(staying)
            members = {
                key.removeprefix(keys.MEMBER_PREFIX)
                for key in cluster.store.items
                if key.startswith(keys.MEMBER_PREFIX)
            }
            names = {i.name for i in staying}
            return epochs, without_s, members - names

    return asyncio.run(run())


# Guards against ended instances in the majority that a placer has to reach.
@pytest.mark.parametrize(
    ("of", "stopped", "with_placer"),
    [(4, 2, False), (4, 2, True), (4, 3, False), (2, 1, False), (2, 1, True)],
)
def test_those_left_keep_their_placer(tmp_path, of, stopped, with_placer):
    epochs, without_s, left_entries = stop_several(
        tmp_path, of=of, stopped=stopped, with_placer=with_placer
    )
    assert len(epochs) == 1
    assert without_s < placer_role.ISOLATION_S
    assert left_entries == set()


def test_those_left_keep_their_placer_while_the_store_is_away(tmp_path):
    epochs, without_s, left_entries = stop_several(
        tmp_path, of=4, stopped=2, with_placer=False, store_is_away=True
    )
    assert len(epochs) == 1
    assert without_s < placer_role.ISOLATION_S
    assert len(left_entries) == 2
