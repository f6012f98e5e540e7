"""Tests for removing old versions."""

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
KEPT = 10
BLOCK = 5


@pytest.fixture(autouse=True)
def small(monkeypatch):
    monkeypatch.setattr(compaction, "KEPT_VERSIONS", KEPT)
    monkeypatch.setattr(compaction, "BLOCK_VERSIONS", BLOCK)
    monkeypatch.setattr(compaction, "KEPT_REFUSALS", 3)


def make_text(number):
    """Returns a text of several sections that differs with each number."""
    organisations = [
        {"id": f"o{i}", "keys": [], "weight": 2 if i == 30 * number else 1}
        for i in range(1, 800)
    ]
    return texts.make_text(organisations=organisations)


@dataclasses.dataclass
class Setting:
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


async def prepare():
    kv = fake_kv.FakeKv()
    setting = Setting(
        kv,
        store.DocumentStore(kv, "trial"),
        compaction.Compactor(kv, "trial"),
    )
    for number in range(1, VERSIONS + 1):
        assert (await setting.push(number)).is_ok()
        await setting.documents.confirm(number, "i1")
    return setting


def test_newest_versions_stay_whole_and_the_audit_trail_complete():
    async def check():
        setting = await prepare()
        before = setting.count("sections")
        await setting.compact_all()
        history = await setting.documents.read_history()
        archive = await setting.compactor.read_archive(1_000, 0.0)
        assert len(history) < KEPT + BLOCK
        assert [r.version for r in (*archive, *history)] == list(
            range(1, VERSIONS + 1)
        )
        assert [r.change_id for r in archive][:2] == ["c1", "c2"]
        assert setting.count("sections") < before
        assert setting.count("confirmed") == len(history)
        used = {d for r in history for d in r.sections}
        assert setting.count("sections") == len(used)
        for one in history:
            stored = await setting.documents.load_text(one.version)
            assert stored.text == make_text(one.version)
        with pytest.raises(failures.MissingError):
            await setting.documents.load_text(1)

    asyncio.run(check())


def test_change_id_is_known_until_its_retention_ends(monkeypatch):
    async def check():
        setting = await prepare()
        await setting.compact_all()
        again = await setting.push(VERSIONS, change_id="c1")
        assert again.unwrap() == changes.Accepted(1, True)
        monkeypatch.setattr(compaction, "CHANGE_ID_RETENTION_S", -1.0)
        await setting.compact_all()
        history = await setting.documents.read_history()
        assert setting.count("changes") == len(history)
        monkeypatch.setattr(compaction, "AUDIT_RETENTION_S", -1.0)
        await setting.compact_all()
        assert setting.count("archive") == 0
        assert await setting.compactor.read_archive(1_000, 0.0) == ()

    asyncio.run(check())


class CompactingKv:
    """Compacts between the writes of a push and its last transaction."""

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


def test_push_beside_compaction_keeps_all_its_sections(monkeypatch):
    monkeypatch.setattr(_committer, "MAX_TRANSACTION_OPERATIONS", 4)
    monkeypatch.setattr(_committer, "RETRY_DELAY_S", 0.0)

    async def check():
        setting = await prepare()
        between = CompactingKv(setting.kv, setting.compactor)
        documents = store.DocumentStore(between, "trial")
        # The text of an old version, one of whose sections is about to go.
        made = await documents.push(
            make_text(2), author="anna", change_id="again"
        )
        assert made.is_ok()
        assert between.compactions
        assert (await documents.load_text()).text == make_text(2)
        await setting.compact_all()
        assert (await documents.load_text()).text == make_text(2)

    asyncio.run(check())
