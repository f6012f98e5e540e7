"""Reads the lines that `logs` writes."""

from __future__ import annotations

import re

import msgspec

TIME_MARK = "time="
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")
_ESCAPED = {"n": "\n", "r": "\r"}


class LogLine(msgspec.Struct, frozen=True):
    """One event as it was written.

    Attributes:
        time: Time of day in UTC, as text that sorts by time.
        event: Name of the event.
        instance: Instance that wrote it.
        fields: All other fields.
    """

    time: str
    event: str
    instance: str
    fields: dict[str, str]


def parse_line(line: str) -> LogLine | None:
    """Parses a line; None if it is no event.

    What stands before the time, such as a prefix of a log collector, is
    ignored.
    """
    start = line.find(TIME_MARK)
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
        lambda match: _ESCAPED.get(match[1], match[1]), value[1:-1]
    )
