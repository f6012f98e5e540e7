"""Promotes tested configuration from one environment to another.

Models, services and organisations are copied as written, comments included.
The target keeps everything that is specific to an environment: its name,
failure domains, endpoints and their addresses, instances, and the digests of
caller keys, so that a key of a trial environment is not valid in production.
"""

from __future__ import annotations

from poplarwick_configuration import document
from poplarwick_core import jsonc

PROMOTED_FIELDS = ("organisations", "models", "services")


def merge_texts(source: str, target: str) -> str:
    """Returns the target's document with the promoted fields of the source.

    Args:
        source: Text of the document to promote from.
        target: Text of the document to promote to.
    """
    merged = target
    for field in PROMOTED_FIELDS:
        value = _extract_field(source, field)
        if field == "organisations":
            value = _replace_keys(source, target)
        merged = _replace_field(merged, field, value)
    return merged


def _extract_field(text: str, field: str) -> str:
    span = jsonc.find_positions(text).spans.get(f"$.{field}")
    return text[span.start : span.end] if span is not None else "[]"


def _replace_keys(source: str, target: str) -> str:
    """Returns the organisations of the source with the keys of the target."""
    positions = jsonc.find_positions(source)
    list_span = positions.spans["$.organisations"]
    value = source[list_span.start : list_span.end]
    target_keys = _extract_keys(target)
    parsed = jsonc.decode_checked(source, document.Document, "source")
    for index in reversed(range(len(parsed.organisations))):
        span = positions.spans[f"$.organisations[{index}].keys"]
        keys = target_keys.get(parsed.organisations[index].id, "[]")
        start, end = span.start - list_span.start, span.end - list_span.start
        value = value[:start] + keys + value[end:]
    return value


def _extract_keys(text: str) -> dict[str, str]:
    positions = jsonc.find_positions(text)
    parsed = jsonc.decode_checked(text, document.Document, "target")
    keys = {}
    for index, organisation in enumerate(parsed.organisations):
        span = positions.spans[f"$.organisations[{index}].keys"]
        keys[organisation.id] = text[span.start : span.end]
    return keys


def _replace_field(text: str, field: str, value: str) -> str:
    spans = jsonc.find_positions(text).spans
    span = spans.get(f"$.{field}")
    if span is not None:
        return text[: span.start] + value + text[span.end :]
    start = spans["$"].start + 1
    return f'{text[:start]}\n  "{field}": {value},{text[start:]}'
