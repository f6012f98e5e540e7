"""Tests for storing document versions."""

import asyncio
import random

import fake_kv
import pytest
import texts

from poplarwick_configuration import _committer
from poplarwick_configuration import changes
from poplarwick_configuration import follower
from poplarwick_configuration import sections
from poplarwick_configuration import store
from poplarwick_platform import kv

WAIT_S = 20


def push(documents, text, change_id, **options):
    return documents.push(text, author="anna", change_id=change_id, **options)


def test_pushed_text_is_stored_unchanged():
    async def run():
        documents = store.DocumentStore(fake_kv.FakeKv(), "trial")
        text = texts.make_text()
        pushed = await push(documents, text, "c1")
        assert pushed.unwrap() == changes.Accepted(1)
        stored = await documents.load_text()
        assert stored.text == text
        assert (stored.record.author, stored.record.change_id) == (
            "anna",
            "c1",
        )
        view = await documents.load(1)
        assert view.version == 1

    asyncio.run(run())


def test_push_with_same_change_id_is_idempotent():
    async def run():
        documents = store.DocumentStore(fake_kv.FakeKv(), "trial")
        await push(documents, texts.make_text(), "c1")
        await push(documents, texts.make_text(weight=2), "c2")
        again = await push(documents, texts.make_text(), "c1")
        assert again.unwrap() == changes.Accepted(1, was_stored_before=True)
        assert (await documents.read_head()).record.version == 2

    asyncio.run(run())


def test_conflict_reports_the_conflicting_change():
    async def run():
        documents = store.DocumentStore(fake_kv.FakeKv(), "trial")
        await push(documents, texts.make_text(), "c1")
        await push(documents, texts.make_text(weight=2), "c2")
        late = await push(
            documents, texts.make_text(weight=3), "c3", expected_version=1
        )
        refusal = late.unwrap_err()
        assert isinstance(refusal, changes.Superseded)
        assert (refusal.head.version, refusal.head.change_id) == (2, "c2")

    asyncio.run(run())


def test_concurrent_pushes_without_expected_version_do_not_overwrite():
    async def run():
        documents = store.DocumentStore(fake_kv.FakeKv(), "trial")
        outcomes = await asyncio.gather(
            push(documents, texts.make_text(weight=1), "c1"),
            push(documents, texts.make_text(weight=2), "c2"),
        )
        assert sorted(o.is_ok() for o in outcomes) == [False, True]
        assert (await documents.read_head()).record.version == 1

    asyncio.run(run())


def test_document_of_another_environment_is_rejected():
    async def run():
        documents = store.DocumentStore(fake_kv.FakeKv(), "production")
        refusal = (await push(documents, texts.make_text(), "c1")).unwrap_err()
        assert refusal.problems[0].path == "$.environment"
        assert refusal.problems[0].line == 3

    asyncio.run(run())


def test_push_in_an_outage_returns_not_stored():
    async def run():
        service = fake_kv.FakeKv()
        service.is_down = True
        documents = store.DocumentStore(service, "trial")
        refusal = (await push(documents, texts.make_text(), "c1")).unwrap_err()
        assert isinstance(refusal, changes.NotStored)

    asyncio.run(run())


def make_large_text(changed=-1):
    organisations = [
        {"id": f"o{i}", "keys": [], "weight": 2 if i == changed else 1}
        for i in range(20_000)
    ]
    return texts.make_text(organisations=organisations)


def test_large_document_is_stored_within_value_size_limit():
    async def run():
        service = fake_kv.FakeKv()
        documents = store.DocumentStore(service, "trial")
        text = make_large_text()
        assert len(text) > 1_000_000
        assert (await push(documents, text, "c1")).is_ok()
        assert (await documents.load_text()).text == text

    asyncio.run(run())


@pytest.mark.parametrize("limit", [4, 5, 6, 7, 8])
def test_only_sections_are_written_ahead(limit, monkeypatch):
    monkeypatch.setattr(_committer, "MAX_TRANSACTION_OPERATIONS", limit)
    monkeypatch.setattr(_committer, "RETRY_DELAY_S", 0.0)

    class RefusingKv(fake_kv.FakeKv):
        async def commit(self, conditions, operations, purpose):
            if conditions:
                raise kv.UnavailableError("injected")
            return await super().commit(conditions, operations, purpose)

    async def run():
        service = RefusingKv()
        documents = store.DocumentStore(service, "trial")
        organisations = [{"id": f"o{i}", "keys": []} for i in range(2_000)]
        text = texts.make_text(organisations=organisations)
        refused = (await push(documents, text, "c1")).unwrap_err()
        assert isinstance(refused, changes.NotStored)
        assert service.entries
        assert all("/sections/" in key for key in service.entries)

    asyncio.run(run())


def test_small_edit_changes_few_sections():
    before = set(sections.split_text(make_large_text()))
    after = set(sections.split_text(make_large_text(changed=7_000)))
    assert len(before) > 100
    assert len(after - before) <= 2


async def push_concurrently(operator, service, documents, rng, log):
    for number in range(40):
        change_id = f"{operator}-{number}"
        weight = rng.randrange(1, 1_000)
        text = texts.make_text(weight=weight)
        while True:
            pushed = await documents.push(
                text, author=operator, change_id=change_id
            )
            if pushed.is_ok():
                log[change_id] = pushed.unwrap().version
                break
            if not isinstance(pushed.unwrap_err(), changes.Unresolved):
                log[change_id] = None
                break


@pytest.mark.parametrize("seed", range(20))
def test_lost_responses_neither_lose_nor_duplicate_concurrent_pushes(
    seed, monkeypatch
):
    monkeypatch.setattr(_committer, "RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(follower, "MIN_RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(follower, "MAX_RETRY_DELAY_S", 0.0)

    async def run():
        service = fake_kv.FakeKv(seed, fault_rate=0.3)
        documents = store.DocumentStore(service, "trial")
        rng = random.Random(seed)
        reported = {}
        seen = [[] for _ in range(3)]
        followers = [follower.Follower(service, "trial") for _ in seen]
        for one, versions in zip(followers, seen, strict=True):
            one.add_listener(lambda v, into=versions: into.append(v.version))
        async with followers[0], followers[1], followers[2]:
            await asyncio.gather(
                push_concurrently("anna", service, documents, rng, reported),
                push_concurrently("bert", service, documents, rng, reported),
            )
            await asyncio.gather(*service.late)
            service.fault_rate = 0.0
            head = (await documents.read_head()).record
            for one in followers:
                await one.wait_for_version(head.version)
        history = await documents.read_history()
        accepted = {c: v for c, v in reported.items() if v is not None}
        recorded = {r.change_id: r.version for r in history}
        assert recorded == accepted
        assert [r.version for r in history] == list(range(1, head.version + 1))
        assert len(reported) == 80
        assert accepted
        for versions in seen:
            assert versions == sorted(set(versions))

    asyncio.run(asyncio.wait_for(run(), WAIT_S))
