"""Parses and validates settings and documents in JSON with comments."""

from __future__ import annotations

import pathlib
import re
from typing import Any
from typing import TypeVar

import msgspec
import pyjson5

from poplarwick_core import _explanations
from poplarwick_core import _positions
from poplarwick_core import errors

T = TypeVar("T")

_PATH_SUFFIX = re.compile(r" - at `(?P<path>.+)`$")
_QUOTED_NAME = re.compile(r"b'(?P<name>[^']+)'")
_OFFSET = re.compile(r" near (?P<offset>\d+)")


def read_file(path: pathlib.Path, kind: type[T]) -> T:
    """Reads, parses and validates a file.

    Args:
        path: File in JSON with comments.
        kind: msgspec type that the content must match.

    Returns:
        The validated content.

    Raises:
        errors.DocumentError: The file cannot be read or is not valid.
    """
    return decode(read_text(path), kind, str(path))


def read_text(path: pathlib.Path) -> str:
    """Reads a text file.

    Raises:
        errors.DocumentError: The file cannot be read or is not UTF-8.
    """
    return decode_utf8(read_bytes(path), str(path))


def read_bytes(path: pathlib.Path) -> bytes:
    """Reads a file.

    Raises:
        errors.DocumentError: The file cannot be read.
    """
    try:
        return path.read_bytes()
    except (OSError, ValueError) as error:
        raise errors.DocumentError(str(path), "$", str(error)) from error


def decode_utf8(content: bytes, source: str) -> str:
    """Decodes the bytes of a text.

    Args:
        content: Bytes of the text.
        source: Origin of the bytes, shown in errors.

    Raises:
        errors.DocumentError: They are not UTF-8.
    """
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        raise errors.DocumentError(
            source, "$", str(error), find_line(content, error.start)
        ) from error


def find_line(content: bytes, offset: int) -> int:
    """Returns the line number, counted from 1, of a byte offset."""
    return content.count(b"\n", 0, offset) + 1


def decode(text: str, kind: type[T], source: str) -> T:
    """Parses and validates a text in JSON with comments.

    Args:
        text: Text in JSON with comments.
        kind: msgspec type that the content must match.
        source: Origin of the text, shown in errors.

    Returns:
        The validated content.

    Raises:
        errors.DocumentError: The text is not valid.
    """
    value = parse(text, source)
    positions = _positions.scan_positions(text)
    if positions.duplicates:
        raise _make_duplicate_error(positions.duplicates[0], source)
    return _convert(value, kind, source, positions)


def decode_checked(text: str, kind: type[T], source: str) -> T:
    """Decodes a text that `decode` accepted before.

    Does not compute line numbers or detect duplicate keys.

    Raises:
        errors.DocumentError: The text is not valid.
    """
    return convert(parse(text, source), kind, source)


def find_positions(text: str) -> _positions.Positions:
    """Returns the positions of all values in a well-formed text."""
    return _positions.scan_positions(text)


def parse(text: str, source: str) -> Any:
    """Parses a text in JSON with comments without validating its fields.

    Raises:
        errors.DocumentError: The text is not well formed.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        message = _QUOTED_NAME.sub(r"\g<name>", str(error.message))
        raise errors.DocumentError(
            source,
            "$",
            f"not valid JSON with comments: {message}",
            _find_syntax_line(text, message),
        ) from error


def convert(value: Any, kind: type[T], source: str) -> T:
    """Validates a parsed value against a msgspec type.

    Raises:
        errors.DocumentError: A field is unknown, missing or out of range.
    """
    return _convert(value, kind, source, None)


def _convert(
    value: Any,
    kind: type[T],
    source: str,
    positions: _positions.Positions | None,
) -> T:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        message = str(error)
        match = _PATH_SUFFIX.search(message)
        path = match.group("path") if match else "$"
        message = message[: match.start()] if match else message
        problem = _explanations.explain(message, path, value, kind)
        line = None
        if positions is not None:
            field = _explanations.find_unknown_field(message)
            line_path = path if field is None else f"{path}.{field}"
            line = positions.find_line(line_path)
        raise errors.DocumentError(source, path, problem, line) from error


def _find_syntax_line(text: str, message: str) -> int | None:
    match = _OFFSET.search(message)
    if match is None:
        return None
    offset = int(match.group("offset"))
    return _positions.find_line_of_offset(text, max(offset - 1, 0))


def _make_duplicate_error(
    duplicate: _positions.Duplicate, source: str
) -> errors.DocumentError:
    return errors.DocumentError(
        source,
        duplicate.path,
        f"duplicate field, first defined on line {duplicate.first_line}",
        duplicate.line,
    )
