"""Tests for the compaction of old versions."""

import asyncio
import dataclasses

import fake_kv
import pytest
import texts

from poplarwick_configuration import _committer
from poplarwick_configuration import changes
from poplarwick_configuration import compaction
from poplarwick_configuration import failures
from poplarwick_configuration import store

VERSIONS = 25
RETAINED = 10
BLOCK_SIZE = 5


@pytest.fixture(autouse=True)
def small(monkeypatch):
    monkeypatch.setattr(compaction, "RETAINED_VERSIONS", RETAINED)
    monkeypatch.setattr(compaction, "BLOCK_VERSIONS", BLOCK_SIZE)
    monkeypatch.setattr(compaction, "RETAINED_REFUSALS", 3)


def make_text(number):
    """Returns a text of several sections that depends on the number."""
    organisations = [
        {"id": f"o{i}", "keys": [], "weight": 2 if i == 30 * number else 1}
        for i in range(1, 800)
    ]
    return texts.make_text(organisations=organisations)


@dataclasses.dataclass
class Fixture:
    kv: fake_kv.FakeKv
    documents: store.DocumentStore
    compactor: compaction.Compactor

    async def push(self, number, change_id=None):
        return await self.documents.push(
            make_text(number),
            author="anna",
            change_id=change_id or f"c{number}",
        )

    async def compact_all(self):
        while await self.compactor.compact():
            pass

    def count(self, part):
        return sum(f"/{part}/" in key for key in self.kv.entries)


async def make_fixture():
    kv = fake_kv.FakeKv()
    fixture = Fixture(
        kv,
        store.DocumentStore(kv, "trial"),
        compaction.Compactor(kv, "trial"),
    )
    for number in range(1, VERSIONS + 1):
        assert (await fixture.push(number)).is_ok()
        await fixture.documents.confirm(number, "i1")
    return fixture


def test_compaction_retains_newest_versions_and_audit_trail():
    async def check():
        fixture = await make_fixture()
        before = fixture.count("sections")
        await fixture.compact_all()
        history = await fixture.documents.read_history()
        archive = await fixture.compactor.read_archive(1_000, 0.0)
        assert len(history) < RETAINED + BLOCK_SIZE
        assert [r.version for r in (*archive, *history)] == list(
            range(1, VERSIONS + 1)
        )
        assert [r.change_id for r in archive][:2] == ["c1", "c2"]
        assert fixture.count("sections") < before
        assert fixture.count("confirmed") == len(history)
        used = {d for r in history for d in r.sections}
        assert fixture.count("sections") == len(used)
        for one in history:
            stored = await fixture.documents.load_text(one.version)
            assert stored.text == make_text(one.version)
        with pytest.raises(failures.MissingError):
            await fixture.documents.load_text(1)

    asyncio.run(check())


def test_change_id_is_stored_until_its_retention_ends(monkeypatch):
    async def check():
        fixture = await make_fixture()
        await fixture.compact_all()
        again = await fixture.push(VERSIONS, change_id="c1")
        assert again.unwrap() == changes.Accepted(1, True)
        monkeypatch.setattr(compaction, "CHANGE_ID_RETENTION_S", -1.0)
        await fixture.compact_all()
        history = await fixture.documents.read_history()
        assert fixture.count("changes") == len(history)
        monkeypatch.setattr(compaction, "AUDIT_RETENTION_S", -1.0)
        await fixture.compact_all()
        assert fixture.count("archive") == 0
        assert await fixture.compactor.read_archive(1_000, 0.0) == ()

    asyncio.run(check())


class CompactingKv:
    """Runs a compaction step between write-ahead and commit of a push."""

    def __init__(self, kv, compactor):
        self._kv = kv
        self._compactor = compactor
        self.compactions = 0

    async def read(self, *arguments, **options):
        return await self._kv.read(*arguments, **options)

    async def commit(self, conditions, operations, purpose):
        committed = await self._kv.commit(conditions, operations, purpose)
        if not conditions and not self.compactions:
            self.compactions += await self._compactor.compact()
        return committed


def test_push_during_compaction_keeps_all_its_sections(monkeypatch):
    monkeypatch.setattr(_committer, "MAX_TRANSACTION_OPERATIONS", 4)
    monkeypatch.setattr(_committer, "RETRY_DELAY_S", 0.0)

    async def check():
        fixture = await make_fixture()
        compacting_kv = CompactingKv(fixture.kv, fixture.compactor)
        documents = store.DocumentStore(compacting_kv, "trial")
        # Text of an old version with a section that compaction removes next.
        made = await documents.push(
            make_text(2), author="anna", change_id="again"
        )
        assert made.is_ok()
        assert compacting_kv.compactions
        assert (await documents.load_text()).text == make_text(2)
        await fixture.compact_all()
        assert (await documents.load_text()).text == make_text(2)

    asyncio.run(check())
