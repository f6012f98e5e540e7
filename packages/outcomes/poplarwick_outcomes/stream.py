"""Validation of an engine's server-sent event stream.

The reader checks the stream ID and sequence number of each event and forwards
the bytes of the answer's events unchanged and in order.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import msgspec

from poplarwick_core import ids

MAX_EVENT_BYTES = 1_048_576
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"

_BOUNDARY = b"\n\n"
_DATA = b"data:"


class Fault(enum.Enum):
    """Reason why reading from an engine connection stopped.

    Attributes:
        GAP: A sequence number was skipped.
        CUT: The connection closed before the `[DONE]` event.
        UNFINISHED: The `[DONE]` event arrived before a finish reason.
        MALFORMED: An event could not be parsed or was too large.
        ENGINE: The engine reported an error in the stream.
    """

    GAP = "gap"
    CUT = "cut"
    UNFINISHED = "unfinished"
    MALFORMED = "malformed"
    ENGINE = "engine"


class EngineError(msgspec.Struct):
    """Error that an engine reports in a stream.

    Attributes:
        message: Human-readable description.
        type: Class of the error.
    """

    message: str = ""
    type: str = ""


@dataclasses.dataclass(slots=True)
class DropCounts:
    """Numbers of discarded events.

    Attributes:
        crossed: Events that belong to another stream.
        duplicate: Events that were already forwarded.
        late: Events after the `[DONE]` event.
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
    """Validates one answer stream across one or more connections.

    Pass the bytes of a connection to `feed` as they arrive and forward its
    result to the caller. If `fault` is set, or the connection closes while
    `is_complete` is false, call `resume` and feed the bytes of a new
    connection that starts after `last_seq`. `feed` never returns the `[DONE]`
    event; send `DONE_EVENT` to the caller once `is_complete` is true.

    Args:
        stream: ID of the stream.

    Attributes:
        stream: ID of the stream.
        next_seq: Sequence number of the next expected event.
        tokens: Number of tokens in the events forwarded so far.
        is_complete: Whether the complete answer was received.
        fault: Reason why reading from this connection stopped, or None.
        engine_error: Error reported by the engine if `fault` is
            `Fault.ENGINE`, else None.
        drops: Numbers of discarded events.
    """

    def __init__(self, stream: ids.StreamId) -> None:
        self.stream = stream
        self.next_seq = 0
        self.tokens = 0
        self.is_complete = False
        self.fault: Fault | None = None
        self.engine_error: EngineError | None = None
        self.drops = DropCounts()
        self._is_finished = False
        self._buffer = b""

    @property
    def last_seq(self) -> int:
        """Sequence number of the last forwarded event; -1 before the first."""
        return self.next_seq - 1

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes and returns the events to forward.

        Args:
            data: Received bytes; events may be split at any byte.

        Returns:
            Complete server-sent events without the `[DONE]` event; may be
            empty.
        """
        if self.fault is not None:
            return b""
        data = self._buffer + data if self._buffer else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._buffer = data.split(_BOUNDARY)
        accepted = [event for event in events if self._accept(event)]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._fail(Fault.MALFORMED)
        if not accepted:
            return b""
        accepted.append(b"")
        return _BOUNDARY.join(accepted)

    def end(self) -> None:
        """Records that the connection was closed."""
        if not self.is_complete and self.fault is None:
            self._fail(Fault.CUT)

    def resume(self) -> None:
        """Resets the connection state to resume after `last_seq`."""
        self.fault = None
        self.engine_error = None
        self._buffer = b""

    def _accept(self, event: bytes) -> bool:
        if self.fault is not None:
            return False
        data = _extract_data(event)
        if not data:
            return False
        if data == DONE_DATA:
            self._handle_done()
            return False
        try:
            fields = _DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError):
            self._fail(Fault.MALFORMED)
            return False
        return self._check(fields)

    def _check(self, fields: _Event) -> bool:
        if fields.stream != self.stream:
            self._handle_other_stream(fields)
            return False
        if self.is_complete:
            self.drops.late += 1
            return False
        if fields.error is not None:
            self._handle_engine_error(fields.error)
            return False
        if fields.seq != self.next_seq:
            self._handle_sequence_mismatch(fields.seq)
            return False
        self.next_seq += 1
        self.tokens += fields.tokens
        for choice in fields.choices or ():
            if choice.finish_reason is not None:
                self._is_finished = True
        return True

    def _handle_done(self) -> None:
        if self._is_finished:
            self.is_complete = True
        else:
            self._fail(Fault.UNFINISHED)

    def _handle_other_stream(self, fields: _Event) -> None:
        if fields.stream is None and fields.error is not None:
            self._handle_engine_error(fields.error)
        else:
            self.drops.crossed += 1

    def _handle_engine_error(self, error: EngineError) -> None:
        self.engine_error = error
        self._fail(Fault.ENGINE)

    def _handle_sequence_mismatch(self, seq: int) -> None:
        if seq < self.next_seq:
            self.drops.duplicate += 1
        else:
            self._fail(Fault.GAP)

    def _fail(self, fault: Fault) -> None:
        if not self.is_complete:
            self.fault = fault
        self._buffer = b""


def _extract_data(event: bytes) -> bytes:
    if event.startswith(_DATA) and b"\n" not in event:
        return event[len(_DATA) :].strip()
    lines = [
        line[len(_DATA) :].strip()
        for line in event.split(b"\n")
        if line.startswith(_DATA)
    ]
    return b"\n".join(lines)
