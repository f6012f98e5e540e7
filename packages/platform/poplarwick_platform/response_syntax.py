"""Checks the bytes of HTTP/1 responses before they are parsed (RFC 9112).

The parser of the HTTP library is lenient, and its result does not show what it
has repaired or dropped. A faulty server may send any bytes, so they are checked
as they arrive. The cost is one pass over each head and over the framing of
chunks; their data is skipped.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Sequence

MAX_HEAD_BYTES = 65_536
"""Largest head, with the interim responses before it; also of all trailers."""

MAX_LINE_BYTES = 16_384
"""Longest line between chunks."""

FINAL_STATUSES = range(200, 600)

INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
"""Without 101: no request offers another protocol."""

BODILESS_STATUSES = frozenset({204, 304})

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})(?: " + _TEXT + rb")?")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb")")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;" + _TEXT + rb")?\r\n")
_HEAD_END = re.compile(rb"\n\r?\n")
_EMPTY_LINE = b"\r\n"
_QUOTED_BYTES = 80


class ResponseSyntaxError(ValueError):
    """The bytes are no HTTP/1 response; the message quotes them."""


class _Stage(enum.Enum):
    HEAD = "head"
    CHUNKS = "chunks"
    UNCHECKED = "unchecked"


class ResponseCheck:
    """Checks one response as it arrives, with interim ones before it.

    Args:
        has_body: Whether the response may have a body; one to HEAD has none.
    """

    def __init__(self, *, has_body: bool = True) -> None:
        self._has_body = has_body
        self._stage = _Stage.HEAD
        self._head = b""
        self._head_bytes = 0
        self._chunks = _ChunkCheck()

    def feed(self, data: bytes) -> bytes:
        """Checks bytes of the response.

        Returns:
            The bytes that may be parsed; heads are held back until they are
            complete.

        Raises:
            ResponseSyntaxError: The bytes are no response.
        """
        if self._stage is _Stage.HEAD:
            return self._feed_heads(data)
        if self._stage is _Stage.CHUNKS:
            self._chunks.feed(data)
        return data

    def _feed_heads(self, data: bytes) -> bytes:
        heads = b""
        while self._stage is _Stage.HEAD:
            # The end may have begun in the bytes before.
            start = max(len(self._head) - 2, 0)
            self._head += data
            end = _HEAD_END.search(self._head, start)
            length = len(self._head) if end is None else end.end()
            if self._head_bytes + length > MAX_HEAD_BYTES:
                raise ResponseSyntaxError(
                    f"head larger than {MAX_HEAD_BYTES} bytes"
                )
            if end is None:
                return heads
            head, data = self._head[:length], self._head[length:]
            self._head = b""
            self._head_bytes += length
            self._stage = self._check_head(head)
            heads += head
        return heads + self.feed(data) if data else heads

    def _check_head(self, head: bytes) -> _Stage:
        """Checks a head and returns what follows it."""
        status_line, *lines = _split_lines(head)
        match = _STATUS_LINE.fullmatch(status_line)
        if match is None:
            raise _make_error("status line", status_line)
        status = int(match[2])
        if status in INTERIM_STATUSES:
            next_stage = _Stage.HEAD
        elif status in FINAL_STATUSES:
            next_stage = _Stage.UNCHECKED
        else:
            raise _make_error("status", status_line)
        fields = [_check_field(line) for line in lines]
        is_chunked = _check_transfer_coding(
            [value for name, value in fields if name == b"transfer-encoding"],
            is_version_1_1=match[1] == b"1",
        )
        has_body = self._has_body and status not in BODILESS_STATUSES
        if next_stage is _Stage.UNCHECKED and is_chunked and has_body:
            return _Stage.CHUNKS
        return next_stage


class _ChunkStage(enum.Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    TRAILERS = "trailers"
    END = "end"


class _ChunkCheck:
    """Checks the framing of a chunked body."""

    def __init__(self) -> None:
        self._stage = _ChunkStage.SIZE
        self._line = b""
        self._remaining = 0
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> None:
        """Checks bytes of the body.

        Raises:
            ResponseSyntaxError: They are no chunks.
        """
        position = 0
        while position < len(data) and self._stage is not _ChunkStage.END:
            if self._stage is _ChunkStage.DATA:
                step = min(self._remaining, len(data) - position)
                position += step
                self._remaining -= step
                if not self._remaining:
                    self._stage = _ChunkStage.DATA_END
                continue
            end = data.find(b"\n", position) + 1 or len(data)
            self._line += data[position:end]
            position = end
            if len(self._line) > MAX_LINE_BYTES:
                raise _make_error("line between chunks", self._line)
            if self._line.endswith(b"\n"):
                line, self._line = self._line, b""
                self._check_line(line)

    def _check_line(self, line: bytes) -> None:
        match self._stage:
            case _ChunkStage.SIZE:
                size = _CHUNK_SIZE.fullmatch(line)
                if size is None:
                    raise _make_error("chunk size", line)
                self._remaining = int(size[1], 16)
                self._stage = (
                    _ChunkStage.DATA
                    if self._remaining
                    else _ChunkStage.TRAILERS
                )
            case _ChunkStage.DATA_END:
                if line != _EMPTY_LINE:
                    raise _make_error("end of a chunk", line)
                self._stage = _ChunkStage.SIZE
            case _ChunkStage.TRAILERS:
                self._trailer_bytes += len(line)
                if self._trailer_bytes > MAX_HEAD_BYTES:
                    raise ResponseSyntaxError(
                        f"trailers larger than {MAX_HEAD_BYTES} bytes"
                    )
                if line == _EMPTY_LINE:
                    self._stage = _ChunkStage.END
                else:
                    _check_field(_strip_line_end(line))


def _split_lines(head: bytes) -> list[bytes]:
    """Returns the lines of a head without the empty one at its end.

    A line feed alone ends a line too (RFC 9112, section 2.2).
    """
    lines = [_strip_line_end(line) for line in head.split(b"\n")]
    return lines[:-2]


def _strip_line_end(line: bytes) -> bytes:
    return line.removesuffix(b"\n").removesuffix(b"\r")


def _check_field(line: bytes) -> tuple[bytes, bytes]:
    """Returns the name, in lower case, and the value of a field.

    A line that continues the one before is refused, as a gateway may do (RFC
    9112, section 5.2).
    """
    match = _FIELD.fullmatch(line)
    if match is None:
        raise _make_error("field", line)
    return match[1].lower(), match[2].strip(b" \t")


def _check_transfer_coding(
    codings: Sequence[bytes], *, is_version_1_1: bool
) -> bool:
    """Returns whether the body is chunked; no request offers another coding."""
    if not codings:
        return False
    if [coding.lower() for coding in codings] != [b"chunked"]:
        raise _make_error("transfer coding", b", ".join(codings))
    if not is_version_1_1:
        raise ResponseSyntaxError("chunks in a response of HTTP/1.0")
    return True


def _make_error(part: str, text: bytes) -> ResponseSyntaxError:
    return ResponseSyntaxError(f"invalid {part}: {text[:_QUOTED_BYTES]!r}")
