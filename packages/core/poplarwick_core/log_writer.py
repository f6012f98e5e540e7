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
        self._unwritten = b""
        self._is_writing = threading.Lock()
        self._writes_through = False
        self._wake = threading.Event()
        self._is_closing = False
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Queues a line, or drops it if the queue is full.

        After `close` it does nothing.
        """
        if self._is_closed:
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._writes_through:
            self._write_what_fits()

    def write_through(self) -> None:
        """Writes further lines at once, as the process may soon be killed.

        They wait in the queue only while the reader is slow.
        """
        self._writes_through = True
        self._write_what_fits()

    def close(self, timeout_s: float = 0.5) -> None:
        """Writes the queued lines and stops the thread.

        Nothing is written afterwards, since the descriptor's owner may close
        it, and its number then stands for something else.

        Args:
            timeout_s: Time limit; lines still queued after it are lost.
        """
        self._is_closing = True
        self._wake.set()
        self._thread.join(timeout_s)
        self._is_closed = True

    def _run(self) -> None:
        while not self._is_closing:
            self._wake.wait(FLUSH_PERIOD_S)
            self._flush()
        # Lines that were queued during the last flush.
        self._flush()

    def _flush(self) -> None:
        """Writes the queued lines, and waits for a slow reader."""
        with self._is_writing:
            while not self._is_closed and self._take_batch():
                try:
                    self._write(len(self._unwritten))
                except BlockingIOError:
                    # Another process has made the pipe non-blocking, and its
                    # reader is slow.
                    select.select((), (self._descriptor,), ())

    def _write_what_fits(self) -> None:
        """Writes queued lines as long as that does not block."""
        if self._is_closed:
            return
        if not self._is_writing.acquire(blocking=False):
            # The thread takes the lines that were queued meanwhile, too.
            return
        try:
            while self._take_batch():
                _, writable, _ = select.select((), (self._descriptor,), (), 0)
                if not writable:
                    return
                self._write(select.PIPE_BUF)
        except BlockingIOError:
            # As above; the thread waits for it.
            return
        finally:
            self._is_writing.release()

    def _take_batch(self) -> bool:
        """Encodes the next lines; returns whether there is data to write."""
        if self._unwritten:
            return True
        count = min(len(self._lines), MAX_BATCH_LINES)
        batch = [self._lines.popleft() for _ in range(count)]
        if not batch:
            return False
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            batch.append(f"event=log_lines_dropped count={dropped}\n")
        self._unwritten = "".join(batch).encode(errors="backslashreplace")
        return True

    def _write(self, max_bytes: int) -> None:
        """Writes a part of the encoded lines.

        Raises:
            BlockingIOError: The descriptor takes no data.
        """
        try:
            written = os.write(self._descriptor, self._unwritten[:max_bytes])
        except BlockingIOError:
            raise
        except OSError:
            # The reader closed the pipe, so the error cannot be logged.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
