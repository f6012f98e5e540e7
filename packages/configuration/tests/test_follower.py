"""Tests for following the newest version of a document."""

import asyncio

import fake_kv
import pytest
import texts

from poplarwick_configuration import follower
from poplarwick_configuration import state
from poplarwick_configuration import store

WAIT_S = 20


@pytest.fixture(autouse=True)
def remove_delays(monkeypatch):
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


def test_single_watch_delivers_newer_versions():
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


def test_follower_started_in_an_outage_recovers():
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


def test_follower_catches_up_after_store_compaction_and_outage():
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


def test_older_or_equal_version_is_not_applied():
    async def check():
        service = fake_kv.FakeKv()
        documents = store.DocumentStore(service, "trial")
        await push(service, 1, "c1")
        old = await documents.load_text()
        await push(service, 2, "c2")
        new = await documents.load_text()
        versions = state.VersionState("trial")
        assert versions.apply(new)
        assert not versions.apply(old)
        assert not versions.apply(new)
        assert versions.version == 2

    run(check())


def test_store_restored_from_backup_is_logged_and_version_stays(monkeypatch):
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
