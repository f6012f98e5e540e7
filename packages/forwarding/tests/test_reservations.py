"""Memory that is held at engines for one request."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_bench import examples
from poplarwick_core import ids
from poplarwick_forwarding import dialect
from poplarwick_forwarding import reservations
from poplarwick_placement import messages

HELPERS = tuple(
    messages.Helper(ids.EndpointId(f"e{n}"), f"127.0.0.1:{n}", 1_024)
    for n in range(3)
)


class Orders:
    """Engines that note what they are told."""

    def __init__(self, *, refuses=()):
        self.refuses = refuses
        self.holds_s = []
        self.held = {}

    async def reserve(self, address, ticket, tokens, hold_s):
        if address in self.refuses:
            raise dialect.ReservationError("full")
        self.holds_s.append(hold_s)
        self.held[ticket] = tokens

    async def release(self, address, ticket):
        self.held.pop(ticket, None)


@pytest.mark.parametrize(
    ("free_s", "hold_max_s"), [(4.0, 20.0), (1.0, 20.0), (8.0, 2.0)]
)
def test_an_instance_that_dies_leaves_no_memory_held_past_the_bounds(
    free_s, hold_max_s
):
    orders = Orders()
    bounds = examples.make_bounds(free_s=free_s, hold_max_s=hold_max_s)
    holder = reservations.Reservations(orders, lambda: bounds)

    async def hold():
        async with holder.hold(HELPERS):
            pass
        await holder.drain()

    asyncio.run(hold())
    assert all(hold_s < free_s for hold_s in orders.holds_s)
    assert all(hold_s <= hold_max_s for hold_s in orders.holds_s)


def test_memory_is_held_at_all_engines_or_at_none():
    orders = Orders(refuses={"127.0.0.1:1"})
    holder = reservations.Reservations(orders, lambda: examples.BOUNDS)

    async def hold():
        with pytest.raises(dialect.ReservationError):
            async with holder.hold(HELPERS):
                pytest.fail("held without all of the memory")
        await holder.drain()

    asyncio.run(hold())
    assert not orders.held


def test_memory_is_renewed_while_it_is_used_and_returned_after():
    orders = Orders()
    bounds = examples.make_bounds(free_s=0.08)
    holder = reservations.Reservations(orders, lambda: bounds)

    async def hold():
        async with holder.hold(HELPERS):
            await asyncio.sleep(0.1)
            assert len(orders.held) == len(HELPERS)
        await holder.drain()

    asyncio.run(hold())
    assert len(orders.holds_s) >= 2 * len(HELPERS)
    assert not orders.held
