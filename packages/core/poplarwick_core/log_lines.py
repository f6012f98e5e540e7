"""Parses the log lines that `logs` writes."""

from __future__ import annotations

import re

import msgspec

TIME_PREFIX = "time="
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_ESCAPED_CHARACTERS = {"n": "\n", "r": "\r"}


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
        time: Time in UTC, as text that sorts chronologically.
        event: Name of the event.
        instance: Instance that wrote the line.
        fields: All other fields.
    """

    time: str
    event: str
    instance: str
    fields: dict[str, str]


def parse_line(line: str) -> LogLine | None:
    """Parses a log line; returns None if it contains no event.

    Text before the time, such as the prefix of a log collector, is ignored.
    """
    start = line.find(TIME_PREFIX)
    if start < 0:
        return None
    pairs = {
        name: _unquote(value) for name, value in _PAIR.findall(line[start:])
    }
    if "event" not in pairs:
        return None
    return LogLine(
        pairs.pop("time"),
        pairs.pop("event"),
        pairs.pop("instance", ""),
        pairs,
    )


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(
        lambda match: _ESCAPED_CHARACTERS.get(match[1], match[1]), value[1:-1]
    )
