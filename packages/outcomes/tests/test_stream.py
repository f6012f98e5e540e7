"""Tests of the validation of engine event streams."""

import json

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_core import ids
from poplarwick_outcomes import stream

STREAM = ids.StreamId("str-1")


def make_event(seq, *, name=STREAM, text="x", finish=None, tokens=1):
    fields = {
        "choices": [{"text": text, "finish_reason": finish}],
        "stream": name,
        "seq": seq,
        "tokens": tokens,
    }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def make_answer(count):
    events = [make_event(seq, text=f"t{seq}") for seq in range(count - 1)]
    return [*events, make_event(count - 1, finish="stop")]


def test_complete_answer_is_forwarded_unchanged():
    events = make_answer(3)
    reader = stream.StreamReader(STREAM)
    assert reader.feed(b"".join(events) + stream.DONE_EVENT) == b"".join(events)
    assert reader.is_complete
    assert reader.tokens == 3
    assert reader.next_seq == 3


def test_text_that_looks_like_event_fields_is_ignored():
    text = '"seq":7,"stream":"str-2","finish_reason":"stop"'
    reader = stream.StreamReader(STREAM)
    reader.feed(make_event(0, text=text) + stream.DONE_EVENT)
    assert not reader.is_complete
    assert reader.next_seq == 1


def test_crossed_duplicate_and_late_events_are_dropped_and_counted():
    reader = stream.StreamReader(STREAM)
    events = make_answer(2)
    other = make_event(1, name="str-2", finish="stop")
    forwarded = reader.feed(events[0] + other + events[0] + events[1])
    assert forwarded == events[0] + events[1]
    reader.feed(stream.DONE_EVENT + make_event(2))
    assert reader.is_complete
    assert reader.drops == stream.DropCounts(crossed=1, duplicate=1, late=1)


def test_gap_stops_reading_until_resume():
    events = make_answer(4)
    reader = stream.StreamReader(STREAM)
    assert reader.feed(events[0] + events[2] + events[3]) == events[0]
    assert reader.feed(stream.DONE_EVENT) == b""
    assert reader.fault is stream.Fault.GAP
    assert not reader.is_complete
    reader.resume()
    assert reader.last_seq == 0
    remaining = b"".join(events[1:])
    assert reader.feed(remaining + stream.DONE_EVENT) == remaining
    assert reader.is_complete


def test_connection_closed_before_done_event_is_incomplete():
    reader = stream.StreamReader(STREAM)
    reader.feed(b"".join(make_answer(2)))
    reader.end()
    assert reader.fault is stream.Fault.CUT
    reader.resume()
    reader.feed(stream.DONE_EVENT)
    assert reader.is_complete


def test_done_event_without_finish_reason_is_incomplete():
    reader = stream.StreamReader(STREAM)
    reader.feed(make_event(0) + stream.DONE_EVENT)
    assert reader.fault is stream.Fault.UNFINISHED
    assert not reader.is_complete


def test_engine_error_is_reported():
    reader = stream.StreamReader(STREAM)
    reader.feed(b'data: {"error": {"type": "lost", "message": "m"}}\n\n')
    assert reader.fault is stream.Fault.ENGINE
    assert reader.engine_error == stream.EngineError("m", "lost")


def test_oversized_event_is_malformed():
    reader = stream.StreamReader(STREAM)
    reader.feed(b"data: " + b"x" * stream.MAX_EVENT_BYTES)
    assert reader.fault is stream.Fault.MALFORMED


def test_comments_and_crlf_line_endings_are_accepted():
    event = make_event(0, finish="stop")
    reader = stream.StreamReader(STREAM)
    wire = b": ping\n\n" + event + stream.DONE_EVENT
    for byte in wire.replace(b"\n", b"\r\n"):
        reader.feed(bytes([byte]))
    assert reader.is_complete
    assert reader.next_seq == 1


@given(st.integers(1, 30), st.lists(st.integers(1, 400), max_size=40))
def test_chunk_boundaries_do_not_affect_answer(count, sizes):
    answer = b"".join(make_answer(count))
    reader = stream.StreamReader(STREAM)
    remaining, forwarded = answer + stream.DONE_EVENT, b""
    for size in sizes:
        forwarded += reader.feed(remaining[:size])
        remaining = remaining[size:]
    forwarded += reader.feed(remaining)
    assert forwarded == answer
    assert reader.is_complete


@given(st.lists(st.integers(0, 6), max_size=40), st.booleans())
def test_stream_is_complete_only_after_complete_answer(order, has_done_event):
    events = make_answer(7)
    reader = stream.StreamReader(STREAM)
    forwarded = b"".join(reader.feed(events[seq]) for seq in order)
    if has_done_event:
        forwarded += reader.feed(stream.DONE_EVENT)
    reader.end()
    assert forwarded == b"".join(events[: reader.next_seq])
    assert reader.is_complete == (reader.next_seq == 7 and has_done_event)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_cause_a_fault(data):
    reader = stream.StreamReader(STREAM)
    assert reader.feed(b"data: " + data + b"\n\n") == b""
    reader.end()
    assert not reader.is_complete
    assert reader.fault is not None
