"""Tests of fleet-wide limits over eight instances."""

from __future__ import annotations

import asyncio
import contextlib

import dispatch_fakes as fakes

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_dispatch import _limit_manager
from poplarwick_dispatch import limits

LIMIT = 100
RATE = 50
ORGANISATION = ids.OrganisationId("o1")
SETTLE_S = _limit_manager.LEASE_TTL_S + 0.1


class Fleet:
    """Eight limiters that call each other's managers with a delay."""

    def __init__(self, **changes):
        organisation_limits = document.Limits(max_concurrent=LIMIT, **changes)
        organisation = document.Organisation(
            "o1", keys=(), limits=organisation_limits
        )
        other = document.Organisation("o2", keys=(), limits=organisation_limits)
        view = document.View(
            1,
            document.Document(
                environment="t",
                organisations=(organisation, other),
                domains=(),
                endpoints=(),
            ),
        )
        self.members = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        self.managers = {
            m: limits.LimitManager(m, self.list_members, view, fakes.now_s)
            for m in self.members
        }
        self.limiters = {
            m: limits.Limiter(
                m,
                call=self._call,
                manager=self.managers[m],
                list_members=self.list_members,
                view=view,
                now_s=fakes.now_s,
            )
            for m in self.members
        }

    def list_members(self):
        return self.members

    async def _call(self, instance, request):
        await asyncio.sleep(0.002)
        if instance not in self.members:
            return None
        reply = self.managers[instance].lease(request)
        await asyncio.sleep(0.002)
        return reply

    async def admit(self, member, count, organisation=ORGANISATION):
        found = await asyncio.gather(
            *(
                self.limiters[f"i{member}"].admit(organisation, 10)
                for _ in range(count)
            )
        )
        return [r.ok_value for r in found if r.is_ok()]

    def find_manager(self):
        return self.limiters["i0"].find_manager(ORGANISATION)


@contextlib.asynccontextmanager
async def _open(**changes):
    fleet = Fleet(**changes)
    async with contextlib.AsyncExitStack() as stack:
        for limiter in fleet.limiters.values():
            await stack.enter_async_context(limiter)
        # The first lease requests create the accounts, which then settle.
        await fleet.admit(0, 0)
        for organisation in ("o1", "o2"):
            for permit in await fleet.admit(7, 1, organisation):
                permit.__exit__(None, None, None)
        await asyncio.sleep(SETTLE_S)
        yield fleet


def test_uneven_demand_admits_exactly_the_limit():
    async def main():
        async with _open() as fleet:
            held = await fleet.admit(0, 70)
            for member, count in ((1, 20), (2, 5), (3, 3), (4, 2)):
                held += await fleet.admit(member, count)
            assert len(held) == LIMIT
            for member in range(8):
                await asyncio.sleep(0.1)
                assert await fleet.admit(member, 5) == []
            held[0].__exit__(None, None, None)
            await asyncio.sleep(0.3)
            assert len(await fleet.admit(6, 3)) == 1

    fakes.run(main())


def test_simultaneous_demand_is_exact():
    async def main():
        async with _open() as fleet:
            groups = await asyncio.gather(
                *(fleet.admit(m, 40) for m in range(8))
            )
            held = sum(len(g) for g in groups)
            for _ in range(20):
                await asyncio.sleep(0.1)
                for member in range(8):
                    held += len(await fleet.admit(member, 10))
            assert held == LIMIT

    fakes.run(main())


def test_retrying_organisation_does_not_reduce_another_ones_limit():
    async def main():
        async with _open() as fleet:
            for _ in range(30):
                await asyncio.gather(*(fleet.admit(m, 20) for m in range(8)))
                await asyncio.sleep(0.02)
            assert len(await fleet.admit(3, 60, "o2")) == 60

    fakes.run(main())


def test_rate_limit_holds_over_all_instances():
    async def main():
        async with _open(requests_per_s=RATE) as fleet:
            admitted = 0
            start_s = fakes.now_s()

            async def demand(member):
                nonlocal admitted
                while fakes.now_s() - start_s < 10:
                    for permit in await fleet.admit(member, 1):
                        admitted += 1
                        permit.__exit__(None, None, None)
                    await asyncio.sleep(0.025)

            await asyncio.gather(*(demand(m) for m in range(8)))
            seconds = fakes.now_s() - start_s
            burst = RATE * _limit_manager.BURST_S
            assert 0.9 * RATE * seconds <= admitted
            assert admitted <= 1.05 * RATE * seconds + burst

    fakes.run(main())


def test_request_larger_than_the_token_rate_is_admitted():
    async def main():
        async with _open(tokens_per_s=100) as fleet:
            limiter = fleet.limiters["i0"]
            first = await limiter.admit(ORGANISATION, 5_000)
            assert first.is_ok()
            second = await limiter.admit(ORGANISATION, 5_000)
            assert second.err_value.limit == "tokens_per_s"

    fakes.run(main())


def test_excess_after_death_of_the_manager_is_bounded():
    async def main():
        async with _open() as fleet:
            dead = fleet.find_manager()
            alive = [m for m in fleet.members if m != dead]
            held = 0
            for member in alive[:2]:
                held += len(await fleet.admit(int(member[1]), 30))
            assert held == 60
            fleet.members = tuple(alive)
            peak = held
            for _ in range(60):
                await asyncio.sleep(0.1)
                for member in alive:
                    peak += len(await fleet.admit(int(member[1]), 30))
            share = 1 + (len(alive) - 1) / _limit_manager.SETTLE_DIVISOR
            assert LIMIT <= peak <= LIMIT * share

    fakes.run(main())


def test_concurrent_requests_of_different_sizes_are_all_admitted():
    async def main():
        async with _open(tokens_per_s=1_000_000) as fleet:
            limiter = fleet.limiters["i0"]
            sizes = (10, 20_000, 10, 60_000, 100, 30_000)
            found = await asyncio.gather(
                *(limiter.admit(ORGANISATION, size) for size in sizes)
            )
            assert [r.is_ok() for r in found] == [True] * len(sizes)

    fakes.run(main())


def test_unresponsive_manager_leaves_each_instance_an_equal_share():
    async def never_answer(instance, request):
        return None

    async def main():
        async with _open() as fleet:
            dead = fleet.find_manager()
            alive = [m for m in fleet.members if m != dead]
            held = []
            for member in alive:
                fleet.limiters[member]._call = never_answer
                held += await fleet.admit(int(member[1]), 50)
            assert len(held) == len(alive) * (LIMIT // len(fleet.members))

    fakes.run(main())
