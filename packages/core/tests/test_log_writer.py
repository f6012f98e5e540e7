"""Lines that reach a reader that is slow, or that come at the very end."""

from __future__ import annotations

import os
import socket
import threading
import time

import pytest

from poplarwick_core import log_writer

LINES = 4_000


def read_all(descriptor, delay_s):
    data = b""
    while part := os.read(descriptor, 4_096):
        data += part
        time.sleep(delay_s)
    return data.decode().splitlines()


def write_lines(*, is_blocking, delay_s):
    """Returns the lines that arrive at the other end of a pipe."""
    reading, writing = os.pipe()
    os.set_blocking(writing, is_blocking)
    received = []
    reader = threading.Thread(
        target=lambda: received.extend(read_all(reading, delay_s))
    )
    reader.start()
    writer = log_writer.LineWriter(writing)
    for number in range(LINES):
        writer.write(f"line {number} of some length so that the pipe is full\n")
    writer.close(timeout_s=20.0)
    os.close(writing)
    reader.join()
    os.close(reading)
    return received


# Guards against lines that vanish because the pipe of a slow reader is full.
def test_slow_reader_of_a_non_blocking_pipe_receives_all_lines():
    assert len(write_lines(is_blocking=False, delay_s=0.002)) == LINES


def test_lines_that_are_queued_during_the_last_flush_are_written(monkeypatch):
    reading, writing = os.pipe()
    writer = log_writer.LineWriter(writing)
    flush = writer._flush

    def flush_and_close():
        flush()
        if not writer._is_closing:
            # Between the flush and the end of the thread.
            writer.write("last\n")
            writer._is_closing = True

    monkeypatch.setattr(writer, "_flush", flush_and_close)
    writer.close(timeout_s=5.0) if writer._is_closing else writer._wake.set()
    writer._thread.join()
    os.close(writing)
    assert read_all(reading, 0.0) == ["last"]
    os.close(reading)


def read_available(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 20).decode()
    except BlockingIOError:
        return ""


# Guards against lines that a kill takes along, as they wait for the thread.
def test_line_is_written_at_once_when_the_process_may_be_killed(monkeypatch):
    monkeypatch.setattr(log_writer, "FLUSH_PERIOD_S", 60.0)
    reading, writing = os.pipe()
    writer = log_writer.LineWriter(writing)
    writer.write("before\n")
    assert read_available(reading) == ""
    writer.write_through()
    assert read_available(reading) == "before\n"
    writer.write("after\n")
    assert read_available(reading) == "after\n"
    writer.close()


def test_full_pipe_does_not_block_lines_that_are_written_at_once(monkeypatch):
    monkeypatch.setattr(log_writer, "FLUSH_PERIOD_S", 60.0)
    reading, writing = os.pipe()
    writer = log_writer.LineWriter(writing)
    writer.write_through()
    for number in range(LINES):
        writer.write(f"line {number} of some length so that the pipe is full\n")
    received = []
    reader = threading.Thread(
        target=lambda: received.extend(read_all(reading, 0.0))
    )
    reader.start()
    writer.close(timeout_s=20.0)
    os.close(writing)
    reader.join()
    os.close(reading)
    assert len(received) == LINES


# Guards against lines that reach what has the descriptor's number afterwards,
# such as a connection.
@pytest.mark.parametrize("writes_through_first", [True, False])
def test_closed_writer_leaves_the_descriptor_alone(writes_through_first):
    reading, writing = os.pipe()
    writer = log_writer.LineWriter(writing)
    if writes_through_first:
        writer.write_through()
    writer.close(timeout_s=20.0)
    near, far = socket.socketpair()
    with near, far:
        os.dup2(near.fileno(), writing)
        writer.write("late\n")
        writer.write_through()
        os.close(writing)
        assert read_available(far.fileno()) == ""
    os.close(reading)
