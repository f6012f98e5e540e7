"""Reader of an engine's answer stream.

The reader checks each event's stream identity and sequence number and passes
on the bytes of the events that belong to the answer, unchanged and in order.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import msgspec

from poplarwick_core import ids

MAX_EVENT_BYTES = 1_048_576
DONE = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"

_BOUNDARY = b"\n\n"
_DATA = b"data:"


class Fault(enum.Enum):
    """Why a connection to an engine yields no more of the answer.

    Attributes:
        GAP: An event was skipped.
        CUT: The connection ended before the end mark.
        UNFINISHED: The end mark came before a finish reason.
        MALFORMED: An event could not be parsed or was too large.
        ENGINE: The engine reported an error within the stream.
    """

    GAP = "gap"
    CUT = "cut"
    UNFINISHED = "unfinished"
    MALFORMED = "malformed"
    ENGINE = "engine"


class EngineError(msgspec.Struct):
    """An error that an engine reports within a stream.

    Attributes:
        message: Text for people.
        type: Class of the error.
    """

    message: str = ""
    type: str = ""


@dataclasses.dataclass(slots=True)
class Drops:
    """Counts of events that were not passed on.

    Attributes:
        crossed: Events of another stream.
        duplicate: Events that had been passed on before.
        late: Events after the end mark.
    """

    crossed: int = 0
    duplicate: int = 0
    late: int = 0


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    stream: str | None = None
    seq: int = -1
    tokens: Annotated[int, msgspec.Meta(ge=0)] = 1
    choices: list[_Choice] | None = None
    error: EngineError | None = None


_DECODER = msgspec.json.Decoder(_Event)


class StreamReader:
    """Checks one answer stream over one or more connections.

    Feed the bytes of a connection as they arrive and write what `feed`
    returns to the caller. When `fault` is set, or the connection ends while
    `is_complete` is false, call `resume` and feed the bytes of a new connection
    that starts after `last_seq`. The end mark is not among the returned bytes;
    the caller is sent `DONE_EVENT` once `is_complete` is true.

    Attributes:
        stream: Identity of the stream.
        next_seq: Sequence number of the next event.
        tokens: Tokens in the events passed on so far.
        is_complete: Whether the answer has ended and nothing is missing.
        fault: Why this connection yields no more, or None.
        engine_error: What the engine reported with `Fault.ENGINE`.
        drops: Counts of events that were not passed on.
    """

    def __init__(self, stream: ids.StreamId) -> None:
        self.stream = stream
        self.next_seq = 0
        self.tokens = 0
        self.is_complete = False
        self.fault: Fault | None = None
        self.engine_error: EngineError | None = None
        self.drops = Drops()
        self._is_finished = False
        self._rest = b""

    @property
    def last_seq(self) -> int:
        """Sequence number of the last event passed on; -1 before the first."""
        return self.next_seq - 1

    def feed(self, data: bytes) -> bytes:
        """Takes bytes of the connection and returns the answer's new events.

        Args:
            data: Bytes as they arrived, cut at any place.

        Returns:
            Complete server-sent events without the end mark; may be empty.
        """
        if self.fault is not None:
            return b""
        data = self._rest + data if self._rest else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._rest = data.split(_BOUNDARY)
        accepted = [event for event in events if self._accept(event)]
        if len(self._rest) > MAX_EVENT_BYTES:
            self._fail(Fault.MALFORMED)
        if not accepted:
            return b""
        accepted.append(b"")
        return _BOUNDARY.join(accepted)

    def end(self) -> None:
        """Notes that the connection has ended."""
        if not self.is_complete and self.fault is None:
            self._fail(Fault.CUT)

    def resume(self) -> None:
        """Prepares for a new connection that starts after `last_seq`."""
        self.fault = None
        self.engine_error = None
        self._rest = b""

    def _accept(self, event: bytes) -> bool:
        if self.fault is not None:
            return False
        data = _extract_data(event)
        if not data:
            return False
        if data == DONE:
            self._take_end_mark()
            return False
        try:
            fields = _DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError):
            self._fail(Fault.MALFORMED)
            return False
        return self._check(fields)

    def _check(self, fields: _Event) -> bool:
        if fields.stream != self.stream:
            self._take_foreign(fields)
            return False
        if self.is_complete:
            self.drops.late += 1
            return False
        if fields.error is not None:
            self._take_error(fields.error)
            return False
        if fields.seq != self.next_seq:
            self._take_out_of_order(fields.seq)
            return False
        self.next_seq += 1
        self.tokens += fields.tokens
        for choice in fields.choices or ():
            if choice.finish_reason is not None:
                self._is_finished = True
        return True

    def _take_end_mark(self) -> None:
        if self._is_finished:
            self.is_complete = True
        else:
            self._fail(Fault.UNFINISHED)

    def _take_foreign(self, fields: _Event) -> None:
        if fields.stream is None and fields.error is not None:
            self._take_error(fields.error)
        else:
            self.drops.crossed += 1

    def _take_error(self, error: EngineError) -> None:
        self.engine_error = error
        self._fail(Fault.ENGINE)

    def _take_out_of_order(self, seq: int) -> None:
        if seq < self.next_seq:
            self.drops.duplicate += 1
        else:
            self._fail(Fault.GAP)

    def _fail(self, fault: Fault) -> None:
        if not self.is_complete:
            self.fault = fault
        self._rest = b""


def _extract_data(event: bytes) -> bytes:
    if event.startswith(_DATA) and b"\n" not in event:
        return event[len(_DATA) :].strip()
    lines = [
        line[len(_DATA) :].strip()
        for line in event.split(b"\n")
        if line.startswith(_DATA)
    ]
    return b"\n".join(lines)
