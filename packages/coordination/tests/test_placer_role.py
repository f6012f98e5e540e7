"""The placer of an instance that holds the tenure."""

from __future__ import annotations

import asyncio
import contextlib
import types

import pytest
import role_fakes

from poplarwick_catalogue import catalogue
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import placer_role
from poplarwick_core import ids
from poplarwick_platform import kv
from poplarwick_platform import mirror


class FailingClient(placement_client.PlacementClient):
    """Fails at the first placer that it is attached to."""

    has_failed = False

    def attach(self, connection):
        if not self.has_failed:
            self.has_failed = True
            raise RuntimeError("unexpected")
        return super().attach(connection)


# Guards against a tenure that is renewed without a placer and free for no one.
def test_placer_begins_again_after_an_unexpected_error():
    async def run():
        store_mirror = mirror.Mirror()
        found = catalogue.Catalogue(store_mirror, lambda key, value: None)
        client = role_fakes.make_client(found, store_mirror, FailingClient)
        role = role_fakes.make_role(client, found, store_mirror)
        role.set_epoch(ids.Epoch(1))
        with pytest.raises(RuntimeError):
            await role.run()
        assert client.connection is None
        # As the composition root does with a task that has failed.
        restarted = asyncio.create_task(role.run())
        await asyncio.sleep(5 * placer_role.MAJORITY_POLL_PERIOD_S)
        assert client.connection is not None
        restarted.cancel()
        await asyncio.wait((restarted,))

    asyncio.run(run())


# Guards against the removal of a new entry, as the calls before it were slow.
def test_instance_that_came_back_during_a_removal_keeps_its_entry():
    ended, removed = ["b", "c", "d"], []

    async def remove(instance):
        removed.append(instance)
        ended[:] = ["d"]

    async def run():
        store_mirror = mirror.Mirror()
        found = catalogue.Catalogue(store_mirror, lambda key, value: None)
        control = types.SimpleNamespace(remove_member=remove)
        role = role_fakes.make_role(None, found, store_mirror, control)
        local_placer = types.SimpleNamespace(
            find_ended=lambda longer_than_s: list(ended)
        )
        await role._remove_ended_members(local_placer)
        assert removed == ["b", "d"]

    asyncio.run(run())


class SlowControl:
    """Removes members as its store allows; records calls."""

    def __init__(self, answer):
        self.calls = 0
        self._answer = answer

    async def remove_member(self, instance):
        self.calls += 1
        await self._answer()


async def wait_forever():
    await asyncio.Event().wait()


async def fail():
    raise kv.UnavailableError("away")


@contextlib.asynccontextmanager
async def removing(monkeypatch, answer):
    """Runs a role whose placer has a member to remove."""
    monkeypatch.setattr(
        placer.Placer, "find_ended", lambda self, longer_than_s: ["b"]
    )
    monkeypatch.setattr(placer_role, "LOCAL_HEARTBEAT_PERIOD_S", 0.01)
    store_mirror = mirror.Mirror()
    found = catalogue.Catalogue(store_mirror, lambda key, value: None)
    client = role_fakes.make_client(found, store_mirror)
    control = SlowControl(answer)
    role = role_fakes.make_role(client, found, store_mirror, control)
    role.set_epoch(ids.Epoch(1))
    running = asyncio.create_task(role.run())
    try:
        async with asyncio.timeout(5.0):
            while not control.calls or client.connection is None:
                await asyncio.sleep(0.001)
        yield role, client, control
    finally:
        running.cancel()
        await asyncio.wait((running,))


# Guards against a slow store that keeps a placer beyond its tenure, or delays
# the heartbeats of its own instance.
def test_supervision_does_not_wait_for_removals(monkeypatch):
    async def run():
        async with removing(monkeypatch, wait_forever) as (role, client, _):
            heard_at_s = client.connection.last_received_at_s
            async with asyncio.timeout(5.0):
                while client.connection.last_received_at_s == heard_at_s:
                    await asyncio.sleep(0.001)
                role.set_epoch(None)
                while client.connection is not None:
                    await asyncio.sleep(0.001)

    asyncio.run(run())


# Guards against calls without a pause while the store fails.
def test_removal_that_failed_is_not_repeated_at_once(monkeypatch):
    async def run():
        async with removing(monkeypatch, fail) as (_, client, control):
            await asyncio.sleep(0.3)
            assert client.connection is not None
            assert control.calls == 1

    asyncio.run(run())
