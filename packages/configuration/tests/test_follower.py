"""Tests for following the newest version."""

import asyncio

import fake_kv
import pytest
import texts

from poplarwick_configuration import follower
from poplarwick_configuration import state
from poplarwick_configuration import store

WAIT_S = 20


@pytest.fixture(autouse=True)
def without_delays(monkeypatch):
    monkeypatch.setattr(follower, "MIN_RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(follower, "MAX_RETRY_DELAY_S", 0.0)


async def push(service, weight, change_id):
    documents = store.DocumentStore(service, "trial")
    pushed = await documents.push(
        texts.make_text(weight=weight), author="anna", change_id=change_id
    )
    return pushed.unwrap().version


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, WAIT_S))


def test_newer_versions_come_in_force_by_one_watch():
    async def check():
        service = fake_kv.FakeKv()
        await push(service, 1, "c1")
        async with follower.Follower(service, "trial") as documents:
            view = await documents.wait_for_view()
            assert view.document.organisations[0].weight == 1
            await push(service, 2, "c2")
            await documents.wait_for_version(2)
            assert documents.view.document.organisations[0].weight == 2
        assert service.watches == 1

    run(check())


def test_start_during_an_outage_recovers_by_itself():
    async def check():
        service = fake_kv.FakeKv()
        await push(service, 1, "c1")
        await service.set_down(True)
        async with follower.Follower(service, "trial") as documents:
            for _ in range(20):
                await asyncio.sleep(0)
            assert documents.view is None
            await service.set_down(False)
            await documents.wait_for_view()

    run(check())


def test_compaction_and_outage_lose_no_version():
    async def check():
        service = fake_kv.FakeKv()
        await push(service, 1, "c1")
        async with follower.Follower(service, "trial") as documents:
            await documents.wait_for_view()
            await service.set_down(True)
            await asyncio.sleep(0)
            await service.set_down(False)
            await service.compact()
            await push(service, 2, "c2")
            await documents.wait_for_version(2)

    run(check())


def test_older_version_is_not_applied():
    async def check():
        service = fake_kv.FakeKv()
        documents = store.DocumentStore(service, "trial")
        await push(service, 1, "c1")
        old = await documents.load_text()
        await push(service, 2, "c2")
        new = await documents.load_text()
        follows = state.VersionState("trial")
        assert follows.apply(new)
        assert not follows.apply(old)
        assert not follows.apply(new)
        assert follows.version == 2

    run(check())


def test_restored_service_is_told_and_takes_no_version_back(monkeypatch):
    events = []

    async def check():
        service = fake_kv.FakeKv()
        await push(service, 1, "c1")
        backup = dict(service.entries)
        async with follower.Follower(service, "trial") as documents:
            await push(service, 2, "c2")
            await documents.wait_for_version(2)
            assert await documents.probe()
            assert "configuration_head_behind" not in events
            service.entries = backup
            assert await documents.probe()
            assert "configuration_head_behind" in events
            assert documents.version == 2

    monkeypatch.setattr(
        follower.logs,
        "log_event",
        lambda event, *rest, **fields: events.append(event),
    )
    run(check())
