"""Writes log lines without ever holding up the event loop."""

from __future__ import annotations

import collections
import os
import threading

QUEUE_LINES = 8_192
"""Lines that wait for a slow reader; some seconds of a busy instance."""

BATCH_LINES = 256
"""Most lines written at once."""

FLUSH_PERIOD_S = 0.1
"""Period at which waiting lines are written; wakes the thread seldom."""


class LineWriter:
    """Writes lines to a file descriptor from a thread of its own.

    Lines that find the queue full are dropped and counted; the count is
    written as a line of its own once there is room.

    Args:
        descriptor: File descriptor to write to.
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
        """Queues a line, or drops it."""
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    def close(self, timeout_s: float = 0.5) -> None:
        """Writes what waits, as far as the reader takes it in time."""
        self._is_closing = True
        self._wake.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait(FLUSH_PERIOD_S)
            self._flush()
            if self._is_closing:
                return

    def _flush(self) -> None:
        while self._lines:
            count = min(len(self._lines), BATCH_LINES)
            batch = [self._lines.popleft() for _ in range(count)]
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                batch.append(f"event=log_lines_dropped count={dropped}\n")
            data = "".join(batch).encode()
            while data:
                try:
                    data = data[os.write(self._descriptor, data) :]
                except OSError:
                    # Nobody reads; there is nowhere to tell it.
                    return
