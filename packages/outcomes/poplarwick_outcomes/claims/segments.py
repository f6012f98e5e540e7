"""Log segments of a shard and the operations that append and compact them.

Each transaction on a shard appends at most one segment of records and one of
answers. Small segments are merged in the same transaction, which bounds their
number without additional writes.
"""

from __future__ import annotations

import dataclasses
from typing import Generic
from typing import TypeVar

from poplarwick_outcomes.claims import records
from poplarwick_platform import kv

SMALL_BYTES = 65_536
MAX_SMALL_SEGMENTS = 24
MAX_MERGED_BYTES = 262_144
MAX_DROPPED = 24
MAX_ANSWERS_BYTES = 2_097_152
SEQ_DIGITS = 16

Item = TypeVar("Item", records.Record, records.StoredAnswer)


@dataclasses.dataclass(frozen=True, slots=True)
class Segment(Generic[Item]):
    """Metadata of a stored segment.

    Attributes:
        seq: Sequence number of the segment.
        size_bytes: Size of the stored value.
        newest_key_ms: Latest creation time of its items' keys, in
            milliseconds since the Unix epoch.
        items: Items, if the segment is small enough to be merged; else empty.
    """

    seq: int
    size_bytes: int
    newest_key_ms: int
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Layout(Generic[Item]):
    """Immutable list of the segments of one kind.

    Attributes:
        prefix: Common prefix of the segments' keys.
        segments: Segments, oldest first.
    """

    prefix: str
    segments: tuple[Segment[Item], ...] = ()

    @property
    def size_bytes(self) -> int:
        """Total size of the stored values."""
        return sum(segment.size_bytes for segment in self.segments)

    def name(self, seq: int) -> str:
        """Returns the key of the segment with a sequence number."""
        return f"{self.prefix}{seq:0{SEQ_DIGITS}d}"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan(Generic[Item]):
    """Planned change of a layout.

    Attributes:
        layout: Layout after the change.
        operations: Key-value operations that produce this layout.
    """

    layout: Layout[Item]
    operations: tuple[kv.Operation, ...] = ()


def make_segment(
    seq: int, items: tuple[Item, ...], size_bytes: int
) -> Segment[Item]:
    """Returns the metadata of a stored segment."""
    newest_key_ms = max((item.key_time_ms for item in items), default=0)
    kept = items if size_bytes < SMALL_BYTES else ()
    return Segment(seq, size_bytes, newest_key_ms, kept)


def add_stored(
    layout: Layout[Item], entry: kv.Entry, items: tuple[Item, ...]
) -> Layout[Item]:
    """Returns the layout extended by a segment read from the store."""
    seq = int(entry.key.removeprefix(layout.prefix))
    segment = make_segment(seq, items, len(entry.value))
    return dataclasses.replace(layout, segments=layout.segments + (segment,))


def plan_records(
    layout: Layout[records.Record],
    seq: int,
    items: tuple[records.Record, ...],
    horizon_ms: int,
) -> Plan[records.Record]:
    """Plans to append records, delete expired segments and merge small ones.

    Args:
        layout: Current layout.
        seq: Sequence number of the new segment.
        items: Records to append.
        horizon_ms: Segments that hold only keys created before this time, in
            milliseconds since the Unix epoch, are expired.

    Returns:
        The planned change.
    """
    kept, dropped = _split_expired(layout, horizon_ms)
    tail = _find_small_tail(kept)
    merged: tuple[Segment[records.Record], ...] = ()
    if len(tail) >= MAX_SMALL_SEGMENTS:
        merged = tail
        kept = kept[: len(kept) - len(tail)]
        joined = [item for segment in merged for item in segment.items]
        items = tuple(
            records.merge_records(
                [*joined, *items], horizon_ms, is_oldest=not kept
            )
        )
    return _make_plan(layout, kept, (*dropped, *merged), seq, items)


def plan_answers(
    layout: Layout[records.StoredAnswer],
    seq: int,
    items: tuple[records.StoredAnswer, ...],
    horizon_ms: int,
) -> Plan[records.StoredAnswer]:
    """Plans to append answers and delete expired or excess segments.

    The oldest segments are deleted if the total size exceeds
    `MAX_ANSWERS_BYTES`.

    Args:
        layout: Current layout.
        seq: Sequence number of the new segment.
        items: Answers to append.
        horizon_ms: Segments that hold only keys created before this time, in
            milliseconds since the Unix epoch, are expired.

    Returns:
        The planned change.
    """
    kept, dropped = _split_expired(layout, horizon_ms)
    if not items and not dropped:
        return Plan(layout)
    tail = _find_small_tail(kept)
    merged: tuple[Segment[records.StoredAnswer], ...] = ()
    if items and len(tail) >= MAX_SMALL_SEGMENTS:
        merged = tail
        kept = kept[: len(kept) - len(tail)]
        joined = [item for segment in merged for item in segment.items]
        items = (*joined, *items)
    size = sum(segment.size_bytes for segment in kept)
    while kept and size > MAX_ANSWERS_BYTES and len(dropped) < MAX_DROPPED:
        size -= kept[0].size_bytes
        dropped = (*dropped, kept[0])
        kept = kept[1:]
    return _make_plan(layout, kept, (*dropped, *merged), seq, items)


def _split_expired(
    layout: Layout[Item], horizon_ms: int
) -> tuple[tuple[Segment[Item], ...], tuple[Segment[Item], ...]]:
    dropped: list[Segment[Item]] = []
    for segment in layout.segments:
        is_expired = segment.newest_key_ms < horizon_ms
        if not is_expired or len(dropped) == MAX_DROPPED:
            break
        dropped.append(segment)
    return layout.segments[len(dropped) :], tuple(dropped)


def _find_small_tail(
    segments: tuple[Segment[Item], ...],
) -> tuple[Segment[Item], ...]:
    size = 0
    start = len(segments)
    while start > 0:
        segment = segments[start - 1]
        size += segment.size_bytes
        if segment.size_bytes >= SMALL_BYTES or size > MAX_MERGED_BYTES:
            break
        start -= 1
    return segments[start:]


def _make_plan(
    layout: Layout[Item],
    kept: tuple[Segment[Item], ...],
    removed: tuple[Segment[Item], ...],
    seq: int,
    items: tuple[Item, ...],
) -> Plan[Item]:
    operations: list[kv.Operation] = [
        kv.Delete(layout.name(segment.seq)) for segment in removed
    ]
    if items:
        value = records.encode_items(items)
        operations.append(kv.Put(layout.name(seq), value))
        kept = kept + (make_segment(seq, items, len(value)),)
    return Plan(dataclasses.replace(layout, segments=kept), tuple(operations))
