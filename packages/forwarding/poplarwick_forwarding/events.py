"""Splits a byte stream into server-sent events (WHATWG HTML standard)."""

from __future__ import annotations

import dataclasses

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"

ID_LIMIT_DIGITS = 18
"""Most digits of the number of an event."""

EVENT_LIMIT_BYTES = 1 << 20
"""Largest incomplete event that is buffered; engines send events of a few
hundred bytes."""


class EventError(ValueError):
    """The bytes are not a valid event of this stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        data: Bytes of the event, including the separator.
        id: Number of the event; None if it has no id field.
    """

    data: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no fields, so that it is no event of the stream."""
        return all(
            line.startswith(COMMENT) or not line.strip()
            for line in self.data.split(b"\n")
        )


class EventSplitter:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffer holds the start of an event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            EventError: An event is too large or its id is not a number.
        """
        *complete, self._buffer = (self._buffer + data).split(SEPARATOR)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise EventError(f"event larger than {EVENT_LIMIT_BYTES} bytes")
        return [
            Event(part + SEPARATOR, _parse_id(part))
            for part in complete
            if part
        ]


def _parse_id(part: bytes) -> int | None:
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            if not text.isdigit() or len(text) > ID_LIMIT_DIGITS:
                raise EventError(f"event id {text[:40]!r} is not a number")
            return int(text)
    return None
