"""Edits to a document's text that preserve comments and formatting."""

from __future__ import annotations

import msgspec

from poplarwick_configuration import document
from poplarwick_core import errors
from poplarwick_core import jsonc


class EditError(errors.PoplarwickError):
    """The edit cannot be applied to the document."""


def add_key(text: str, organisation: str, key: document.ApiKey) -> str:
    """Returns the text with a key added to an organisation.

    Raises:
        EditError: The organisation is unknown or already has a key with this
            id.
    """
    index, parsed = _find_organisation(text, organisation)
    if any(k.id == key.id for k in parsed.keys):
        raise EditError(
            f"organisation {organisation} already has a key {key.id}"
        )
    path = f"$.organisations[{index}].keys"
    encoded = msgspec.json.encode(_strip_defaults(key)).decode()
    return _insert_item(text, path, len(parsed.keys), encoded)


def replace_key(text: str, organisation: str, key: document.ApiKey) -> str:
    """Returns the text with the key that has the same id replaced.

    Raises:
        EditError: The organisation or the key is unknown.
    """
    index, parsed = _find_organisation(text, organisation)
    names = [k.id for k in parsed.keys]
    if key.id not in names:
        raise EditError(f"organisation {organisation} has no key {key.id}")
    path = f"$.organisations[{index}].keys[{names.index(key.id)}]"
    encoded = msgspec.json.encode(_strip_defaults(key)).decode()
    return _replace(text, path, encoded)


def extract_organisation(text: str, organisation: str) -> str:
    """Returns the text of an organisation's JSON object, comments included.

    Raises:
        EditError: The organisation is unknown.
    """
    index, _ = _find_organisation(text, organisation)
    span = jsonc.find_positions(text).spans[f"$.organisations[{index}]"]
    return text[span.start : span.end]


def replace_organisation(text: str, organisation: str, section: str) -> str:
    """Returns the text with an organisation's JSON object replaced.

    Text around the JSON object in `section` is dropped, since a comment there
    could comment out the text that follows it.

    Raises:
        EditError: The organisation is unknown.
    """
    index, _ = _find_organisation(text, organisation)
    span = jsonc.find_positions(section).spans["$"]
    value = section[span.start : span.end]
    return _replace(text, f"$.organisations[{index}]", value)


def _find_organisation(
    text: str, organisation: str
) -> tuple[int, document.Organisation]:
    parsed = jsonc.decode_checked(text, document.Document, "document")
    for index, found in enumerate(parsed.organisations):
        if found.id == organisation:
            return index, found
    raise EditError(f"the document has no organisation {organisation}")


def _replace(text: str, path: str, value: str) -> str:
    span = jsonc.find_positions(text).spans[path]
    return text[: span.start] + value + text[span.end :]


def _insert_item(text: str, path: str, count: int, value: str) -> str:
    """Inserts an item right after the last one, before a comma or comment."""
    spans = jsonc.find_positions(text).spans
    if count:
        position = spans[f"{path}[{count - 1}]"].end
        return f"{text[:position]}, {value}{text[position:]}"
    position = spans[path].start + 1
    return f"{text[:position]}{value}{text[position:]}"


def _strip_defaults(key: document.ApiKey) -> dict[str, object]:
    fields: dict[str, object] = {"id": key.id, "sha256": key.sha256}
    if key.revoked:
        fields["revoked"] = True
    if key.expires_s is not None:
        fields["expires_s"] = key.expires_s
    return fields
