"""Tests of the journal when replies are lost or writes are delayed."""

import asyncio

import pytest
import virtual_loop
from kv_fake import KvFake

from poplarwick_core import ids
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import segments
from poplarwick_platform import kv


class ScriptedClient:
    """Client whose commits follow a script and succeed after its end."""

    def __init__(self, service, *script):
        self.service = service
        self.script = list(script)
        self.delayed_commits = []

    async def read(self, key, purpose, *, is_prefix=False):
        entries = self.service.find(key, is_prefix)
        return kv.Snapshot(entries, self.service.revision)

    async def commit(self, conditions, operations, purpose):
        match self.script.pop(0) if self.script else "ok":
            case "refused":
                raise kv.UnavailableError("refused")
            case "reply lost":
                self.service.apply(conditions, operations)
                raise kv.UnknownResultError("reply lost")
            case "request lost":
                raise kv.UnknownResultError("request lost")
            case "delayed":
                self.delayed_commits.append((conditions, operations))
                raise kv.UnknownResultError("delayed")
        return self.service.apply(conditions, operations)

    def deliver(self):
        for conditions, operations in self.delayed_commits:
            self.service.apply(conditions, operations)
        self.delayed_commits.clear()


def make_record(number, state=records.State.CLAIMED, nonce=b"n", time_ms=1):
    return records.Record(
        number.to_bytes(16), time_ms, b"c", nonce, state, 10_000
    )


def make_change(*numbers):
    return journals.Change(tuple(make_record(n) for n in numbers))


def make_journal(client, epoch=1):
    return journals.Journal(client, "test", 0, ids.Epoch(epoch))


async def open_journal(*script, service=None, epoch=1):
    client = ScriptedClient(service or KvFake())
    journal = make_journal(client, epoch)
    await journal.open()
    client.script = list(script)
    return client, journal


async def read_records(service, epoch=99):
    content = await make_journal(ScriptedClient(service), epoch).open()
    return content.updates


def test_lost_reply_is_resolved_by_nonce():
    async def main():
        client, journal = await open_journal("reply lost")
        assert await journal.append(make_change(1)) == journals.Stored()
        assert await read_records(client.service) == (make_record(1),)

    asyncio.run(main())


def test_delayed_write_is_detected_by_next_append():
    async def main():
        client, journal = await open_journal("delayed", *["request lost"] * 2)
        first = make_change(1)
        with pytest.raises(journals.InDoubtError):
            await journal.append(first)
        assert journal.is_in_doubt
        client.deliver()
        result = await journal.append(make_change(2))
        assert result == journals.EarlierStored(first)
        assert not journal.is_in_doubt
        assert await journal.append(make_change(2)) == journals.Stored()
        expected = (make_record(1), make_record(2))
        assert await read_records(client.service) == expected

    asyncio.run(main())


def test_in_doubt_write_is_never_applied_after_later_write():
    async def main():
        client, journal = await open_journal("delayed", *["request lost"] * 2)
        with pytest.raises(journals.InDoubtError):
            await journal.append(make_change(1))
        assert await journal.append(make_change(2)) == journals.Stored()
        client.deliver()
        assert await read_records(client.service) == (make_record(2),)

    asyncio.run(main())


def test_refused_retry_after_lost_reply_stays_in_doubt():
    async def main():
        _, journal = await open_journal("delayed", "refused", "refused")
        with pytest.raises(journals.InDoubtError):
            await journal.append(make_change(1))

    asyncio.run(main())


def test_refused_write_is_not_in_doubt():
    async def main():
        client, journal = await open_journal("refused")
        with pytest.raises(journals.NotStoredError):
            await journal.append(make_change(1))
        assert not journal.is_in_doubt
        assert await read_records(client.service) == ()

    asyncio.run(main())


def test_in_doubt_writes_are_bounded_and_resolved():
    async def main():
        client, journal = await open_journal()
        client.script = ["delayed"] * (journals.MAX_ATTEMPTS * 200)
        for number in range(100):
            with pytest.raises(journals.JournalError):
                await journal.append(make_change(number))
        assert len(journal._in_doubt) <= journals.MAX_IN_DOUBT
        client.script = []
        client.deliver()
        result = await journal.append(make_change(500))
        assert result == journals.EarlierStored(make_change(0))

    asyncio.run(main())


def test_earlier_owner_is_fenced_off():
    async def main():
        client, earlier = await open_journal("delayed", *["request lost"] * 2)
        with pytest.raises(journals.InDoubtError):
            await earlier.append(make_change(1))
        _, later = await open_journal(service=client.service, epoch=2)
        client.deliver()
        with pytest.raises(journals.SupersededError):
            await earlier.append(make_change(2))
        assert await later.append(make_change(3)) == journals.Stored()
        assert await read_records(client.service) == (make_record(3),)

    asyncio.run(main())


def test_owner_with_older_epoch_cannot_open():
    async def main():
        service = KvFake()
        await open_journal(service=service, epoch=2)
        with pytest.raises(journals.SupersededError):
            await open_journal(service=service, epoch=1)

    asyncio.run(main())


def test_unresponsive_service_times_out():
    class UnresponsiveClient(ScriptedClient):
        async def commit(self, conditions, operations, purpose):
            await asyncio.Event().wait()

    async def main():
        client, _ = await open_journal()
        journal = make_journal(UnresponsiveClient(client.service), epoch=2)
        with pytest.raises(journals.InDoubtError):
            await journal.open()

    virtual_loop.run(main())


def test_compaction_bounds_segments_and_keeps_all_records():
    async def main():
        client, journal = await open_journal()
        expected = {}
        for number in range(3_000):
            record = make_record(number, nonce=b"n" * 16, time_ms=number)
            await journal.append(journals.Change((record,)))
            ended = records.make_lost(record)
            if number % 3 == 0:
                ended = records.make_released(record)
            await journal.append(journals.Change((ended,)))
            if number % 3:
                expected[record.key] = ended
        service = client.service
        assert len(service.entries) < 40
        assert service.largest_value < kv.MAX_VALUE_BYTES
        assert service.most_operations <= 128
        index = {}
        for record in await read_records(service):
            records.apply_record(index, record)
        assert index == expected

    asyncio.run(main())


def test_expired_segments_are_deleted_and_horizon_is_durable():
    async def main():
        client, journal = await open_journal()
        for number in range(2_000):
            record = make_record(number, nonce=b"n" * 16, time_ms=number)
            horizon = max(0, number - 100)
            await journal.append(journals.Change((record,), (), horizon))
        newer = make_journal(ScriptedClient(client.service), 2)
        content = await newer.open()
        assert newer.horizon_ms == 1_899
        kept = {record.key_time_ms for record in content.updates}
        assert kept.issuperset(range(1_899, 2_000))
        assert len(content.updates) < 1_000

    asyncio.run(main())


def test_oldest_answers_are_deleted_above_size_limit():
    async def main():
        client, journal = await open_journal()
        body = b"x" * 16_000
        for number in range(400):
            stored = records.StoredAnswer(
                number.to_bytes(16), 1, b"n", records.Answer(200, (), body)
            )
            await journal.append(journals.Change((), (stored,)))
        content = await make_journal(ScriptedClient(client.service), 2).open()
        assert content.answers[-1].key == (399).to_bytes(16)
        size = sum(len(a.answer.body) for a in content.answers)
        assert size <= segments.MAX_ANSWERS_BYTES + segments.MAX_MERGED_BYTES

    asyncio.run(main())


def test_release_removes_only_its_attempt():
    index = {}
    records.apply_record(index, make_record(1, nonce=b"a"))
    released = records.make_released(make_record(1, nonce=b"a"))
    records.apply_record(index, released)
    records.apply_record(index, make_record(1, nonce=b"b"))
    records.apply_record(index, released)
    assert index == {make_record(1).key: make_record(1, nonce=b"b")}


def test_merge_keeps_release_of_claim_in_older_segment():
    released = records.make_released(make_record(1))
    kept = records.merge_records([released], 0, is_oldest=False)
    assert kept == [released]
    assert records.merge_records([released], 0, is_oldest=True) == []


def test_keys_are_distributed_over_all_shards():
    shards = {
        keys.find_shard(keys.digest_content(bytes([n]))) for n in range(255)
    }
    assert shards == set(range(keys.SHARD_COUNT))
