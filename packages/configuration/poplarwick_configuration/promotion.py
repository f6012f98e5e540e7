"""Takes over what is tried in one environment into another.

Models, services and organisations are promoted as written. Where things run
belongs to each environment and stays: its name, failure domains, endpoints
and their addresses, instances, and the digests of caller keys, so that no key
of a trial opens production.
"""

from __future__ import annotations

from poplarwick_configuration import document
from poplarwick_core import jsonc

PROMOTED_FIELDS = ("organisations", "models", "services")


def merge_texts(source: str, target: str) -> str:
    """Returns the target's document with the promoted parts of the source.

    Args:
        source: Document of the environment that is promoted.
        target: Document of the environment that is promoted to.
    """
    merged = target
    for field in PROMOTED_FIELDS:
        part = _cut_part(source, field)
        if field == "organisations":
            part = _restore_keys(source, target)
        merged = _replace_field(merged, field, part)
    return merged


def _cut_part(text: str, field: str) -> str:
    span = jsonc.find_positions(text).spans.get(f"$.{field}")
    return text[span.start : span.end] if span is not None else "[]"


def _restore_keys(source: str, target: str) -> str:
    """Returns the organisations of the source with the target's own keys."""
    positions = jsonc.find_positions(source)
    whole = positions.spans["$.organisations"]
    part = source[whole.start : whole.end]
    kept = _list_keys(target)
    parsed = jsonc.decode_checked(source, document.Document, "source")
    for index in reversed(range(len(parsed.organisations))):
        span = positions.spans[f"$.organisations[{index}].keys"]
        keys = kept.get(parsed.organisations[index].id, "[]")
        start, end = span.start - whole.start, span.end - whole.start
        part = part[:start] + keys + part[end:]
    return part


def _list_keys(text: str) -> dict[str, str]:
    positions = jsonc.find_positions(text)
    parsed = jsonc.decode_checked(text, document.Document, "target")
    keys = {}
    for index, organisation in enumerate(parsed.organisations):
        span = positions.spans[f"$.organisations[{index}].keys"]
        keys[organisation.id] = text[span.start : span.end]
    return keys


def _replace_field(text: str, field: str, part: str) -> str:
    spans = jsonc.find_positions(text).spans
    span = spans.get(f"$.{field}")
    if span is not None:
        return text[: span.start] + part + text[span.end :]
    start = spans["$"].start + 1
    return f'{text[:start]}\n  "{field}": {part},{text[start:]}'
