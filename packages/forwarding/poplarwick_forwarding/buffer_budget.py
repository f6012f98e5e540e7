"""Bounds the memory of data that callers and endpoints have not read yet.

Load pattern: hundreds of callers that do not read their answers, endpoints that
do not read request bodies, and large bodies of concurrent callers, on an
instance with little memory. Bounded are each connection, by the sizes of its
buffers, and all together, by refusing new requests before their bodies are
read and by closing the connections that stay unread for longest.

Performs no I/O.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterator

TYPICAL_MEMORY_BYTES = 200_000_000
"""Memory that is assumed if that of the instance is unknown."""

TOTAL_SHARE = 0.25
"""Fraction of the memory for all buffered data. The process takes 55 MB without
any, a third of the smallest instance."""

ADMISSION_SHARE = 0.8
"""Fraction of that total up to which requests are accepted; the rest is for the
answers to requests that are in progress."""

PRESSURE_SHARE = 0.9
"""Fraction of what is accepted above which unread connections are closed, so
that there is room for the bodies of new requests."""

MAX_GATHERED_BYTES = 32 << 20
"""Most memory for all responses that are not streamed; services answer with
kilobytes, and endpoints that send without end may be many."""

CONNECTION_SHARE = 0.0008
"""Fraction of the memory for one caller's unread stream, so that 250 of them
fit before requests are refused."""

BUFFERS_PER_CONNECTION = 8
"""Buffers of an unread stream: twice the size of the socket buffer at the
caller, its write buffer, twice the read buffer and twice the size of the socket
buffer at the endpoint, and one chunk in between. Linux doubles the sizes of
socket buffers, and aiohttp reads up to twice the size of its read buffer."""

MIN_BUFFER_BYTES = 8_192
MAX_BUFFER_BYTES = 65_536
"""Bounds of each buffer: the bandwidth-delay product of 10 and 100 Mbit/s at
6 ms is 7.5 and 75 kB."""

BODY_COPIES = 2
"""Copies of a request body: one to repeat the request, one in the connection of
an endpoint that does not read."""


class BudgetSpentError(Exception):
    """There is no memory left for data that must be buffered."""


@dataclasses.dataclass(frozen=True, slots=True)
class BufferLimits:
    """Bounds of the data that an instance buffers.

    Attributes:
        total_bytes: Bound for all data.
        admission_bytes: Bound above which no request is accepted.
        connection_bytes: Bound for one caller's stream, including the
            connection to its endpoint.
        buffer_bytes: Size of each buffer of a connection.
    """

    total_bytes: int
    admission_bytes: int
    connection_bytes: int
    buffer_bytes: int


def make_limits(memory_bytes: int) -> BufferLimits:
    """Returns the bounds for an instance.

    Args:
        memory_bytes: Memory that the process may use; 0 if unknown.
    """
    memory_bytes = memory_bytes or TYPICAL_MEMORY_BYTES
    total_bytes = int(TOTAL_SHARE * memory_bytes)
    buffer_bytes = min(
        max(
            int(CONNECTION_SHARE * memory_bytes / BUFFERS_PER_CONNECTION),
            MIN_BUFFER_BYTES,
        ),
        MAX_BUFFER_BYTES,
    )
    return BufferLimits(
        total_bytes=total_bytes,
        admission_bytes=int(ADMISSION_SHARE * total_bytes),
        connection_bytes=BUFFERS_PER_CONNECTION * buffer_bytes,
        buffer_bytes=buffer_bytes,
    )


class BufferBudget:
    """Counts the buffered data of an instance.

    Args:
        limits: Bounds of the data.

    Attributes:
        limits: Bounds of the data.
        unread_streams: Number of streams that wait for their callers to read;
            each counts as `connection_bytes`.
    """

    def __init__(self, limits: BufferLimits) -> None:
        self.limits = limits
        self.unread_streams = 0
        self._body_bytes = 0
        self._gathered_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of all buffered data."""
        return (
            self._body_bytes
            + self._gathered_bytes
            + self.unread_streams * self.limits.connection_bytes
        )

    @property
    def excess_bytes(self) -> int:
        """Bytes that must be released to have room for new requests."""
        return max(
            self.used_bytes - int(PRESSURE_SHARE * self.limits.admission_bytes),
            self._gathered_bytes
            - int(PRESSURE_SHARE * ADMISSION_SHARE * MAX_GATHERED_BYTES),
        )

    def can_accept(self, body_bytes: int = 0) -> bool:
        """Returns whether a request with a body of this size may be read."""
        return (
            self.used_bytes + BODY_COPIES * body_bytes
            <= self.limits.admission_bytes
            and self._gathered_bytes <= ADMISSION_SHARE * MAX_GATHERED_BYTES
        )

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldBytes]:
        """Counts data of one request until the context is exited."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            held.release()

    def add_body(self, count: int) -> None:
        """Changes the bytes that are held for request bodies."""
        self._body_bytes += count

    def add_gathered(self, count: int) -> None:
        """Changes the bytes that are held for responses.

        Raises:
            BudgetSpentError: They would exceed their bounds.
        """
        if count > 0 and (
            self._gathered_bytes + count > MAX_GATHERED_BYTES
            or self.used_bytes + count > self.limits.total_bytes
        ):
            raise BudgetSpentError(
                f"{self._gathered_bytes} bytes in all responses,"
                f" {self.used_bytes} bytes buffered in all"
            )
        self._gathered_bytes += count


class HeldBytes:
    """Data of one request and its response; made by `BufferBudget.hold`.

    Args:
        budget: Counts all data.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._body_bytes = 0
        self._response_bytes = 0

    def add_request_body(self, count: int) -> None:
        """Counts bytes of the request body.

        Raises:
            BudgetSpentError: The request must be refused.
        """
        if not self._budget.can_accept(count):
            raise BudgetSpentError(
                f"{self._budget.used_bytes} bytes buffered in all"
            )
        self._body_bytes += BODY_COPIES * count
        self._budget.add_body(BODY_COPIES * count)

    def add_response(self, count: int) -> None:
        """Counts bytes of a response that is gathered.

        Raises:
            BudgetSpentError: The response cannot be gathered.
        """
        self._budget.add_gathered(count)
        self._response_bytes += count

    def release_response(self) -> None:
        """Counts no response any more."""
        self._budget.add_gathered(-self._response_bytes)
        self._response_bytes = 0

    def release(self) -> None:
        """Counts nothing any more."""
        self.release_response()
        self._budget.add_body(-self._body_bytes)
        self._body_bytes = 0
