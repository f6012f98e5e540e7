"""Field-level differences between two versions of a document."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from poplarwick_configuration import document
from poplarwick_core import jsonc


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A field, item or section that differs.

    Attributes:
        path: Path such as `models[lm].timeout_s`; items are identified by id.
        before: Old value as JSON, or None if it was added.
        after: New value as JSON, or None if it was removed.
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
    """Returns the differences between two valid documents.

    Omitted fields are compared by their defaults; comments are ignored.

    Args:
        before: Text of the old document, or None if there was none.
        after: Text of the new document.
    """
    old = _decode(before) if before is not None else {}
    return compare_values(old, _decode(after))


def compare_values(before: Any, after: Any) -> tuple[Difference, ...]:
    """Returns the differences between two trees of dicts, lists and scalars.

    Items of a list are told apart by their `id` or `name` if all have one and
    none occurs twice; other lists are compared as a whole.
    """
    return tuple(_compare("", before, after))


def _decode(text: str) -> Any:
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
    for field in ("id", "name"):
        if all(
            isinstance(item, dict) and isinstance(item.get(field), str)
            for item in value
        ):
            items = {item[field]: item for item in value}
            return items if len(items) == len(value) else None
    return None


def _encode(value: Any) -> str:
    return msgspec.json.encode(value).decode()
