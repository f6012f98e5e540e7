"""What changes from one version of a document to another."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from poplarwick_configuration import document
from poplarwick_core import jsonc


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One field, item or section that differs.

    Attributes:
        path: Place such as `models[lm].timeout_s`; items go by their id.
        before: JSON form of the old value, or None where there is none.
        after: JSON form of the new value, or None where there is none.
    """

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after}"
        if self.after is None:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def compare_texts(before: str | None, after: str) -> tuple[Difference, ...]:
    """Returns what differs between two documents that pass the check.

    Defaults count as if they were written, comments do not count.

    Args:
        before: The old document, or None if there was none.
        after: The new document.
    """
    old = _read(before) if before is not None else {}
    return tuple(_compare("", old, _read(after)))


def _read(text: str) -> Any:
    parsed = jsonc.decode_checked(text, document.Document, "document")
    return msgspec.to_builtins(parsed)


def _compare(path: str, before: Any, after: Any) -> Iterator[Difference]:
    if isinstance(before, dict) and isinstance(after, dict):
        prefix = f"{path}." if path else ""
        names = {f"{prefix}{name}": name for name in (*before, *after)}
        yield from _compare_items(names, before, after)
        return
    old, new = _index_by_id(before), _index_by_id(after)
    if old is not None and new is not None:
        names = {f"{path}[{name}]": name for name in (*old, *new)}
        yield from _compare_items(names, old, new)
    elif before != after:
        yield Difference(path, _encode(before), _encode(after))


def _compare_items(
    names: dict[str, str], before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    for path, name in names.items():
        if name not in before:
            yield Difference(path, None, _encode(after[name]))
        elif name not in after:
            yield Difference(path, _encode(before[name]), None)
        else:
            yield from _compare(path, before[name], after[name])


def _index_by_id(value: Any) -> dict[str, Any] | None:
    if not isinstance(value, list | tuple):
        return None
    if not all(isinstance(item, dict) and "id" in item for item in value):
        return None
    return {item["id"]: item for item in value}


def _encode(value: Any) -> str:
    return msgspec.json.encode(value).decode()
