"""Requests that wait for the first configuration of a starting instance.

The first one released takes the capacity, so a late urgent request must not be
behind an early one that is not.
"""

from __future__ import annotations

import asyncio

from poplarwick_forwarding import configuration_queue


class Start:
    """A starting instance whose configuration maps names to priorities."""

    def __init__(self):
        self.rules = None
        self.order = []
        self.queue = configuration_queue.ConfigurationQueue(lambda: self.rules)

    async def request(self, name, timeout_s=5.0):
        found = await self.queue.wait(lambda rules: rules[name], timeout_s)
        self.order.append((name, found is not None))

    async def request_all(self, *names):
        tasks = [asyncio.create_task(self.request(name)) for name in names]
        await asyncio.sleep(0)
        self.queue.release()
        await asyncio.sleep(0)
        assert not self.order
        return tasks


def test_requests_are_released_by_priority_and_then_by_arrival():
    async def run():
        start = Start()
        tasks = await start.request_all("b1", "c1", "a1", "b2", "a2")
        start.rules = {"a1": 0, "a2": 0, "b1": 1, "b2": 1, "c1": 2}
        start.queue.release()
        await asyncio.gather(*tasks)
        names = [name for name, _ in start.order]
        assert names == ["a1", "a2", "b1", "b2", "c1"]

    asyncio.run(run())


def test_request_without_configuration_within_its_time_gets_none():
    async def run():
        start = Start()
        await start.request("a", 0.01)
        assert start.order == [("a", False)]

    asyncio.run(run())


def test_caller_that_leaves_does_not_hold_the_others_up():
    async def run():
        start = Start()
        first, second = await start.request_all("a", "b")
        first.cancel()
        start.rules = {"a": 0, "b": 0}
        start.queue.release()
        await second
        assert start.order == [("b", True)]

    asyncio.run(run())
