"""Splitting of a document's text into sections that are stored by digest.

Boundaries depend on the content of lines only, so an edit changes the section
it falls in and leaves the others as they are.
"""

from __future__ import annotations

import hashlib

import xxhash

MIN_SECTION_BYTES = 2_048
MAX_SECTION_BYTES = 65_536
LINES_PER_BOUNDARY = 64
DIGEST_BYTES = 16


def split_text(text: str) -> tuple[bytes, ...]:
    """Returns the sections of a text; joined they give the text again."""
    sections: list[bytes] = []
    current = bytearray()
    for line in text.encode().splitlines(keepends=True):
        current += line
        while len(current) >= MAX_SECTION_BYTES:
            sections.append(bytes(current[:MAX_SECTION_BYTES]))
            del current[:MAX_SECTION_BYTES]
        if len(current) >= MIN_SECTION_BYTES and _is_boundary(line):
            sections.append(bytes(current))
            current.clear()
    if current:
        sections.append(bytes(current))
    return tuple(sections)


def digest_bytes(data: bytes) -> str:
    """Returns the hexadecimal BLAKE2b digest that a section is stored by."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def _is_boundary(line: bytes) -> bool:
    return xxhash.xxh64_intdigest(line) % LINES_PER_BOUNDARY == 0
