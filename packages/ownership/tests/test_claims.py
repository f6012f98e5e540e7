"""Tests for the instance lease and for claim transactions."""

from __future__ import annotations

import asyncio

import pytest
import simulated
import virtual_time

from poplarwick_core import ids
from poplarwick_ownership import _claims
from poplarwick_ownership import _lease
from poplarwick_ownership import _owner_view
from poplarwick_ownership import _records
from poplarwick_ownership import tenure
from poplarwick_platform import kv

TTL_S = simulated.TTL_S
RESOURCE = tenure.Resource(
    tenure.ResourceKind.ENDPOINT, "e-0", simulated.REGION
)


class Claimant:
    """Lease, view and claim writer of one instance."""

    def __init__(self, service, name: str) -> None:
        loop = asyncio.get_running_loop()
        self.client = simulated.Client(service)
        self.view = _owner_view.OwnerView(self.client, lambda: None)
        self.lease = _lease.InstanceLease(
            self.client, ids.InstanceId(name), TTL_S, loop.time, lambda: None
        )
        self.writer = _claims.ClaimWriter(
            self.client, ids.InstanceId(name), self.view
        )

    async def claim(self, stored) -> None:
        claim = _claims.Claim(RESOURCE, stored, follows_planned_end=False)
        await self.writer.claim([claim], self.lease.held)

    def find(self):
        return self.view.find_owner(_records.make_owner_key(RESOURCE))


async def start(service, name: str) -> Claimant:
    claimant = Claimant(service, name)
    await claimant.lease._acquire()
    return claimant


def test_lease_lifetime_counts_from_before_the_call(monkeypatch):
    async def scenario(loop):
        service = simulated.Service(0)
        claimant = await start(service, "i-0")
        service.delay_s = (1.0, 1.0)
        sent_s = loop.time()
        await claimant.lease._renew(claimant.lease.held)
        assert loop.time() == pytest.approx(sent_s + 2)
        ends_s = sent_s + TTL_S * (1 - _lease.CLOCK_RATE_MARGIN)
        assert claimant.lease.valid_until_s == pytest.approx(ends_s)
        assert ends_s < sent_s + 1 + TTL_S

    virtual_time.run(scenario, monkeypatch)


def test_claim_fails_if_the_holder_lease_is_alive_but_not_in_the_view(
    monkeypatch,
):
    async def scenario(loop):
        service = simulated.Service(0)
        holder = await start(service, "i-0")
        await holder.claim(None)
        other = await start(service, "i-1")
        # The view of `other` has the record but not the live lease.
        await other.claim(holder.find())
        assert other.find() == holder.find()
        assert other.view.is_lease_alive(holder.lease.held.id)
        await holder.lease.revoke()
        await other.claim(holder.find())
        assert other.find().record.instance == "i-1"
        assert other.find().revision > holder.find().revision

    virtual_time.run(scenario, monkeypatch)


def test_claim_fails_after_the_claimant_lease_has_expired(monkeypatch):
    async def scenario(loop):
        service = simulated.Service(0)
        claimant = await start(service, "i-0")
        await asyncio.sleep(2 * TTL_S)
        service.store.expire_leases()
        with pytest.raises(kv.LeaseLostError):
            await claimant.claim(None)
        assert claimant.find() is None

    virtual_time.run(scenario, monkeypatch)


def test_concurrent_claims_have_exactly_one_winner(monkeypatch):
    async def scenario(loop):
        service = simulated.Service(0)
        claimants = [await start(service, f"i-{n}") for n in range(5)]
        await asyncio.gather(*(claimant.claim(None) for claimant in claimants))
        winners = {claimant.find().record.instance for claimant in claimants}
        assert len(winners) == 1

    virtual_time.run(scenario, monkeypatch)


def test_claim_with_a_lost_response_is_read_back(monkeypatch):
    async def scenario(loop):
        service = simulated.Service(0)
        claimant = await start(service, "i-0")
        rates = iter((1.0, 0.0))
        monkeypatch.setattr(
            type(service),
            "lost_response_rate",
            property(lambda self: next(rates, 0.0), lambda self, v: None),
            raising=False,
        )
        await claimant.claim(None)
        assert claimant.find().record.instance == "i-0"

    virtual_time.run(scenario, monkeypatch)


def test_release_does_not_overwrite_a_later_tenure(monkeypatch):
    async def scenario(loop):
        service = simulated.Service(0)
        first = await start(service, "i-0")
        await first.claim(None)
        epoch = ids.Epoch(first.find().revision)
        await first.lease.revoke()
        second = await start(service, "i-1")
        await second.claim(first.find())
        await first.writer.release([(RESOURCE, epoch)])
        assert first.find().record.instance == "i-1"
        assert first.find().record.lease == second.lease.held.id

    virtual_time.run(scenario, monkeypatch)
