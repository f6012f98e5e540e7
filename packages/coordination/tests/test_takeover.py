"""Takeover of the tenure while neither the store nor a placer answers."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_catalogue import catalogue
from poplarwick_coordination import tenure
from poplarwick_platform import kv
from poplarwick_platform import mirror

KEY = "poplarwick/placer"
MEMBERS = {
    name: catalogue.MemberItem(name, f"{name}:1") for name in ("a", "b", "c")
}
POLLS = 5


class LostStore:
    """A store that does not answer."""

    async def grant_lease(self, ttl_s, purpose):
        raise kv.UnavailableError("no answer")


def run_tenure(instance, members, monkeypatch):
    """Returns the epoch with which an instance takes over, or None."""
    monkeypatch.setattr(tenure, "POLL_PERIOD_S", 0.01)

    async def run():
        store_mirror = mirror.Mirror()
        entry = kv.Entry(KEY, b"b 1", 1, 1)
        store_mirror.apply_snapshot(kv.Snapshot((entry,), 1, 0))
        candidate = tenure.Tenure(
            LostStore(),
            store_mirror,
            KEY,
            instance,
            lambda: members,
            1.0,
            lambda: tenure.TakeoverState(True, 60.0, 3_000),
        )
        task = asyncio.create_task(candidate.run())
        await asyncio.sleep(POLLS * tenure.POLL_PERIOD_S)
        task.cancel()
        return candidate.epoch

    return asyncio.run(run())


def test_members_take_over_with_epochs_of_their_own(monkeypatch):
    epochs = {run_tenure(name, MEMBERS, monkeypatch) for name in MEMBERS}
    assert len(epochs) == len(MEMBERS)
    assert None not in epochs
    assert min(epochs) > 3_000


@pytest.mark.parametrize("members", [{}, MEMBERS])
def test_instance_that_does_not_know_its_own_entry_does_not_take_over(
    members, monkeypatch
):
    """Several of them would place on their own, all with the same epoch."""
    assert run_tenure("new", members, monkeypatch) is None
