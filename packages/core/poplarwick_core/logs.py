"""Structured logging: one line of key=value pairs per event."""

from __future__ import annotations

import datetime
import functools
import re
import sys
from typing import Any
from typing import ClassVar

import msgspec
from loguru import logger

from poplarwick_core import clock
from poplarwick_core import log_writer

_writer: log_writer.LineWriter | None = None

_NEEDS_QUOTES = frozenset(" =\"'\n\r\t\\")


def configure_logs(
    level: str = "INFO",
    writer: log_writer.LineWriter | None = None,
    **bound: str,
) -> None:
    """Directs all events to standard error or to a writer.

    Args:
        level: Minimum severity of the events that are written.
        writer: Receives the lines; None means standard error.
        **bound: Fields added to every line, such as the instance id.
    """
    global _writer
    _writer = writer
    logger.remove()
    logger.configure(extra={"bound": bound})
    sink = sys.stderr if writer is None else writer.write
    logger.add(sink, level=level, format=_format_record)


def write_through() -> None:
    """Writes further events at once, as the process may soon be killed."""
    if _writer is not None:
        _writer.write_through()


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all typed events.

    An event is written under the name of its class in snake case. Fields that
    are None are omitted.
    """

    level: ClassVar[str] = "INFO"


def log(event: Event) -> None:
    """Writes a typed event."""
    fields = msgspec.structs.asdict(event)
    name = read_event_name(type(event))
    logger.opt(depth=1).bind(event=name, fields=fields).log(event.level, name)


@functools.cache
def read_event_name(kind: type[Event]) -> str:
    """Returns the name under which events of a class are written."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Writes an untyped event.

    Args:
        event: Name of the event in snake case.
        level: Severity of the event.
        **fields: Values shown as key=value; None values are omitted. API keys
            and prompts must never be passed.
    """
    logger.opt(depth=1).bind(event=event, fields=fields).log(level, event)


def _format_record(record: Any) -> str:
    extra = record["extra"]
    time = record["time"].astimezone(datetime.UTC)
    pairs = {
        "time": time.strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
        "level": record["level"].name.lower(),
        "event": extra.get("event", record["message"]),
        "at_s": f"{clock.now_s():.4f}",
        **extra.get("bound", {}),
        **extra.get("fields", {}),
    }
    line = " ".join(
        f"{key}={_format_value(value)}"
        for key, value in pairs.items()
        if value is not None
    )
    # Loguru uses the returned text as a format string, so braces and color tags
    # are escaped.
    return (
        line.replace("{", "{{").replace("}", "}}").replace("<", r"\<")
        + "\n{exception}"
    )


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
