"""Streams of other instances' callers through a relay that stops."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import crashing_fleet
import network_cuts
import platform_cluster
import pytest
import slow_callers
import stop_calls

GRACE_S = 4.0
EVENTS = 40
EVENT_BYTES = 20_000


@contextlib.asynccontextmanager
async def run_cut_cluster(tmp_path, **replica_settings):
    """Yields a cluster and its instance that is cut off."""
    async with (
        network_cuts.NetworkCuts().install() as cuts,
        platform_cluster.run_cluster(
            tmp_path, pool=6, orders=3, instances=3, grace_s=GRACE_S
        ) as cluster,
    ):
        await crashing_fleet.wait_for_placer(cluster)
        await stop_calls.allow_long_requests(cluster)
        cut = next(i for i in cluster.instances if i.node.tenure.epoch is None)
        await network_cuts.cut_off(cluster, cuts, cut)
        for replica in cluster.replicas:
            replica.event_count = EVENTS
            for name, value in replica_settings.items():
                setattr(replica, name, value)
        yield cluster, cut


async def find_relay(cluster):
    """Returns the instance that relays the only stream."""

    def find_relays():
        return [
            i for i in cluster.instances if i.node.relay_server.connection_count
        ]

    await platform_cluster.wait_until(
        lambda: find_executions(cluster) and len(find_relays()) == 1
    )
    return find_relays()[0]


def find_executions(cluster):
    return [
        execution
        for replica in cluster.replicas
        for execution in replica.executions
        if "/label" in execution.target
    ]


async def read_late(cluster, cut, wait):
    """Reads a stream after a wait and returns the ids of its events."""
    with contextlib.closing(
        slow_callers.SlowCaller(cut.caller_address)
    ) as caller:
        await caller.send("/label/", "slow", tokens=3_000, deadline_ms=15_000)
        await wait(await find_relay(cluster))
        return slow_callers.find_event_ids(await caller.read())


# Guards against streams that end with a relay that has their last events, as
# their callers read slowly.
def test_unsent_events_are_sent_after_the_end_of_the_relay(tmp_path):
    async def stop(relay):
        relay.stop.set()
        await relay.task

    async def scenario():
        async with run_cut_cluster(tmp_path, event_bytes=EVENT_BYTES) as (
            cluster,
            cut,
        ):
            assert await read_late(cluster, cut, stop) == [
                *range(1, EVENTS + 1)
            ]
            assert len(find_executions(cluster)) == 1

    asyncio.run(scenario())


# Guards against endpoints that are blamed for streams that a relay cuts as its
# process ends.
def test_stream_that_a_stopping_relay_cuts_is_resumed(tmp_path, lines):
    async def scenario():
        async with run_cut_cluster(tmp_path, event_interval_s=0.15) as (
            cluster,
            cut,
        ):

            async def stream():
                async with stop_calls.make_call(
                    cluster,
                    instance=cluster.instances.index(cut),
                    tokens=3_000,
                ) as response:
                    return await response.read()

            streaming = asyncio.create_task(stream())
            relay = await find_relay(cluster)
            relay.stop.set()
            received = (await streaming).decode().splitlines()
            assert [line for line in received if line.startswith("id:")] == [
                f"id: {number}" for number in range(1, EVENTS + 1)
            ]

    asyncio.run(scenario())
    (failure,) = [
        line
        for line in lines
        if "event=attempt_failed" in line and "relay=" in line
    ]
    assert "result=given_up" in failure
    assert [line for line in lines if "event=relayed_connection_cut" in line]


@pytest.mark.parametrize(
    "step", ["list_unsent", "wait_until_idle", "end_connections"]
)
# Guards against own requests that are cut at once, as the end of a relayed
# connection fails.
def test_own_requests_end_in_order_whatever_becomes_of_relayed_ones(
    tmp_path, lines, monkeypatch, step
):
    def fail(*_):
        raise TypeError("no size of a buffer")

    async def scenario():
        async with run_cut_cluster(tmp_path, event_interval_s=0.15) as (
            cluster,
            cut,
        ):

            async def stream(instance):
                async with stop_calls.make_call(
                    cluster,
                    instance=cluster.instances.index(instance),
                    tokens=3_000,
                ) as response:
                    return await response.read()

            relayed = asyncio.create_task(stream(cut))
            relay = await find_relay(cluster)
            own = asyncio.create_task(stream(relay))
            await platform_cluster.wait_until(
                lambda: len(find_executions(cluster)) == 2
            )
            monkeypatch.setattr(relay.node.relay_server, step, fail)
            relay.stop.set()
            await relay.task
            await relayed
            # It outlasts the stop.
            with pytest.raises(aiohttp.ClientPayloadError):
                await own

    asyncio.run(scenario())
    assert [line for line in lines if "event=task_failed" in line]
    (cuts,) = [line for line in lines if "event=stop_cuts_requests" in line]
    assert "in_progress=1" in cuts
