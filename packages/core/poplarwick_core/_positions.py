"""Positions of values inside a text in JSON with comments."""

from __future__ import annotations

import dataclasses
import re

import pyjson5

_TOKEN = re.compile(
    r"""
    (?P<skip>[\s\ufeff]+|//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """A key that occurs twice in one object.

    Attributes:
        path: Path of the value.
        line: Line of the second occurrence.
        first_line: Line of the first occurrence.
    """

    path: str
    line: int
    first_line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Range of characters of a value.

    Attributes:
        start: Offset of the first character.
        end: Offset after the last character.
    """

    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Positions:
    """Positions of all values in one text.

    Attributes:
        lines: Line number, counted from 1, by path such as `$.models[0].id`.
        spans: Character range by path.
        duplicates: Keys that occur twice in one object.
    """

    lines: dict[str, int]
    spans: dict[str, Span]
    duplicates: tuple[Duplicate, ...]

    def find_line(self, path: str) -> int | None:
        """Returns the line of a path or of its nearest known parent."""
        return self.lines.get(self._find_known(path))

    def find_offset(self, path: str) -> int:
        """Returns the offset of a path or its nearest known parent, else 0."""
        span = self.spans.get(self._find_known(path))
        return 0 if span is None else span.start

    def _find_known(self, path: str) -> str:
        while path and path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return path


@dataclasses.dataclass(slots=True)
class _Container:
    path: str
    is_object: bool
    index: int = 0
    key: str | None = None
    keys: dict[str, int] = dataclasses.field(default_factory=dict)

    def make_child_path(self) -> str:
        if self.is_object:
            return f"{self.path}.{self.key}"
        return f"{self.path}[{self.index}]"


class _Scanner:
    """Scans the tokens of a text that is known to be well formed."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._line = 1
        self._stack: list[_Container] = []
        self._lines: dict[str, int] = {}
        self._spans: dict[str, Span] = {}
        self._duplicates: list[Duplicate] = []

    def scan(self) -> Positions:
        for match in _TOKEN.finditer(self._text):
            token = match.group()
            match match.lastgroup:
                case "mark":
                    self._scan_punctuation(token, match.start())
                case "string" | "word":
                    self._scan_scalar(token, match.start())
            self._line += token.count("\n")
        return Positions(self._lines, self._spans, tuple(self._duplicates))

    def _scan_punctuation(self, punctuation: str, offset: int) -> None:
        top = self._stack[-1] if self._stack else None
        if punctuation in "{[":
            path = self._record_value(offset, offset + 1)
            self._stack.append(_Container(path, punctuation == "{"))
        elif punctuation in "}]" and self._stack:
            path = self._stack.pop().path
            self._spans[path] = Span(self._spans[path].start, offset + 1)
        elif punctuation == "," and top is not None:
            top.index += 1
            top.key = None

    def _scan_scalar(self, token: str, offset: int) -> None:
        top = self._stack[-1] if self._stack else None
        if top is not None and top.is_object and top.key is None:
            self._scan_key(top, _decode_key(token))
        else:
            self._record_value(offset, offset + len(token))

    def _scan_key(self, top: _Container, key: str) -> None:
        top.key = key
        if key in top.keys:
            path = top.make_child_path()
            first_line = top.keys[key]
            self._duplicates.append(Duplicate(path, self._line, first_line))
        top.keys[key] = self._line

    def _record_value(self, start: int, end: int) -> str:
        path = self._stack[-1].make_child_path() if self._stack else "$"
        self._lines[path] = self._line
        self._spans[path] = Span(start, end)
        return path


def scan_positions(text: str) -> Positions:
    """Returns the positions of all values in a well-formed text."""
    return _Scanner(text).scan()


def find_line_of_offset(text: str, offset: int) -> int:
    """Returns the line number, counted from 1, of a character offset."""
    return text.count("\n", 0, offset) + 1


def _decode_key(token: str) -> str:
    if token[0] in "\"'":
        return str(pyjson5.decode(token))
    if "\\" in token:
        return str(pyjson5.decode(f'"{token}"'))
    return token
