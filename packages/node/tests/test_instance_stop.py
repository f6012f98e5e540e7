"""Tests for the order of a stop in the product's own mode."""

from __future__ import annotations

import asyncio
import types

import pytest

from poplarwick_core import clock
from poplarwick_forwarding import graceful_stop
from poplarwick_node import instance as instances
from poplarwick_node import settings
from poplarwick_node import stop_schedule

WAIT_S = 20.0


class FakeCallers:
    """A server whose only request ends when `finish` is set."""

    def __init__(self):
        self.is_leaving = False
        self.is_closed = False
        self.in_progress = 1
        self.finish = asyncio.Event()
        self.steps = []

    async def stop_listening(self):
        self.is_closed = True
        self.steps.append("stop_listening")

    async def wait_until_idle(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self.finish.wait()
        except TimeoutError:
            return False
        self.steps.append("idle")
        return True

    async def close_connections(self, until_s):
        del until_s
        self.steps.append("close_connections")


def make_instance(callers, release_all, **timing):
    return instances.Instance(
        types.SimpleNamespace(
            timing=settings.Timing(balancer_delay_s=0.0, **timing)
        ),
        None,
        types.SimpleNamespace(announce_leaving=lambda: None),
        types.SimpleNamespace(drain=lambda: None),
        types.SimpleNamespace(release_all=release_all),
        callers,
        None,
        graceful_stop.GracefulStop(),
    )


def leave(leaving_instance):
    now_s = clock.now_s()
    return leaving_instance.leave(stop_schedule.StopSignal(now_s, now_s), 0.0)


async def fail():
    raise RuntimeError("the key-value service is away")


async def wait_forever():
    await asyncio.Event().wait()


@pytest.mark.parametrize("release_all", [fail, wait_forever])
# Guards against a handover that cuts off requests, or keeps the instance.
def test_requests_end_whatever_becomes_of_the_handover(release_all):
    async def run():
        callers = FakeCallers()
        leaving_instance = make_instance(callers, release_all, grace_s=3.0)
        leaving = asyncio.create_task(leave(leaving_instance))
        while not callers.is_closed:
            await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        assert callers.steps == ["stop_listening"]
        callers.finish.set()
        async with asyncio.timeout(WAIT_S):
            await leaving
        assert callers.steps == ["stop_listening", "idle", "close_connections"]

    asyncio.run(run())


def test_stop_without_a_grace_period_waits_for_its_requests():
    async def run():
        callers = FakeCallers()

        async def release():
            pass

        leaving_instance = make_instance(callers, release)
        leaving = asyncio.create_task(leave(leaving_instance))
        while not callers.is_closed:
            await asyncio.sleep(0)
        await asyncio.wait((leaving,), timeout=0.1)
        assert not leaving.done()
        assert leaving_instance.exits_by_s is None
        callers.finish.set()
        async with asyncio.timeout(WAIT_S):
            await leaving

    asyncio.run(run())


# Guards against streams that are cut, although their engines would have ended
# them in time, because the event loop was late for a moment before the stop.
@pytest.mark.parametrize("lateness_s", [0.0, 0.3, 0.9, 5.0])
@pytest.mark.parametrize("grace_s", [1.0, 3.0, 8.0, 30.0])
def test_requests_have_most_of_the_grace_period(lateness_s, grace_s):
    async def run():
        stopping = make_instance(FakeCallers(), fail, grace_s=grace_s)
        schedule = stopping._make_schedule(
            stop_schedule.StopSignal(0.0, 0.0), 0.0, lateness_s
        )
        end_s = instances.EXIT_TIME_S + stop_schedule.EXIT_MARGIN_S
        assert (
            schedule.cuts_at_s >= min(grace_s * 5 / 6, grace_s - end_s) - 1e-9
        )
        assert schedule.listens_until_s <= schedule.ends_at_s
        assert schedule.ends_at_s <= schedule.cuts_at_s
        assert schedule.cuts_at_s <= schedule.closes_until_s
        assert schedule.closes_until_s <= schedule.releases_until_s
        assert schedule.releases_until_s <= schedule.killed_at_s
        assert schedule.killed_at_s <= grace_s - instances.EXIT_TIME_S

    asyncio.run(run())
