"""Bytes that arrive through a relay in frames."""

from __future__ import annotations

import asyncio
import types

from hypothesis import given
from hypothesis import strategies as st

from poplarwick_reach import frames


class Recorder(asyncio.Protocol):
    def __init__(self):
        self.data = b""
        self.ends = []

    def data_received(self, data):
        self.data += data

    def connection_lost(self, exc):
        self.ends.append(exc)


class Transport(asyncio.Transport):
    def __init__(self, reader):
        super().__init__()
        self._reader = reader
        self.is_paused = False

    def is_reading(self):
        return not self.is_paused

    def close(self):
        self._reader.connection_lost(None)


def make_reader():
    recorder = Recorder()
    reader = frames.FrameReader(recorder)
    reader.connection_made(Transport(reader))
    return recorder, reader


def feed(reader, data, cuts):
    for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        if data[begin:end]:
            reader.data_received(data[begin:end])


@given(st.lists(st.binary(min_size=1, max_size=50)), st.data())
def test_content_arrives_however_the_frames_are_cut(chunks, data):
    stream = b"".join(map(frames.encode, chunks))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)))))
    for end, expected in ((frames.END, type(None)), (b"", ConnectionError)):
        recorder, reader = make_reader()
        feed(reader, stream + end, cuts)
        if not end:
            reader.connection_lost(None)
        assert recorder.data == b"".join(chunks)
        (reason,) = recorder.ends
        assert isinstance(reason, expected)


def test_bytes_after_the_end_are_ignored():
    recorder, reader = make_reader()
    reader.data_received(frames.encode(b"a") + frames.END + frames.encode(b"b"))
    assert recorder.data == b"a"
    assert recorder.ends == [None]


# Guards against streams that are cut behind events that their caller has not
# read, as the mark of their end came with these.
def test_end_waits_for_a_protocol_that_does_not_read():
    recorder = Recorder()
    reader = frames.FrameReader(recorder)
    transport = Transport(reader)
    reader.connection_made(transport)
    transport.is_paused = True
    reader.data_received(frames.encode(b"a") + frames.END)
    assert not recorder.ends
    # The relay closes the connection, which is seen once it is read.
    reader.connection_lost(ConnectionResetError())
    assert recorder.ends == [None]


def test_back_pressure_is_passed_on():
    told = []
    protocol = types.SimpleNamespace(
        pause_writing=lambda: told.append("pause"),
        resume_writing=lambda: told.append("resume"),
    )
    reader = frames.FrameReader(protocol)
    reader.pause_writing()
    reader.resume_writing()
    assert told == ["pause", "resume"]
