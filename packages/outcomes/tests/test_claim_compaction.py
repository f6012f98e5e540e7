"""Tests that compacted segments restore the same index as all records."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from kv_fake import KvFake
from kv_fake import KvFakeClient

from poplarwick_core import ids
from poplarwick_outcomes.claims import journal as journals
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import segments

STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from(records.State),
        st.booleans(),
    ),
    max_size=60,
)


class ShardModel:
    """Expected index of a shard: at most one attempt for each key."""

    def __init__(self):
        self.index = {}
        self.attempts = 0

    def step(self, number, state):
        """Applies a transition; returns the record to store, or None."""
        key = number.to_bytes(16)
        current = self.index.get(key)
        if state is records.State.CLAIMED:
            if current is not None:
                return None
            self.attempts += 1
            nonce = self.attempts.to_bytes(16)
            record = records.Record(key, 1_000, b"c", nonce, state, 1)
        elif current is None or current.state is not records.State.CLAIMED:
            return None
        else:
            record = records.Record(key, 1_000, b"c", current.nonce, state, 1)
        if state is records.State.RELEASED:
            del self.index[key]
        else:
            self.index[key] = record
        return record


async def open_journal(service, epoch):
    client = KvFakeClient(service)
    journal = journals.Journal(client, "test", 0, ids.Epoch(epoch))
    content = await journal.open()
    index = {}
    for record in content.updates:
        records.apply_record(index, record)
    return journal, index


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_takeover_at_any_step_restores_the_index(steps):
    async def main():
        service, model = KvFake(), ShardModel()
        journal, _ = await open_journal(service, 1)
        for epoch, (number, state, has_takeover) in enumerate(steps, 2):
            record = model.step(number, state)
            if record is not None:
                await journal.append(journals.Change((record,)))
            if has_takeover:
                journal, index = await open_journal(service, epoch)
                assert index == model.index
        _, index = await open_journal(service, 1_000)
        assert index == model.index

    original = segments.MAX_SMALL_SEGMENTS, segments.SMALL_BYTES
    segments.MAX_SMALL_SEGMENTS, segments.SMALL_BYTES = 3, 200
    try:
        asyncio.run(main())
    finally:
        segments.MAX_SMALL_SEGMENTS, segments.SMALL_BYTES = original


@given(st.binary(max_size=300))
def test_invalid_values_raise_only_record_errors(value):
    for decode in (
        records.decode_head,
        records.decode_records,
        records.decode_answers,
    ):
        try:
            decode(value)
        except records.RecordError:
            continue


def test_corrupt_shard_cannot_be_opened():
    async def main():
        service = KvFake()
        journal, _ = await open_journal(service, 1)
        record = ShardModel().step(1, records.State.CLAIMED)
        await journal.append(journals.Change((record,)))
        for key, entry in service.entries.items():
            if "/records/" in key:
                service.entries[key] = type(entry)(
                    key, b"damaged", entry.create_revision, entry.mod_revision
                )
        with pytest.raises(records.RecordError):
            await open_journal(service, 2)

    asyncio.run(main())
