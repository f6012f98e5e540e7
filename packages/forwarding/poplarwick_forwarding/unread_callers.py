"""Decides which callers lose their connection because they do not read.

Load pattern: callers that stop reading while their answers fill all buffers of
their connections. A caller that only reads slowly keeps its stream: every byte
that its connection takes starts its time limit again. Only the callers that do
not read lose anything, those that have not read for longest first, and only as
many as are needed to accept requests again.

Performs no I/O.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Mapping

from poplarwick_forwarding import buffer_budget

UNREAD_LIMIT_S = 20.0
"""Time without reading after which a connection is closed in any case; longer
than the longest deadline of callers, 15.3 s."""

PRESSURE_LIMIT_S = 3.0
"""The same time while memory for new requests is short."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnsentData:
    """What a connection has not sent yet.

    Attributes:
        unsent_bytes: Bytes in its write buffer.
        held_bytes: Bytes that the budget gains once it is closed; 0 unless all
            buffers of the connection are full.
    """

    unsent_bytes: int
    held_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """A connection that is to be closed.

    Attributes:
        connection: The connection.
        unread_s: Time for which its caller has not read.
        unsent_bytes: Bytes that wait to be sent.
        is_pressed: Whether it is closed for lack of memory.
    """

    connection: Hashable
    unread_s: float
    unsent_bytes: int
    is_pressed: bool


@dataclasses.dataclass(slots=True)
class _Wait:
    unsent_bytes: int
    since_s: float


class UnreadCallers:
    """Tracks the connections whose callers do not read.

    Args:
        budget: Counts the buffered data.
    """

    def __init__(self, budget: buffer_budget.BufferBudget) -> None:
        self._budget = budget
        self._waits: dict[Hashable, _Wait] = {}

    def review(
        self, unsent: Mapping[Hashable, UnsentData], now_s: float
    ) -> list[Closing]:
        """Returns the connections to close.

        Args:
            unsent: Connections that have more to send than their sockets take.
            now_s: Monotonic time.
        """
        for connection in list(self._waits):
            if connection not in unsent:
                del self._waits[connection]
        for connection, data in unsent.items():
            wait = self._waits.get(connection)
            if wait is None or data.unsent_bytes < wait.unsent_bytes:
                # The caller has read, or there was nothing to read before.
                self._waits[connection] = _Wait(data.unsent_bytes, now_s)
            else:
                wait.unsent_bytes = data.unsent_bytes
        excess_bytes = self._budget.excess_bytes
        closings = []
        for connection, wait in sorted(
            self._waits.items(), key=lambda item: item[1].since_s
        ):
            unread_s = now_s - wait.since_s
            held_bytes = unsent[connection].held_bytes
            is_pressed = excess_bytes > 0 and held_bytes > 0
            if unread_s < (PRESSURE_LIMIT_S if is_pressed else UNREAD_LIMIT_S):
                continue
            excess_bytes -= held_bytes
            closings.append(
                Closing(
                    connection,
                    unread_s,
                    wait.unsent_bytes,
                    is_pressed and unread_s < UNREAD_LIMIT_S,
                )
            )
        return closings
