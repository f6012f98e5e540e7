"""Readable error messages for values that fail validation."""

from __future__ import annotations

import re
from typing import Any

import msgspec

MAX_SHOWN_CHARACTERS = 60

_PATH_SEGMENT = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<field>.+)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<field>.+)`")
_EXPECTED = re.compile(r"^Expected (?P<allowed>.+?)(?:, got `.+`)?$")
_MISSING = object()


def find_unknown_field(message: str) -> str | None:
    """Returns the unknown field named in a msgspec message, if any."""
    match = _UNKNOWN_FIELD.search(message)
    return match.group("field") if match is not None else None


def explain(message: str, path: str, value: Any, kind: Any) -> str:
    """Returns a message with the value found and the values allowed.

    Args:
        message: Message of msgspec, without the path.
        path: Path of the problem inside `value`.
        value: The whole parsed value.
        kind: msgspec type that `value` does not match.
    """
    unknown = find_unknown_field(message)
    if unknown is not None:
        allowed = ", ".join(_list_fields(path, kind)) or "none"
        return f"found the unknown field `{unknown}`; allowed: {allowed}"
    missing = _MISSING_FIELD.search(message)
    if missing is not None:
        return f"the required field `{missing.group('field')}` is missing"
    expected = _EXPECTED.match(message)
    found = _find_value(path, value)
    if expected is None or found is _MISSING:
        return message
    allowed = expected.group("allowed")
    return f"found {_format_found(path, found)}; allowed: {allowed}"


def _find_value(path: str, value: Any) -> Any:
    for name, index in _PATH_SEGMENT.findall(path):
        try:
            value = value[name] if name else value[int(index)]
        except (LookupError, TypeError):
            return _MISSING
    return value


def _list_fields(path: str, kind: Any) -> list[str]:
    info: Any = msgspec.inspect.type_info(kind)
    for name, _ in _PATH_SEGMENT.findall(path):
        info = _unwrap_optional(info)
        if name:
            fields = getattr(info, "fields", ())
            info = next((f.type for f in fields if f.encode_name == name), None)
        else:
            info = getattr(info, "item_type", None)
    fields = getattr(_unwrap_optional(info), "fields", ())
    return [field.encode_name for field in fields]


def _unwrap_optional(info: Any) -> Any:
    """Returns the struct or array type inside an optional type."""
    for option in getattr(info, "types", (info,)):
        if hasattr(option, "fields") or hasattr(option, "item_type"):
            return option
    return info


def _format_found(path: str, found: Any) -> str:
    # A secret entered by mistake instead of its digest must not be shown.
    if path.endswith("sha256"):
        return f"{len(str(found))} characters"
    shown = repr(found)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    return f"`{shown}`"
