"""Typed events and the writer that never holds up its caller."""

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
    """An example."""

    endpoint: str
    reason: str | None = None


def read_all(descriptor):
    parts = []
    while part := os.read(descriptor, 1 << 16):
        parts.append(part)
    return b"".join(parts).decode()


def test_an_event_is_written_under_its_name_and_read_back():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer)
    logs.configure_logs(writer=lines, instance="front-1")
    logs.log(EndpointGone(endpoint="e 1"))
    lines.close()
    os.close(writer)
    parsed = log_lines.parse_line(read_all(reader))
    assert parsed.event == "endpoint_gone"
    assert parsed.instance == "front-1"
    assert parsed.fields["endpoint"] == "e 1"
    assert "reason" not in parsed.fields
    os.close(reader)


def test_a_reader_that_stops_holds_up_nobody_and_losses_are_told():
    reader, writer = os.pipe()
    lines = log_writer.LineWriter(writer)
    line = "x" * 200 + "\n"
    many = log_writer.QUEUE_LINES * 3
    began_s = time.monotonic()
    for _ in range(many):
        lines.write(line)
    per_line_s = (time.monotonic() - began_s) / many
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


def test_the_reference_of_events_is_up_to_date():
    script = ROOT / "scripts" / "write_log_reference.py"
    done = subprocess.run([sys.executable, script, "--check"], check=False)
    assert done.returncode == 0
