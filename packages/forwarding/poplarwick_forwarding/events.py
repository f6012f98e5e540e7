"""Splits a stream into whole events (server-sent events, WHATWG HTML)."""

from __future__ import annotations

import dataclasses

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"

EVENT_LIMIT_BYTES = 1 << 20
"""Largest event that is held until it is whole; engines' events are some
hundred bytes."""


class EventError(ValueError):
    """The bytes are no event of this stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        data: Its bytes with the separator.
        id: Its number; None if it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes and returns the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an event that is not whole are held."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Takes further bytes.

        Raises:
            EventError: An event is too large or its id is no number.
        """
        *whole, self._rest = (self._rest + data).split(SEPARATOR)
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise EventError(f"event of over {EVENT_LIMIT_BYTES} bytes")
        return [
            Event(part + SEPARATOR, _read_id(part)) for part in whole if part
        ]


def _read_id(part: bytes) -> int | None:
    for line in part.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            if not text.isdigit():
                raise EventError(f"id {text[:40]!r} is no number")
            return int(text)
    return None
