"""An endpoint that answers byte for byte, also with what is no answer.

Tests draw the broken part, its place, how the bytes are split and how the
connection ends from a seed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import itertools
import random
import types
from collections.abc import Sequence
from typing import Self

from poplarwick_standins import _resets

OK = b"HTTP/1.1 200 OK"

FIELDS = (b"Response-Stamp: s-raw", b"X-Trace: 1", b"Content-Type: text/plain")

BODY = b"hello"

UPLOAD = b"x" * 3_000_000
"""More than the kernel takes from a sender whose peer does not read."""

_STATUS_LINES = (
    b"HTTP/1.1 000 ",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 001 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 700 ",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"RTSP/1.0 200 OK",
)

_FIELDS = (
    *(
        name + b": 1"
        for name in (b"X Span", b"X-Span ", b"X-Span\t", b" X-Span")
    ),
    *(name + b": 1" for name in (b"\tX-Span", b"X\x01Span", b"X\x0bSpan")),
    *(
        name + b": 1"
        for name in (b"X\x00Span", b"X-Span\x7f", b"X\x80Span", b"")
    ),
    b"Transfer-Encoding : chunked",
    b"Transfer-Encoding\t: chunked",
    b"Transfer\x01-Encoding: chunked",
    *(
        b"Transfer-Encoding: " + coding
        for coding in (b"", b"identity", b"gzip", b"xchunked", b"chunked;q=1")
    ),
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Content-Length : 3",
    b"Content-Length : 5",
    b"Content-Length: +5",
    b"Content-Length: 0x5",
    b"Content-Length\x0b: 3",
    b" Content-Length: 3",
    b"Connection : close",
    b"Upgrade : other",
    b"X-Span: a\x01b",
    b"X-Span: a\x7fb",
    b"X-Span",
)
"""Lines with a name or a value that no field may have. Parsers that accept one
take the next line, the length of the body or its encoding for another."""

PAUSES_S = (0.0, 0.002, 0.03)
"""Times between the parts of an answer that `draw_answer` chooses from."""

MAX_ENDLESS_BYTES = 128 << 20
"""Bytes that stand for an answer without end; less than half of the memory of
the smallest instance."""


class Ending(enum.Enum):
    """What becomes of the connection behind an answer.

    Attributes:
        CLOSE: It is closed in order.
        RESET: It is reset.
        KEEP: It is kept, and the next request on it is answered.
    """

    CLOSE = "close"
    RESET = "reset"
    KEEP = "keep"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the endpoint sends.

    Attributes:
        parts: Bytes that are sent one after the other.
        pause_s: Time between the parts, and before the end.
        ending: What becomes of the connection then.
        reads_body: Whether the body of the request is read first.
        endless: Bytes that are repeated behind the parts until the caller
            closes the connection, or `MAX_ENDLESS_BYTES` have been sent on it.
    """

    parts: tuple[bytes, ...]
    pause_s: float = 0.0
    ending: Ending = Ending.CLOSE
    reads_body: bool = True
    endless: bytes = b""


def make_head(status_line: bytes, fields: Sequence[bytes]) -> bytes:
    """Returns the bytes of a head."""
    return b"\r\n".join((status_line, *fields, b"", b""))


@dataclasses.dataclass(frozen=True, slots=True)
class SoundAnswer:
    """A proper response with `BODY`, which ends with its connection.

    Attributes:
        status: Its status.
        data: Its bytes.
    """

    status: int
    data: bytes


def make_sound_answers(fields: Sequence[bytes] = ()) -> dict[str, SoundAnswer]:
    """Returns responses of all forms that HTTP/1 allows, by their form.

    Args:
        fields: Further fields of all responses.
    """
    length = b"Content-Length: %d" % len(BODY)
    chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    interim = make_head(b"HTTP/1.1 100 Continue", ())
    hints = make_head(b"HTTP/1.1 103 Early Hints", [b"Link: </a>"])

    def make(
        status_line: bytes, *more: bytes, body: bytes = BODY, status: int = 200
    ) -> SoundAnswer:
        head = make_head(status_line, (*fields, *more))
        return SoundAnswer(status, head + body)

    def precede(answer: SoundAnswer, *heads: bytes) -> SoundAnswer:
        return SoundAnswer(answer.status, b"".join((*heads, answer.data)))

    return {
        "length": make(OK, length),
        "ends_with_its_connection": make(OK),
        "chunks": make(OK, b"Transfer-Encoding: chunked", body=chunked),
        "capitals": make(OK, b"transfer-encoding: CHUNKED", body=chunked),
        "no_reason": make(b"HTTP/1.1 200", length),
        "empty_reason": make(b"HTTP/1.1 200 ", length),
        "long_reason": make(b"HTTP/1.1 200 all \xe4\tis well", length),
        "version_1_0": make(b"HTTP/1.0 200 OK", length),
        "continue_first": precede(make(OK, length), interim),
        "several_interim": precede(make(OK, length), interim, hints, hints),
        "line_feeds": SoundAnswer(
            200, make(OK, length).data.replace(b"\r\n", b"\n")
        ),
        "odd_fields": make(
            OK, length, b"!#$%&'*+-.^_`|~9z:\t a\t\x80\xff\t ", b"X-Empty:"
        ),
        **{
            f"status_{status}": make(
                b"HTTP/1.1 %d Any" % status, length, status=status
            )
            for status in (200, 299, 302, 404, 418, 500, 599)
        },
    }


class Part(enum.Enum):
    """Part of a head that is broken."""

    STATUS_LINE = "status_line"
    FIELD = "field"


def make_broken_heads(rng: random.Random, part: Part) -> list[bytes]:
    """Returns a head for each broken status line or each broken field.

    Some have a length and others end with their connection.

    Args:
        rng: Chooses the order of the fields.
        part: Which part of the heads is broken.
    """
    match part:
        case Part.STATUS_LINE:
            lines = [(line, *_choose_fields(rng)) for line in _STATUS_LINES]
        case Part.FIELD:
            lines = [(OK, field, *_choose_fields(rng)) for field in _FIELDS]
    return [
        make_head(status_line, rng.sample(fields, k=len(fields)))
        for status_line, *fields in lines
    ]


def draw_answer(
    rng: random.Random, data: bytes, endings: Sequence[Ending] = tuple(Ending)
) -> Answer:
    """Returns an answer that sends bytes in up to three parts.

    Args:
        rng: Source of randomness.
        data: The bytes.
        endings: Endings to choose from.
    """
    cuts = sorted(rng.randint(0, len(data)) for _ in range(rng.randint(0, 2)))
    bounds = [0, *cuts, len(data)]
    return Answer(
        tuple(data[a:b] for a, b in itertools.pairwise(bounds)),
        pause_s=rng.choice(PAUSES_S),
        ending=rng.choice(endings),
    )


def draw_reset_answer(rng: random.Random, *, reads_body: bool) -> Answer:
    """Returns an answer without a length that is reset behind a part of it.

    Args:
        rng: Source of randomness.
        reads_body: Whether the body of the request is read first.
    """
    answer = draw_answer(rng, b" and another", (Ending.RESET,))
    begin = make_head(OK, FIELDS) + b"a part"
    return dataclasses.replace(
        answer, parts=(begin, *answer.parts), reads_body=reads_body
    )


def _choose_fields(rng: random.Random) -> list[bytes]:
    length = b"Content-Length: %d" % len(BODY)
    return [*FIELDS, *([length] if rng.random() < 0.5 else [])]


class RawEndpoint:
    """Sends an answer to each request while its context is open.

    Attributes:
        answer: The answer.
        connections: Number of connections that were accepted.
        endless_bytes: Number of bytes that were repeated behind answers, on
            all connections.
    """

    def __init__(self, answer: Answer | None = None) -> None:
        self.answer = answer or Answer(())
        self.connections = 0
        self.endless_bytes = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Host and port; available only inside the context."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        try:
            while await self._answer(reader, writer) is Ending.KEEP:
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller has closed the connection.
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Ending:
        """Answers a request; returns what has become of the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        answer = self.answer
        if answer.reads_body:
            await reader.readexactly(_read_length(head))
        else:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        for part in answer.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(answer.pause_s)
        sent_bytes = 0
        while answer.endless and sent_bytes < MAX_ENDLESS_BYTES:
            writer.write(answer.endless)
            await writer.drain()
            sent_bytes += len(answer.endless)
            self.endless_bytes += len(answer.endless)
            # Without a pause the endpoint would keep the event loop.
            await asyncio.sleep(0)
        if answer.ending is Ending.RESET:
            _resets.set_reset(writer.transport)
            writer.transport.abort()
        return answer.ending


def _read_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
