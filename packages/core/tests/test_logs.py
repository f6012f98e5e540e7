"""Tests for typed events and for the non-blocking log writer."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import time

from poplarwick_core import log_lines
from poplarwick_core import log_writer
from poplarwick_core import logs

ROOT = pathlib.Path(__file__).resolve().parents[3]


class EndpointGone(logs.Event, frozen=True, kw_only=True):
    """An example event."""

    endpoint: str
    reason: str | None = None


def read_all(descriptor):
    parts = []
    while part := os.read(descriptor, 1 << 16):
        parts.append(part)
    return b"".join(parts).decode()


def test_event_is_written_under_its_name_and_parsed_back():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer)
    logs.configure_logs(writer=lines, instance="front-1")
    logs.log(EndpointGone(endpoint="e 1"))
    logs.configure_logs()
    lines.close()
    os.close(writer)
    parsed = log_lines.parse_line(read_all(reader))
    assert parsed.event == "endpoint_gone"
    assert parsed.instance == "front-1"
    assert parsed.fields["endpoint"] == "e 1"
    assert "reason" not in parsed.fields
    os.close(reader)


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer)
    line = "x" * 200 + "\n"
    line_count = log_writer.MAX_QUEUED_LINES * 3
    started_s = time.monotonic()
    for _ in range(line_count):
        lines.write(line)
    per_line_s = (time.monotonic() - started_s) / line_count
    assert per_line_s < 0.001
    assert lines.dropped > 0
    os.set_blocking(reader, False)
    text = ""
    while "log_lines_dropped" not in text:
        try:
            text += os.read(reader, 1 << 20).decode()
        except BlockingIOError:
            time.sleep(0.01)
    os.close(reader)
    lines.close(timeout_s=5)
    os.close(writer)


def test_log_event_reference_is_up_to_date():
    script = ROOT / "scripts" / "write_log_reference.py"
    completed = subprocess.run([sys.executable, script, "--check"], check=False)
    assert completed.returncode == 0
