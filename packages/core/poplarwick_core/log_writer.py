"""Writes log lines from a background thread, so that logging never blocks."""

from __future__ import annotations

import collections
import os
import select
import threading

MAX_QUEUED_LINES = 8_192
"""Maximum number of queued lines; holds the output of a busy instance for some
seconds while the reader is slow."""

MAX_BATCH_LINES = 256
"""Maximum number of lines in one write."""

FLUSH_PERIOD_S = 0.1
"""Period at which queued lines are written; limits how often the thread
wakes."""


class LineWriter:
    """Writes lines to a file descriptor from a background thread.

    Lines are dropped and counted while the queue is full. The count is written
    as a separate line once the queue drains.

    Args:
        descriptor: File descriptor to write to.

    Attributes:
        dropped: Lines dropped since the last reported count.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[str] = collections.deque()
        self._wake = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Queues a line, or drops it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    def close(self, timeout_s: float = 0.5) -> None:
        """Writes the queued lines and stops the thread.

        Args:
            timeout_s: Time limit; lines still queued after it are lost.
        """
        self._is_closing = True
        self._wake.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._is_closing:
            self._wake.wait(FLUSH_PERIOD_S)
            self._flush()
        # Lines that were queued during the last flush.
        self._flush()

    def _flush(self) -> None:
        while self._lines:
            count = min(len(self._lines), MAX_BATCH_LINES)
            batch = [self._lines.popleft() for _ in range(count)]
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                batch.append(f"event=log_lines_dropped count={dropped}\n")
            data = "".join(batch).encode(errors="backslashreplace")
            while data:
                try:
                    data = data[os.write(self._descriptor, data) :]
                except BlockingIOError:
                    # Another process has made the pipe non-blocking, and its
                    # reader is slow.
                    select.select((), (self._descriptor,), ())
                except OSError:
                    # The reader closed the pipe, so the error cannot be logged.
                    return
