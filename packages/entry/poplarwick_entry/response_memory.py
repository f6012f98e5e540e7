"""Bounds the memory of responses that are being gathered.

Load pattern: many endpoints send without end at the same time. Each response
grows to the largest that is allowed before it is given up, and all of them
together would take the memory of the calls to sound endpoints.

Performs no I/O.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from poplarwick_core import errors

ORDINARY_BYTES = 1 << 20
"""Part of each response that is not counted, so that ordinary responses are
gathered whatever others take; services answer with kilobytes."""

MAX_COUNTED_BYTES = 128 << 20
"""Most memory for what exceeds that part, in all responses."""


class ResponseMemoryError(errors.PoplarwickError):
    """There is no memory left for a large response."""


class ResponseMemory:
    """Counts the responses of an instance.

    Attributes:
        counted_bytes: Bytes of all responses beyond `ORDINARY_BYTES` each.
    """

    def __init__(self) -> None:
        self.counted_bytes = 0

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldResponse]:
        """Counts a response until the context is exited."""
        held = HeldResponse(self)
        try:
            yield held
        finally:
            held.release()


class HeldResponse:
    """A response that is being gathered; made by `ResponseMemory.hold`.

    Args:
        memory: Counts all responses.

    Attributes:
        counted_bytes: Bytes beyond `ORDINARY_BYTES`.
    """

    def __init__(self, memory: ResponseMemory) -> None:
        self.counted_bytes = 0
        self._memory = memory
        self._bytes = 0

    def add(self, count: int) -> None:
        """Counts bytes that were received.

        Raises:
            ResponseMemoryError: The response must be given up.
        """
        self._bytes += count
        counted_bytes = max(self._bytes - ORDINARY_BYTES, 0)
        self._memory.counted_bytes += counted_bytes - self.counted_bytes
        self.counted_bytes = counted_bytes
        if counted_bytes and self._memory.counted_bytes > MAX_COUNTED_BYTES:
            raise ResponseMemoryError(
                f"{self._memory.counted_bytes} bytes in large responses"
            )

    def release(self) -> None:
        """Counts nothing any more."""
        self._memory.counted_bytes -= self.counted_bytes
        self.counted_bytes = 0
        self._bytes = 0
