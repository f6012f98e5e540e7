"""Memory reserved at engines for one request."""

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


class FakeEngineClient:
    """Records reservations in place of engines."""

    def __init__(self, *, refuses=()):
        self.refuses = refuses
        self.holds_s = []
        self.held = {}

    async def reserve(self, address, reservation_id, tokens, hold_s):
        if address in self.refuses:
            raise dialect.ReservationError("full")
        self.holds_s.append(hold_s)
        self.held[reservation_id] = tokens

    async def release(self, address, reservation_id):
        self.held.pop(reservation_id, None)


@pytest.mark.parametrize(
    ("free_s", "hold_max_s"), [(4.0, 20.0), (1.0, 20.0), (8.0, 2.0)]
)
def test_reservations_expire_within_bounds_after_crash(free_s, hold_max_s):
    engines = FakeEngineClient()
    bounds = examples.make_bounds(free_s=free_s, hold_max_s=hold_max_s)
    memory = reservations.Reservations(engines, lambda: bounds)

    async def hold():
        async with memory.hold(HELPERS):
            pass
        await memory.drain()

    asyncio.run(hold())
    assert all(hold_s < free_s for hold_s in engines.holds_s)
    assert all(hold_s <= hold_max_s for hold_s in engines.holds_s)


def test_memory_is_reserved_at_all_engines_or_none():
    engines = FakeEngineClient(refuses={"127.0.0.1:1"})
    memory = reservations.Reservations(engines, lambda: examples.BOUNDS)

    async def hold():
        with pytest.raises(dialect.ReservationError):
            async with memory.hold(HELPERS):
                pytest.fail("memory was held although an engine refused")
        await memory.drain()

    asyncio.run(hold())
    assert not engines.held


def test_reservations_are_renewed_while_used_and_then_released():
    engines = FakeEngineClient()
    bounds = examples.make_bounds(free_s=0.08)
    memory = reservations.Reservations(engines, lambda: bounds)

    async def hold():
        async with memory.hold(HELPERS):
            await asyncio.sleep(0.1)
            assert len(engines.held) == len(HELPERS)
        await memory.drain()

    asyncio.run(hold())
    assert len(engines.holds_s) >= 2 * len(HELPERS)
    assert not engines.held
