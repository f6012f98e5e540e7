"""Lines that reach a reader that is slow, or that come at the very end."""

from __future__ import annotations

import os
import threading
import time

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
